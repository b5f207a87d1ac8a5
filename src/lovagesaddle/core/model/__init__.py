"""Immutable data types shared by all components."""
