"""Declared and checked settings of the daemon."""
