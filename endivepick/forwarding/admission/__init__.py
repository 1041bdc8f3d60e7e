"""Admission of openings by priority while a service is overloaded."""
