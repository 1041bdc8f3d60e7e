"""Occupancy of a target: requests, streams, flows and its queue."""

from collections.abc import Hashable

from endivepick.core.dispatch.external_load import ExternalLoad
from endivepick.core.dispatch.flow_activity import TargetActivity
from endivepick.core.dispatch.settings import DispatchSettings
from endivepick.core.dispatch.waiting import PendingRequest, WaitingQueue
from endivepick.records.model import TargetRecord

__all__ = ["TargetOccupancy"]


class TargetOccupancy:
    """Requests, streams and flows of a target, without any decisions.

    Parameters
    ----------
    settings : DispatchSettings
        Settings of the dispatcher.
    record : TargetRecord
        Entry of the target in the service record.

    Attributes
    ----------
    running : dict
        Requests of this owner that use a slot, by id.
    streams : dict
        Event streams of this owner, by id.
    queue : WaitingQueue
        Requests that are pinned to this target and wait.
    flows : int
        Number of flows that are pinned to it.
    activity : TargetActivity
        Request rate of these flows.
    load : ExternalLoad
        Load caused by other senders.
    """

    def __init__(self, settings: DispatchSettings, record: TargetRecord) -> None:
        self.record = record
        self.running: dict[Hashable, PendingRequest] = {}
        self.streams: dict[Hashable, PendingRequest] = {}
        self.queue = WaitingQueue()
        self.flows = 0
        self.activity = TargetActivity(settings.arrival_memory_s)
        self.load = ExternalLoad(settings)

    def add(self, request: PendingRequest) -> None:
        """Add a request or stream that starts now."""
        request_id = request.intent.request_id
        if request.intent.stream:
            self.streams[request_id] = request
            return
        self.running[request_id] = request
        self.load.update_own_peak(len(self.running))

    def remove_request(self, request_id: Hashable) -> None:
        """Remove a request or stream whose attempt ended."""
        self.running.pop(request_id, None)
        self.streams.pop(request_id, None)

    def used_slots(self, now_s: float) -> int:
        """Return the number of slots used by requests of this owner and of peers."""
        return len(self.running) + self.load.peer_requests(now_s)

    def free_connections(self) -> int:
        """Return the number of unused connections."""
        return self.record.connections - len(self.running) - len(self.streams)
