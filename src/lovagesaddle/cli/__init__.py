"""Implements the `lovagesaddle` command line."""
