"""Helpers for maintainers."""
