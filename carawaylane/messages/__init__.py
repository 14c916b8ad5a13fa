"""Typed messages and outcomes."""
