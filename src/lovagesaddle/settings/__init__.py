"""Settings files of the three programs."""
