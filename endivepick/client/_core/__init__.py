"""Caller's side of the protocol: events in, actions out.

Nothing here has a socket, a clock or randomness of its own.
"""

from endivepick.client._core.actions import (
    Action,
    Completed,
    EventArrived,
    FlowOpened,
    HeadArrived,
    OpenFailed,
    RequestCall,
    SendDatagram,
    WriteLog,
)
from endivepick.client._core.caller_core import CallerCore

__all__ = [
    "Action",
    "CallerCore",
    "Completed",
    "EventArrived",
    "FlowOpened",
    "HeadArrived",
    "OpenFailed",
    "RequestCall",
    "SendDatagram",
    "WriteLog",
]
