"""Membership from a lagging list and direct evidence."""
