"""Metrics, spans and numbered log events."""
