"""Operators' documents: schema, selectors and checks."""
