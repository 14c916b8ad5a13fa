"""Drivers of the platform's object API and the change logs kept in it."""
