"""Logs of all processes merged into one time line."""
