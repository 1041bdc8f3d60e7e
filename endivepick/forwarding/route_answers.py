"""Which targets recently answered the requests of each route in time.

Targets of a service are compared by the share of their requests that are overdue.  This
presumes that their callers ask for similar work.  A route whose requests take longer,
or take longer from now on, may have all its flows at one target.  Its overdue requests
are evidence against that target only if another one answers the same route in time.
"""

from collections.abc import Iterable

from msgspec import Struct

from endivepick.forwarding.flows import ObservedFlow

__all__ = ["RouteAnswers"]

RECENT_ANSWER_S = 4.0
"""Age up to which an answer of another target is recent; the counts of requests, with
which targets are compared, fade within the same time."""
MAX_ROUTES = 512
"""Number of routes from which those without recent answers are forgotten."""


class _Route(Struct, frozen=True):
    """Route to a service."""

    service: str
    host: int
    port: int


class _Answer(Struct, frozen=True):
    """Latest answer in time of a target."""

    target: str
    at_s: float


class RouteAnswers:
    """The two targets that last answered each route in time."""

    def __init__(self) -> None:
        self._answers: dict[_Route, tuple[_Answer, ...]] = {}

    def record(self, flow: ObservedFlow, now_s: float) -> None:
        """Record that a request of a flow was answered in time."""
        route, newest = _route_of(flow), _Answer(flow.belief.name, now_s)
        others = _of_others(self._answers.get(route, ()), newest.target)
        self._answers[route] = (newest, *others[:1])
        if len(self._answers) > MAX_ROUTES:
            self._forget_old_answers(now_s)

    def is_answered_elsewhere(self, flow: ObservedFlow, now_s: float) -> bool:
        """Whether another target recently answered the flow's route in time."""
        others = _of_others(self._answers.get(_route_of(flow), ()), flow.belief.name)
        return any(now_s - answer.at_s <= RECENT_ANSWER_S for answer in others)

    def _forget_old_answers(self, now_s: float) -> None:
        limit_s = now_s - RECENT_ANSWER_S
        self._answers = {
            route: answers
            for route, answers in self._answers.items()
            if answers[0].at_s >= limit_s
        }


def _route_of(flow: ObservedFlow) -> _Route:
    key = flow.key
    return _Route(flow.belief.target.service, key.service_host, key.service_port)


def _of_others(answers: Iterable[_Answer], target: str) -> list[_Answer]:
    return [answer for answer in answers if answer.target != target]
