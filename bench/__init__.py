"""Load generators, experiments and capacity measurements."""
