"""Logs of all processes merged into one time line."""

from endivepick.timeline.clock import HybridClock, stamp_to_s

__all__ = ["HybridClock", "stamp_to_s"]
