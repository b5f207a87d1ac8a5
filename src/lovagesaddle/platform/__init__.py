"""Adapts the programs to the users' platform: names, formats and endpoints.

Modules of this folder only convert; every decision is made in other folders.
"""
