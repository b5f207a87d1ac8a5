"""Logs, metrics and counters."""
