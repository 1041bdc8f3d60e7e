"""What a target holds: requests, streams, flows and its queue."""

from collections.abc import Hashable

from endivepick.core.dispatch.external_load import LoadView
from endivepick.core.dispatch.flow_activity import TargetActivity
from endivepick.core.dispatch.settings import DispatchSettings
from endivepick.core.dispatch.waiting import PendingRequest, WaitingQueue
from endivepick.records.model import TargetRecord

__all__ = ["TargetOccupancy"]


class TargetOccupancy:
    """Counts what a target holds; decides nothing.

    Parameters
    ----------
    settings : DispatchSettings
        Settings of the dispatcher.
    record : TargetRecord
        The target's part of the service record.

    Attributes
    ----------
    running : dict
        Requests of this owner that hold a slot, by id.
    streams : dict
        Event streams of this owner, by id.
    queue : WaitingQueue
        Requests that wait for this very target.
    flows : int
        Flows that are pinned to it.
    activity : TargetActivity
        How fast these send requests.
    load : LoadView
        Work that others sent there.
    """

    def __init__(self, settings: DispatchSettings, record: TargetRecord) -> None:
        self.record = record
        self.running: dict[Hashable, PendingRequest] = {}
        self.streams: dict[Hashable, PendingRequest] = {}
        self.queue = WaitingQueue()
        self.flows = 0
        self.activity = TargetActivity(settings.arrival_memory_s)
        self.load = LoadView(settings)

    def add(self, request: PendingRequest) -> None:
        """Count a request in that starts now."""
        request_id = request.intent.request_id
        if request.intent.stream:
            self.streams[request_id] = request
            return
        self.running[request_id] = request
        self.load.on_own_count(len(self.running))

    def remove_request(self, request_id: Hashable) -> None:
        """Count a request out whose attempt ended."""
        self.running.pop(request_id, None)
        self.streams.pop(request_id, None)

    def in_use(self, now_s: float) -> int:
        """Return the slots that its own and known other requests hold."""
        return len(self.running) + self.load.peers(now_s)

    def free_connections(self) -> int:
        """Return how many connections it can still hold."""
        return self.record.connections - len(self.running) - len(self.streams)
