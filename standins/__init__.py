"""Small stand-ins for the platform, fabric, backend servers and callers."""
