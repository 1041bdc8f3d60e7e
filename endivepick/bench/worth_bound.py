"""Upper bound of the score that any balancer can reach over a day.

``python -m endivepick.bench.worth_bound day.json`` reads a JSON file with comments that
describes the requests of a day, the weights of the score, and the outages in which
instances did not run. It prints the score and its components, before prices, for a
balancer that loses only the requests that no balancer can serve; see
`endivepick.bench.dark_bound`.
"""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from math import ceil, log
from pathlib import Path
from typing import Annotated

import fire
import json5
import msgspec
from msgspec import Meta, Struct

from endivepick.bench.dark_bound import Caller, Outcome, best_outcome
from endivepick.errors import SettingsInvalidError

__all__ = ["DarkSpan", "Day", "RequestKind", "Weights", "WorthParts", "best_parts"]

WINDOW_S = 2.0
"""Length of the windows whose worst ones are scored separately, in seconds."""
WORST_WINDOWS = 2
_STEP_S = 0.01
"""Time step for the requests that arrive during an outage, in seconds."""
_MS = 0.001
_Positive = Annotated[float, Meta(gt=0.0)]
_Share = Annotated[float, Meta(ge=0.0, le=1.0)]


class RequestKind(Struct, frozen=True, forbid_unknown_fields=True):
    """Kind of request.

    Attributes
    ----------
    name : str
        Name of the kind.
    per_s : float
        Arrival rate, in requests per second.
    aim_ms, deadline_ms : float
        As in `endivepick.bench.dark_bound.Caller`.
    worth, late_worth : float
        Score of a request answered within the aim, or after it but before the
        deadline.
    service_ms : float
        Time from the arrival of the packet to the answer, in milliseconds.
    """

    name: str
    per_s: _Positive
    aim_ms: _Positive
    deadline_ms: _Positive
    worth: float = 1.0
    late_worth: float = 0.1
    service_ms: float = 30.0


class DarkSpan(Struct, frozen=True, forbid_unknown_fields=True):
    """Outage during which packets for some instances are not handled.

    Attributes
    ----------
    begin_s : float
        Start, in seconds since the start of the day.
    dark_ms : float
        Duration, in milliseconds: until an instance runs, or until the fabric no
        longer routes to the failed instances.
    share : float
        Fraction of the requests that are routed to these instances.
    """

    begin_s: Annotated[float, Meta(ge=0.0)]
    dark_ms: _Positive
    share: _Share = 1.0


class Weights(Struct, frozen=True, forbid_unknown_fields=True):
    """Weights of the components of the score. They add up to 1.

    Attributes
    ----------
    day, windows, kind, zone, nines : float
        Weights of the whole day, the worst windows, the worst-served kind of
        request, the worst-served zone, and the fraction of served requests on a
        logarithmic scale (number of nines).
    nines_best : float
        Fraction of unserved requests at or below which ``nines`` is 1.
    """

    day: _Share
    windows: _Share
    kind: _Share
    zone: _Share
    nines: _Share = 0.0
    nines_best: _Share = 0.001


class Day(Struct, frozen=True, forbid_unknown_fields=True):
    """Traffic and outages of one day.

    Attributes
    ----------
    length_s : float
        Length of the day, in seconds.
    kinds : tuple of RequestKind
        Kinds of requests.
    weights : Weights
        Weights of the score.
    dark : tuple of DarkSpan
        Outages.
    """

    length_s: _Positive
    kinds: Annotated[tuple[RequestKind, ...], Meta(min_length=1)]
    weights: Weights
    dark: tuple[DarkSpan, ...] = ()


class WorthParts(Struct, frozen=True):
    """Components of the score of a day, each from 0 to 1.

    Attributes
    ----------
    day, windows, kind, zone, nines : float
        Components as in `Weights`.
    worth : float
        Weighted sum of the components.
    """

    day: float
    windows: float
    kind: float
    zone: float
    nines: float
    worth: float


class _Loss(Struct, frozen=True):
    """Loss of the requests of one kind sent in one time step."""

    sent_s: float
    kind: str
    lost_worth: float
    unserved: float


