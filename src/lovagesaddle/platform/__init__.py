"""Adapts the programs to the users' platform: names, formats and endpoints.

Modules of this package only convert; other packages make every decision.
"""
