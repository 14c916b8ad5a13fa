"""Tasks that own sockets and carry out decisions."""

from __future__ import annotations

from importlib import import_module

# In the order in which they start; they drain and stop in reverse.
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
    """Import every service and driver, so that it registers itself."""
    import_module('carawaylane.storage.http')
    for name in SERVICE_MODULES:
        import_module(f'carawaylane.services.{name}')
