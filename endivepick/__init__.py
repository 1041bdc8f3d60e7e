"""Layer-4 load balancer: a library of coordination components and thin daemons."""

__version__ = "0.1.0"
