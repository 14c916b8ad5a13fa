"""Decision logic as plain classes without I/O; the time is passed in."""
