"""Proxy fleet for targets with gray failures.

A target with a gray failure still passes health checks while it fails, slows
down or hangs on part of its requests.
"""

from os import environ
from time import monotonic

# No earlier run of this node has acted since then. The imports that follow
# take up to a second on small hosts.
PROCESS_STARTED_AT_S = monotonic()

# uvloop reads this variable on import; the hosts forbid io_uring.
environ['UV_USE_IO_URING'] = '0'

__version__ = '0.1.0'
