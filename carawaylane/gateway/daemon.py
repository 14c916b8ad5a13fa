"""The daemon that runs one gateway node on the users' platform."""

from __future__ import annotations

import gc
import sys


def main() -> None:
    """Run a node until it stops, and exit."""
    # Garbage collections during the imports would free nothing. They are
    # enabled again once all services are imported.
    gc.disable()
    from carawaylane.gateway.node import run_node

    sys.exit(run_node())


if __name__ == '__main__':
    main()
