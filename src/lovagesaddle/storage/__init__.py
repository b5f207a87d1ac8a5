"""Storage of log entries and snapshots in a data folder."""
