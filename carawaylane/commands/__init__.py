"""The command line carawayctl and the functions that its commands call."""
