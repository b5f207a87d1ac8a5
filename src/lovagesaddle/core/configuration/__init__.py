"""Parsing of service files, and the replicated state they are applied to."""
