"""Frozen data shared by every part: services, snapshots, messages."""
