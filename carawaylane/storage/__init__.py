"""Driver interface and client of the object API."""
