"""State charts as tables: the next state by state and event.

Made from endivepick/charts by ``python -m endivepick.core.chart_tables``; change the
charts instead of this file.
"""

__all__ = ["FITNESS", "OVERLOAD", "REACHABILITY", "REGISTERED_TARGET"]

FITNESS = {
    ("impaired", "rested"): "returning",
    ("returning", "condemned"): "impaired",
    ("returning", "proved"): "sound",
    ("sound", "condemned"): "impaired",
}

OVERLOAD = {
    ("normal", "room_used_up"): "overloaded",
    ("overloaded", "room_found"): "recovering",
    ("overloaded", "signals_lost"): "normal",
    ("recovering", "all_admitted"): "normal",
    ("recovering", "room_used_up"): "overloaded",
    ("recovering", "signals_lost"): "normal",
}

REACHABILITY = {
    ("dead", "probe_alive"): "reachable",
    ("dead", "probe_silent"): "silent",
    ("dead", "progress"): "reachable",
    ("reachable", "callers_repeat"): "suspect",
    ("reachable", "probe_refused"): "dead",
    ("reachable", "probe_silent"): "suspect",
    ("silent", "probe_alive"): "reachable",
    ("silent", "probe_refused"): "dead",
    ("silent", "progress"): "reachable",
    ("suspect", "probe_alive"): "reachable",
    ("suspect", "probe_refused"): "dead",
    ("suspect", "probe_silent"): "silent",
    ("suspect", "progress"): "reachable",
}

REGISTERED_TARGET = {
    ("draining", "dead_entry_removed"): "gone",
    ("draining", "entry_ready"): "ready",
    ("draining", "entry_removed"): "gone",
    ("gone", "entry_draining"): "draining",
    ("gone", "entry_ready"): "ready",
    ("lapsed", "entry_draining"): "draining",
    ("lapsed", "entry_ready"): "ready",
    ("lapsed", "entry_unreadable"): "unreadable",
    ("lapsed", "found_dead"): "gone",
    ("lapsed", "grace_over"): "gone",
    ("ready", "dead_entry_removed"): "gone",
    ("ready", "entry_draining"): "draining",
    ("ready", "entry_removed"): "lapsed",
    ("ready", "entry_unreadable"): "unreadable",
    ("unreadable", "dead_entry_removed"): "gone",
    ("unreadable", "entry_draining"): "draining",
    ("unreadable", "entry_ready"): "ready",
    ("unreadable", "entry_removed"): "gone",
}
