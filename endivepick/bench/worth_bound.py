"""What a day is worth with the best balancer, before prices.

``python -m endivepick.bench.worth_bound day.json`` reads a day's requests, how
their service is weighed, and the spans in which instances did not run, as JSON with
comments.  It prints the parts of the worth that a balancer would reach which loses only
what no balancer can save: see `endivepick.bench.dark_bound`.
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
"""Length of the windows of which the worst count by themselves."""
WORST_WINDOWS = 2
_STEP_S = 0.01
"""Requests of a span are looked at in steps of this time, in seconds."""
_MS = 0.001
_Positive = Annotated[float, Meta(gt=0.0)]
_Share = Annotated[float, Meta(ge=0.0, le=1.0)]


class RequestKind(Struct, frozen=True, forbid_unknown_fields=True):
    """Requests of one kind.

    Attributes
    ----------
    name : str
        Its name.
    per_s : float
        How many come a second.
    aim_ms, deadline_ms : float
        As in `endivepick.bench.dark_bound.Caller`.
    worth, late_worth : float
        What one is worth that is answered within the aim, or later.
    service_ms : float
        Time from the packet that arrives to the answer, in milliseconds.
    """

    name: str
    per_s: _Positive
    aim_ms: _Positive
    deadline_ms: _Positive
    worth: float = 1.0
    late_worth: float = 0.1
    service_ms: float = 30.0


class DarkSpan(Struct, frozen=True, forbid_unknown_fields=True):
    """A span in which packets for some instances meet nobody.

    Attributes
    ----------
    begin_s : float
        When it begins, in seconds of the day.
    dark_ms : float
        How long it is, in milliseconds: until an instance runs, or until the fabric
        has turned away from those that do not.
    share : float
        Part of the requests that are meant for these instances.
    """

    begin_s: Annotated[float, Meta(ge=0.0)]
    dark_ms: _Positive
    share: _Share = 1.0


class Weights(Struct, frozen=True, forbid_unknown_fields=True):
    """How the parts of the worth are weighed; they add up to 1.

    Attributes
    ----------
    day, windows, kind, zone, nines : float
        The whole day, the worst windows, the worst-served kind of request, the
        worst-served zone, and the share served at all, counted in nines.
    nines_best : float
        Share of unserved requests that counts as none.
    """

    day: _Share
    windows: _Share
    kind: _Share
    zone: _Share
    nines: _Share = 0.0
    nines_best: _Share = 0.001


class Day(Struct, frozen=True, forbid_unknown_fields=True):
    """A day of an installation.

    Attributes
    ----------
    length_s : float
        Its length, in seconds.
    kinds : tuple of RequestKind
        Its requests.
    weights : Weights
        How their service is weighed.
    dark : tuple of DarkSpan
        Spans without instances.
    """

    length_s: _Positive
    kinds: Annotated[tuple[RequestKind, ...], Meta(min_length=1)]
    weights: Weights
    dark: tuple[DarkSpan, ...] = ()


class WorthParts(Struct, frozen=True):
    """The parts of a day's worth, each from 0 to 1.

    Attributes
    ----------
    day, windows, kind, zone, nines : float
        As in `Weights`.
    worth : float
        Their weighed sum.
    """

    day: float
    windows: float
    kind: float
    zone: float
    nines: float
    worth: float


class _Loss(Struct, frozen=True):
    """What is lost of requests that are sent at one moment."""

    sent_s: float
    kind: str
    lost_worth: float
    unserved: float


def best_parts(day: Day) -> WorthParts:
    """Return what the best balancer reaches on a day.

    All zones are taken to be alike, so that the worst one is as good as the day.

    Parameters
    ----------
    day : Day
        The day.

    Examples
    --------
    >>> kinds = (RequestKind("alert", 100.0, aim_ms=400.0, deadline_ms=2000.0),)
    >>> weights = Weights(day=0.5, windows=0.5, kind=0.0, zone=0.0)
    >>> day = Day(20.0, kinds, weights, (DarkSpan(begin_s=10.0, dark_ms=600.0),))
    >>> parts = best_parts(day)
    >>> round(parts.day, 3), round(parts.windows, 3), round(parts.worth, 3)
    (0.982, 0.91, 0.946)
    """
    losses = list(_losses(day))
    owed = {kind.name: kind.per_s * kind.worth for kind in day.kinds}
    owed_per_s = sum(owed.values())
    lost = sum(loss.lost_worth for loss in losses)
    served = 1.0 - lost / (owed_per_s * day.length_s)
    parts = {
        "day": served,
        "windows": _worst_windows(losses, owed_per_s, day.length_s),
        "kind": _worst_kind(losses, owed, day.length_s),
        "zone": served,
        "nines": _nines(losses, day),
    }
    weights = day.weights
    worth = sum(getattr(weights, name) * part for name, part in parts.items())
    return WorthParts(**parts, worth=worth)


def _losses(day: Day) -> Iterator[_Loss]:
    """Yield what is lost of the requests of all spans, in small steps of time."""
    for span in day.dark:
        dark_s = span.dark_ms * _MS
        for number in range(round(dark_s / _STEP_S)):
            passed_s = (number + 0.5) * _STEP_S
            for kind in day.kinds:
                requests = kind.per_s * _STEP_S * span.share
                sent_s = span.begin_s + passed_s
                yield _loss(kind, requests, sent_s, dark_s - passed_s)


def _loss(kind: RequestKind, requests: float, sent_s: float, left_s: float) -> _Loss:
    caller = Caller(kind.aim_ms, kind.deadline_ms, kind.service_ms)
    match best_outcome(caller, left_s / _MS):
        case Outcome.IN_AIM:
            return _Loss(sent_s, kind.name, 0.0, 0.0)
        case Outcome.LATE:
            lost = requests * (kind.worth - kind.late_worth)
            return _Loss(sent_s, kind.name, lost, 0.0)
        case Outcome.LOST:
            return _Loss(sent_s, kind.name, requests * kind.worth, requests)


def _worst_windows(
    losses: Sequence[_Loss], owed_per_s: float, length_s: float
) -> float:
    lost = [0.0] * ceil(length_s / WINDOW_S)
    for loss in losses:
        lost[int(loss.sent_s / WINDOW_S)] += loss.lost_worth
    worst = sorted(lost, reverse=True)[:WORST_WINDOWS]
    return 1.0 - sum(worst) / (len(worst) * owed_per_s * WINDOW_S)


def _worst_kind(
    losses: Sequence[_Loss], owed_per_s: dict[str, float], length_s: float
) -> float:
    lost: dict[str, float] = defaultdict(float)
    for loss in losses:
        lost[loss.kind] += loss.lost_worth
    return min(
        1.0 - lost[name] / (per_s * length_s) for name, per_s in owed_per_s.items()
    )


def _nines(losses: Sequence[_Loss], day: Day) -> float:
    """Return the share that is served at all on a logarithmic scale."""
    unserved = sum(loss.unserved for loss in losses)
    share = unserved / (sum(kind.per_s for kind in day.kinds) * day.length_s)
    best = day.weights.nines_best
    return log(max(share, best)) / log(best)


def read_day(path: Path) -> Day:
    """Read a day from a file.

    Raises
    ------
    SettingsInvalidError
        The file is no JSON with comments, or does not describe a day.
    """
    try:
        return msgspec.convert(json5.loads(path.read_text()), Day)
    except (ValueError, msgspec.ValidationError) as error:
        raise SettingsInvalidError(f"{path}: {error}. Correct the file.") from error


def main(path: str) -> None:
    """Print the parts of a day's worth at best, before prices.

    Parameters
    ----------
    path : str
        File that describes the day.
    """
    for name, part in msgspec.structs.asdict(best_parts(read_day(Path(path)))).items():
        print(f"{name:8} {part:.3f}")


if __name__ == "__main__":
    fire.Fire(main)
