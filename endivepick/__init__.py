"""Layer-4 load balancer: coordination parts and thin daemons."""

__version__ = "0.1.0"
