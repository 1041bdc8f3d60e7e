"""Caller library."""
