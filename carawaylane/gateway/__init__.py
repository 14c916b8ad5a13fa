"""Services of a node on the users' platform: callers' entry and homes."""
