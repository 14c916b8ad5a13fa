"""Services of a node: registry, lifecycle and message passing."""
