"""Decision core: events in, actions out, without sockets, clock or randomness.

Parts of use by themselves are exported here.  The whole core of an instance is
``endivepick.core.instance.InstanceCore``; it is not exported, since it imports
the other subpackages, which use the parts below.
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
