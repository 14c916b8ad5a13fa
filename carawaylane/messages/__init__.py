"""Messages between services and nodes, and outcomes of requests."""
