"""Proxy fleet for targets with gray failures."""

from os import environ

# The loop library reads this when it is loaded; our hosts forbid io_uring.
environ['UV_USE_IO_URING'] = '0'

__version__ = '0.1.0'
