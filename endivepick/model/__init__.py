"""Specification of the core protocol and its exhaustive check."""
