"""Services of a node: they own its sockets and tasks and carry out decisions.

The decisions themselves are made in `carawaylane.decisions`, without I/O.
"""

from __future__ import annotations

from importlib import import_module

# Services start in this order, and drain and stop in reverse.
SERVICE_MODULES = (
    'telemetry',
    'peers',
    'relay',
    'membership',
    'catalogue',
    'watcher',
    'journal',
    'homes',
    'suspects',
    'attempts',
    'runner',
    'prober',
    'forwarder',
    'node_rpc',
    'admin',
    'entry',
)


def load_services() -> None:
    """Import all services and storage drivers, which register themselves."""
    import_module('carawaylane.storage.http')
    for name in SERVICE_MODULES:
        import_module(f'carawaylane.services.{name}')
