"""Service files checked and applied to the replicated state."""
