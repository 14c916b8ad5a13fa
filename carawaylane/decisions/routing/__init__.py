"""Which service a request goes to."""
