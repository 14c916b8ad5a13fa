"""Stand-ins of the platform and of a target, for tests only."""
