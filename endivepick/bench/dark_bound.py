"""Upper bound of the requests that any balancer can serve during an outage.

``python -m endivepick.bench.dark_bound --dark_ms=580 --aim_ms=400 --deadline_ms=2000``
prints the fraction of the requests sent during an outage that an ideal balancer serves
in time: one that forwards from the moment at which an instance runs again. Losses
beyond this bound are caused by failure detection, start-up or placement.
"""

from collections import Counter
from dataclasses import dataclass
from enum import Enum

import fire

__all__ = ["Caller", "Outcome", "best_outcome", "best_shares", "main"]

_MS = 0.001
_STEP_MS = 1


class Outcome(Enum):
    """Outcome of a request."""

    IN_AIM = "in aim"
    LATE = "late"
    LOST = "lost"


@dataclass(frozen=True)
class Caller:
    """Timeouts and retransmissions of a caller.

    Attributes
    ----------
    aim_ms : float
        Target response time, in milliseconds.
    deadline_ms : float
        Time after which the caller gives up, in milliseconds.
    service_ms : float
        Time from the arrival of the packet to the answer, in milliseconds.
    repeats_ms : tuple of float
        Retransmission times since the first packet of a request, in milliseconds.
        Opening packets and data have the same times up to the third.
    """

    aim_ms: float
    deadline_ms: float
    service_ms: float = 30.0
    repeats_ms: tuple[float, ...] = (200.0, 600.0, 1400.0, 3000.0, 4600.0)


def best_outcome(caller: Caller, dark_for_ms: float) -> Outcome:
    """Return the best outcome of a request sent this long before an instance runs.

    Examples
    --------
    >>> caller = Caller(aim_ms=400.0, deadline_ms=2000.0)
    >>> [best_outcome(caller, left_ms).value for left_ms in (150.0, 250.0, 1500.0)]
    ['in aim', 'late', 'lost']
    """
    for sent_ms in (0.0, *caller.repeats_ms):
        if sent_ms < dark_for_ms:
            continue
        answered_ms = sent_ms + caller.service_ms
        if answered_ms <= caller.aim_ms:
            return Outcome.IN_AIM
        if answered_ms <= caller.deadline_ms:
            return Outcome.LATE
        return Outcome.LOST
    return Outcome.LOST


def best_shares(caller: Caller, dark_ms: int) -> dict[Outcome, float]:
    """Return the fraction of requests by best outcome, for uniform arrivals."""
    spans_ms = range(_STEP_MS, dark_ms + _STEP_MS, _STEP_MS)
    ends = Counter(best_outcome(caller, float(left_ms)) for left_ms in spans_ms)
    return {outcome: ends[outcome] / len(spans_ms) for outcome in Outcome}


def main(
    dark_ms: int,
    aim_ms: float,
    deadline_ms: float,
    service_ms: float = 30.0,
    per_s: float = 0.0,
) -> None:
    """Print the best outcomes of the requests sent during an outage.

    Parameters
    ----------
    dark_ms : int
        Duration of the outage, in milliseconds.
    aim_ms, deadline_ms, service_ms : float
        As in `Caller`.
    per_s : float
        Arrival rate, in requests per second; 0 prints fractions only.
    """
    caller = Caller(aim_ms, deadline_ms, service_ms)
    for outcome, share in best_shares(caller, dark_ms).items():
        number = f"  {share * dark_ms * _MS * per_s:.1f} requests" if per_s else ""
        print(f"{outcome.value:7} {share:.3f}{number}")


if __name__ == "__main__":
    fire.Fire(main)
