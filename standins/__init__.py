"""Stand-ins for the platform, fabric, backend servers and callers; their harness."""
