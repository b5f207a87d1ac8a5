"""Durable files under one data folder."""
