"""Experiments, load and capacity measurements."""
