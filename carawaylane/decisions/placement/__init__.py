"""Which target a request goes to."""
