"""Daemon that receives packets and runs the forwarding core."""
