"""HTTP towards callers, backend servers and operators."""
