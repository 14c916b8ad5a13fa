"""Wire protocol between nodes."""
