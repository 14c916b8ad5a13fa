"""Demonstration, load generators, simulations and measurements."""
