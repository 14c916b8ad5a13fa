"""Customers: their keys and quotas."""
