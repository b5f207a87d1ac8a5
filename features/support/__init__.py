"""In-memory test doubles around the core, used by the steps."""
