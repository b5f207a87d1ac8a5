"""Configuration carried from the replicas to every node."""
