"""Functions behind the command line."""
