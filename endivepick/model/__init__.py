"""Specifications of the core protocols and their exhaustive model check."""
