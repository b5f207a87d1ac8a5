"""HTTP server and client for callers, backend servers and operators."""
