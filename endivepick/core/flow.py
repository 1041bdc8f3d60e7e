"""State of flows and requests at their owner."""

from dataclasses import dataclass, field

from endivepick.core.answer_buffer import AnswerBuffer
from endivepick.core.chart import load_chart
from endivepick.core.dispatch import FlowActivity
from endivepick.core.messages import CallerAddress, Outcome, Refused, RequestHead
from endivepick.core.replay_window import ReplayWindow

__all__ = ["OwnedFlow", "OwnedRequest"]

_CHART = load_chart("owned_request")
_DISPATCHER_STATES = frozenset({"waiting", "running"})


@dataclass(slots=True)
class OwnedRequest:
    """One request of a flow.

    Attributes
    ----------
    seq : int
        Sequence number within the flow.
    idempotent : bool
        Whether the request may run more than once.
    deadline_at_s : float
        Time at which the caller stops waiting.
    state : str
        State in the chart ``owned_request``.
    parts : dict
        Received request parts by index; empty once the request is complete.
    part_count : int
        Number of request parts.
    head : RequestHead or None
        Decoded request, once complete.
    answer : AnswerBuffer or None
        Buffered answer, once it begins.
    verdict : Refused or Outcome or None
        Final reply of a request that has no answer.
    submissions : int
        Number of submissions to the dispatcher.
    attempt : int
        Number of the current attempt; 0 before the first.
    may_have_run : bool
        Whether an attempt was interrupted after its start, so that the reply
        "not run" would be wrong.
    last_event_id : str
        ID of the last stream event in the answer.
    heard_at_s : float
        Time of the caller's last packet about the request.
    accepted_at_s : float
        Time at which the request was complete at this owner; 0 before.
    last_failure : str
        Kind of the last attempt's failure; empty if no attempt failed.
    """

    seq: int
    idempotent: bool
    deadline_at_s: float
    heard_at_s: float
    state: str = _CHART.initial
    parts: dict[int, bytes] = field(default_factory=dict)
    part_count: int = 0
    head: RequestHead | None = None
    answer: AnswerBuffer | None = None
    verdict: Refused | Outcome | None = None
    submissions: int = 0
    attempt: int = 0
    may_have_run: bool = False
    last_event_id: str = ""
    accepted_at_s: float = 0.0
    last_failure: str = ""

    def step(self, event: str) -> None:
        """Apply an event of the state chart."""
        self.state = _CHART.step(self.state, event)

    def allows(self, event: str) -> bool:
        """Return whether the state chart allows an event in the current state."""
        return _CHART.allows(self.state, event)

    @property
    def in_progress(self) -> bool:
        """Whether a planned stop waits for the request.

        Streams and requests that wait for a target are handed over instead.
        """
        return self.state == "running" and not self.is_stream

    @property
    def is_at_dispatcher(self) -> bool:
        """Whether the dispatcher holds the request."""
        return self.state in _DISPATCHER_STATES

    @property
    def can_resume(self) -> bool:
        """Whether the request is a started stream that another target can resume."""
        return self.is_stream and self.attempt > 0

    @property
    def is_stream(self) -> bool:
        """Whether the answer is an event stream."""
        return self.head is not None and self.head.stream


@dataclass(slots=True)
class OwnedFlow:
    """A flow as held by its owner, under one binding.

    Attributes
    ----------
    flow_id : int
        Flow that the binding belongs to.
    binding : int
        Key of the replay window.
    service : str
        Service of the flow.
    target : str
        Target that the flow is pinned to; empty if it is not pinned.
    window : ReplayWindow
        Sequence numbers of claimed requests.
    caller : tuple
        Source address of the last packet.
    heard_at_s : float
        Time of the last packet.
    requests : dict
        Requests by sequence number whose final reply is not acknowledged or expired.
    frozen : bool
        Whether the flow is being handed over or has been; its requests no longer
        run at this instance.
    closed : bool
        Whether the caller has closed the flow.
    activity : FlowActivity
        Recent request rate of the flow.
    """

    flow_id: int
    binding: int
    service: str
    target: str
    window: ReplayWindow
    caller: CallerAddress
    heard_at_s: float
    requests: dict[int, OwnedRequest] = field(default_factory=dict)
    frozen: bool = False
    closed: bool = False
    activity: FlowActivity = field(default_factory=FlowActivity)

    @property
    def in_progress(self) -> bool:
        """Whether a planned stop waits for a request of the flow."""
        return any(request.in_progress for request in self.requests.values())

    @property
    def is_unused(self) -> bool:
        """Whether the flow has no request and never claimed one."""
        return self.window.is_unclaimed and not self.requests
