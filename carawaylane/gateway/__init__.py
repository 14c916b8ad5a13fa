"""Services of a gateway node, which is an entry and a home."""
