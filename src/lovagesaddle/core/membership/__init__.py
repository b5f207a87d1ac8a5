"""Joins, leases and expiry of nodes, and their backend servers."""
