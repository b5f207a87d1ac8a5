"""Decisions on roll-outs of new versions of backend servers."""
