"""Operators' documents: schema, reading and checks."""
