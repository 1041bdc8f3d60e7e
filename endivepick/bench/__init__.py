"""Benchmarks, capacity measurements and simulations of placement policies."""
