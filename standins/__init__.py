"""Stand-ins (test doubles) for the platform, the store and targets."""