def best_parts(day: Day) -> WorthParts:
    """Return the highest score that any balancer can reach on a day.

    All zones are assumed to be equal, so that the worst zone scores as the whole day.

    Parameters
    ----------
    day : Day
        Traffic and outages of the day.

    Examples
    --------
    >>> kinds = (RequestKind("alert", 100.0, aim_ms=400.0, deadline_ms=2000.0),)
    >>> weights = Weights(day=0.5, windows=0.5, kind=0.0, zone=0.0)
    >>> day = Day(20.0, kinds, weights, (DarkSpan(begin_s=10.0, dark_ms=600.0),))
    >>> parts = best_parts(day)
    >>> round(parts.day, 3), round(parts.windows, 3), round(parts.worth, 3)
    (0.982, 0.91, 0.946)
    """
    losses = list(_generate_losses(day))
    worth_by_kind_per_s = {kind.name: kind.per_s * kind.worth for kind in day.kinds}
    total_worth_per_s = sum(worth_by_kind_per_s.values())
    lost = sum(loss.lost_worth for loss in losses)
    served = 1.0 - lost / (total_worth_per_s * day.length_s)
    parts = {
        "day": served,
        "windows": _compute_worst_windows(losses, total_worth_per_s, day.length_s),
        "kind": _compute_worst_kind(losses, worth_by_kind_per_s, day.length_s),
        "zone": served,
        "nines": _compute_nines(losses, day),
    }
    weights = day.weights
    worth = sum(getattr(weights, name) * part for name, part in parts.items())
    return WorthParts(**parts, worth=worth)


def _generate_losses(day: Day) -> Iterator[_Loss]:
    """Yield the losses of all outages, by time step and kind of request."""
    for span in day.dark:
        dark_s = span.dark_ms * _MS
        for number in range(round(dark_s / _STEP_S)):
            elapsed_s = (number + 0.5) * _STEP_S
            for kind in day.kinds:
                requests = kind.per_s * _STEP_S * span.share
                sent_s = span.begin_s + elapsed_s
                yield _compute_loss(kind, requests, sent_s, dark_s - elapsed_s)


def _compute_loss(
    kind: RequestKind, requests: float, sent_s: float, remaining_s: float
) -> _Loss:
    caller = Caller(kind.aim_ms, kind.deadline_ms, kind.service_ms)
    match best_outcome(caller, remaining_s / _MS):
        case Outcome.IN_AIM:
            return _Loss(sent_s, kind.name, 0.0, 0.0)
        case Outcome.LATE:
            lost = requests * (kind.worth - kind.late_worth)
            return _Loss(sent_s, kind.name, lost, 0.0)
        case Outcome.LOST:
            return _Loss(sent_s, kind.name, requests * kind.worth, requests)


def _compute_worst_windows(
    losses: Sequence[_Loss], total_worth_per_s: float, length_s: float
) -> float:
    lost = [0.0] * ceil(length_s / WINDOW_S)
    for loss in losses:
        lost[int(loss.sent_s / WINDOW_S)] += loss.lost_worth
    worst = sorted(lost, reverse=True)[:WORST_WINDOWS]
    return 1.0 - sum(worst) / (len(worst) * total_worth_per_s * WINDOW_S)


def _compute_worst_kind(
    losses: Sequence[_Loss], total_worth_per_s: dict[str, float], length_s: float
) -> float:
    lost: dict[str, float] = defaultdict(float)
    for loss in losses:
        lost[loss.kind] += loss.lost_worth
    return min(
        1.0 - lost[name] / (per_s * length_s)
        for name, per_s in total_worth_per_s.items()
    )


def _compute_nines(losses: Sequence[_Loss], day: Day) -> float:
    """Return the fraction of served requests on a logarithmic scale."""
    unserved = sum(loss.unserved for loss in losses)
    share = unserved / (sum(kind.per_s for kind in day.kinds) * day.length_s)
    best = day.weights.nines_best
    return log(max(share, best)) / log(best)


def read_day(path: Path) -> Day:
    """Read the description of a day from a file.

    Raises
    ------
    SettingsInvalidError
        If the file is not JSON with comments, or does not describe a day.
    """
    try:
        return msgspec.convert(json5.loads(path.read_text()), Day)
    except (ValueError, msgspec.ValidationError) as error:
        raise SettingsInvalidError(f"{path}: {error}. Correct the file.") from error


def main(path: str) -> None:
    """Print the highest reachable score of a day and its components, before prices.

    Parameters
    ----------
    path : str
        File that describes the day, as JSON with comments.
    """
    for name, part in msgspec.structs.asdict(best_parts(read_day(Path(path)))).items():
        print(f"{name:8} {part:.3f}")


if __name__ == "__main__":
    fire.Fire(main)
