"""Decision core: maps events to actions without sockets, clock or randomness.

This package exports the components that can be used on their own.  The complete
core of an instance is ``endivepick.core.instance.InstanceCore``.  It is not
exported here because it imports other subpackages that use these components,
which would make the import circular.
"""

from endivepick.core.chart import Chart, load_chart
from endivepick.core.rendezvous import owner, rank, top
from endivepick.core.replay_window import ReplayWindow, SeqState, WindowSnapshot
from endivepick.core.token import FlowToken, TokenCodec

__all__ = [
    "Chart",
    "FlowToken",
    "ReplayWindow",
    "SeqState",
    "TokenCodec",
    "WindowSnapshot",
    "load_chart",
    "owner",
    "rank",
    "top",
]
