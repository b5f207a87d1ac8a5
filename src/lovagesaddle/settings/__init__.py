"""Settings of the three programs and their files."""
