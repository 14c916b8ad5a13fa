"""Policy as plain classes, free of sockets and clocks."""
