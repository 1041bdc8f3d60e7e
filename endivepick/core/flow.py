"""Flows and requests as their owner holds them."""

from dataclasses import dataclass, field

from endivepick.core.answer_buffer import AnswerBuffer
from endivepick.core.chart import load_chart
from endivepick.core.dispatch import FlowActivity
from endivepick.core.messages import CallerAddress, Outcome, Refused, RequestHead
from endivepick.core.replay_window import ReplayWindow

__all__ = ["OwnedFlow", "OwnedRequest"]

_CHART = load_chart("owned_request")
_TARGET_BOUND = frozenset({"waiting", "running"})


@dataclass(slots=True)
class OwnedRequest:
    """One request of a flow.

    Attributes
    ----------
    seq : int
        Number within the flow.
    idempotent : bool
        Whether it may run more than once.
    deadline_at_s : float
        When the caller stops waiting.
    state : str
        State of the chart ``owned_request``.
    parts : dict
        Request parts that arrived, by index; empty once the request is complete.
    part_count : int
        Number of parts.
    head : RequestHead or None
        The request, once complete.
    answer : AnswerBuffer or None
        The answer, once it begins.
    verdict : Refused or Outcome or None
        The final word, if there is no answer.
    submissions : int
        How often the dispatcher got it.
    attempt : int
        Number of the present attempt, 0 before the first.
    may_have_run : bool
        An attempt broke off after its start, so that "not run" would be untrue.
    last_event_id : str
        Last event of a stream that is in the answer.
    heard_at_s : float
        When the caller last spoke of it.
    accepted_at_s : float
        When it was complete at this owner, 0 before.
    last_failure : str
        How its last attempt ended without an answer, empty if none did.
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
        """Follow the chart."""
        self.state = _CHART.step(self.state, event)

    def allows(self, event: str) -> bool:
        """Tell whether the chart has this event in the present state."""
        return _CHART.allows(self.state, event)

    @property
    def in_progress(self) -> bool:
        """Whether a planned stop has to wait for it.

        Streams and requests that wait for a target are handed over.
        """
        return self.state == "running" and not self.is_stream

    @property
    def is_at_dispatcher(self) -> bool:
        """Whether the dispatcher knows it."""
        return self.state in _TARGET_BOUND

    @property
    def can_resume(self) -> bool:
        """Whether it is a stream that has begun and can go on at another target."""
        return self.is_stream and self.attempt > 0

    @property
    def is_stream(self) -> bool:
        """Whether the answer is an event stream."""
        return self.head is not None and self.head.stream


@dataclass(slots=True)
class OwnedFlow:
    """One binding and its replay window.

    Attributes
    ----------
    flow_id : int
        Flow that the binding belongs to.
    binding : int
        Key of the replay window.
    service : str
        Service of the flow.
    target : str
        Target that the flow is pinned to; empty if any will do.
    window : ReplayWindow
        Request numbers seen.
    caller : tuple
        Address that the last packet came from.
    heard_at_s : float
        When the last packet came.
    requests : dict
        Requests by number that are not done.
    frozen : bool
        Handed to a successor, or about to be: nothing runs here any more.
    closed : bool
        The caller has closed the flow.
    activity : FlowActivity
        How fast it has sent requests of late.
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
        """Whether a request has begun and not ended."""
        return any(request.in_progress for request in self.requests.values())

    @property
    def is_unused(self) -> bool:
        """Whether it never claimed a request, so that it can be forgotten."""
        return self.window.is_untouched and not self.requests
