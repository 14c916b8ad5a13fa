"""How changes of the configuration reach every node."""
