"""Leases and expiry of nodes and backend servers."""
