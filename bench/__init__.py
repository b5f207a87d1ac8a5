"""Measurements: load, experiments and comparisons."""
