"""Protocol core of the caller: takes events and returns actions.

The core uses no socket, clock or random numbers, so that a simulated clock can
drive it reproducibly.
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
