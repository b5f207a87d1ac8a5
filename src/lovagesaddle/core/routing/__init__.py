"""Routing, admission, retry and idempotency of calls."""
