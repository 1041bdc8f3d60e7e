"""Shares of a zone's openings that the targets of each zone take.

Load pattern: the callers of one zone send far more requests than those of the others,
or peaks come at different times, so one zone's targets queue while others are idle.

Flows stay in the own zone until its targets would be busy on average and clearly fuller
than those of another zone.  Then as many leave as make the loads per slot meet.  The
amount follows from the load without what the own callers have sent to other zones, so
it does not change because it was sent there, and two zones do not send their load to
each other in turn.
"""

import math
from collections.abc import Mapping, Sequence

from msgspec import Struct
from msgspec.structs import replace

from endivepick.forwarding.belief import TargetBelief
from endivepick.forwarding.load.balancing import LoadSource, count_slots
from endivepick.forwarding.placement import Candidates, compute_own_zone_share
from endivepick.forwarding.settings import ForwardingSettings

__all__ = ["BUSY_PER_SLOT", "ZoneBalancer", "ZoneState", "compute_zone_shares"]

BUSY_PER_SLOT = 1.0
"""Requests in progress per slot up to which all flows stay: every slot is busy on
average, and from there a request waits."""

MARGIN_PER_SLOT = 0.25
"""Requests per slot by which the own zone has to be fuller than the emptiest other."""

RAMP_PER_SLOT = 0.25
"""Requests per slot, beyond either limit, over which the part of the excess that leaves
rises from none to all.  Without it, load near a limit would leave and return at
random."""

MOVED_PART = 0.5
"""Part of the remaining excess that is moved at once; the other zones may be about to
move theirs."""

SMOOTHING_S = 2.0
"""Time constant of the shares, in seconds; totals of other zones may be 1.7 s old."""

UPDATE_GAP_S = 0.1
"""Minimum time between two computations of the shares, in seconds."""


class ZoneState(Struct, frozen=True):
    """Slots and load of the usable targets of a service in one zone.

    Attributes
    ----------
    zone : str
        Availability zone of the targets.
    slots : float
        Slots of its usable targets; cold ones count in part.
    busy : float or None
        Requests in progress from callers of all zones; None if unknown.  For the own
        zone, `sent` if others' callers are unknown.
    sent : float
        Requests in progress from callers of the own zone.
    """

    zone: str
    slots: float
    busy: float | None
    sent: float

    @property
    def kept(self) -> float:
        """Requests in progress from callers of other zones than the own one."""
        return max(0.0, (self.busy or 0.0) - self.sent)


class ZoneBalancer:
    """Shares of the openings of one service, for the instances of a zone.

    Parameters
    ----------
    settings : ForwardingSettings
        Own zone and limits.
    service : str
        Name of the service.
    """

    def __init__(self, settings: ForwardingSettings, service: str) -> None:
        self._settings = settings
        self._service = service
        self._candidates: Candidates | None = None
        self._shares: dict[str, float] | None = None
        self._updated_s = float("-inf")

    def find_shares(
        self,
        candidates: Candidates,
        load: LoadSource,
        now_s: float,
        cold_s: float = 0.0,
    ) -> Mapping[str, float]:
        """Return the share of the openings that each zone's targets take.

        Parameters
        ----------
        candidates : Candidates
            Targets that may take new flows, grouped for the zone.
        load : LoadSource
            Shared load.
        now_s : float
            Current time, in seconds.
        cold_s : float
            Duration of a cold start by the configuration, in seconds.

        Returns
        -------
        mapping of str to float
            Shares by zone, 1 in sum; empty without targets.
        """
        fresh = now_s - self._updated_s < UPDATE_GAP_S
        if self._shares is not None and fresh and candidates is self._candidates:
            return self._shares
        goal = self._compute_goal(candidates, load, now_s, cold_s)
        self._shares = self._smooth(goal, now_s)
        self._candidates = candidates
        self._updated_s = now_s
        return self._shares

    def _compute_goal(
        self, candidates: Candidates, load: LoadSource, now_s: float, cold_s: float
    ) -> dict[str, float]:
        by_zone: dict[str, list[TargetBelief]] = {}
        for belief in (*candidates.own, *candidates.others):
            by_zone.setdefault(belief.target.zone, []).append(belief)
        states = [
            self._survey(zone, beliefs, load, now_s, cold_s)
            for zone, beliefs in by_zone.items()
        ]
        nearby = compute_own_zone_share(
            self._settings, candidates.own, candidates.all_slots
        )
        return compute_zone_shares(self._settings.zone, states, nearby)

    def _survey(
        self,
        zone: str,
        beliefs: Sequence[TargetBelief],
        load: LoadSource,
        now_s: float,
        cold_s: float,
    ) -> ZoneState:
        slots = sum(count_slots(self._settings, b, cold_s, now_s) for b in beliefs)
        sent = sum(load.target_load(b, now_s) or 0.0 for b in beliefs)
        busy = load.zone_busy(self._service, zone, now_s)
        if busy is None and zone == self._settings.zone:
            busy = sent
        return ZoneState(zone, slots, busy, sent)

    def _smooth(self, goal: dict[str, float], now_s: float) -> dict[str, float]:
        before = self._shares
        if before is None or self._settings.zone not in goal:
            return goal
        weight = 1.0 - math.exp(-(now_s - self._updated_s) / SMOOTHING_S)
        zones = before.keys() | goal.keys()
        return {
            zone: (1.0 - weight) * before.get(zone, 0.0) + weight * goal.get(zone, 0.0)
            for zone in sorted(zones)
        }


def compute_zone_shares(
    own_zone: str, states: Sequence[ZoneState], nearby_share: float
) -> dict[str, float]:
    """Compute the shares of a zone's openings that each zone's targets should take.

    Parameters
    ----------
    own_zone : str
        Zone of the callers.
    states : sequence of ZoneState
        Zones with usable targets.
    nearby_share : float
        Share of the own zone by its slots alone; zones of unknown load get their part
        of the rest, and no more.

    Returns
    -------
    dict of str to float
        Shares by zone, 1 in sum; empty without targets.
    """
    own = next((s for s in states if s.zone == own_zone), None)
    others = [s for s in states if s.zone != own_zone]
    known = [s for s in others if s.busy is not None]
    shares = _share_unknown(others, nearby_share)
    left = 1.0 - sum(shares.values())
    if own is None and not known:
        return shares
    if own is None:
        rooms = _compute_rooms(known, _compute_level(known, BUSY_PER_SLOT))
        return shares | _divide(left, rooms)
    demand = own.sent + sum(s.sent for s in known)
    known = _exclude_exchanged(own, known)
    level = _compute_level([own, *known], 0.0)
    excess = _compute_excess(own, known, level)
    wanted = min(left, excess / demand) if demand else 0.0
    leaving = _divide(wanted, _compute_rooms(known, level))
    stays = left - sum(leaving.values())
    return {own_zone: stays} | shares | leaving


def _share_unknown(
    others: Sequence[ZoneState], nearby_share: float
) -> dict[str, float]:
    slots = sum(s.slots for s in others)
    return {
        s.zone: (1.0 - nearby_share) * s.slots / slots for s in others if s.busy is None
    }


def _compute_level(states: Sequence[ZoneState], least: float) -> float:
    """Return the load per slot at which the zones meet."""
    busy = sum(s.busy or 0.0 for s in states)
    return max(least, busy / sum(s.slots for s in states))


def _compute_rooms(states: Sequence[ZoneState], level: float) -> dict[str, float]:
    """Return the requests that each zone has room for up to a load per slot."""
    rooms = {s.zone: max(0.0, level * s.slots - s.kept) for s in states}
    if any(rooms.values()):
        return rooms
    return {s.zone: s.slots for s in states}


def _divide(total: float, parts: Mapping[str, float]) -> dict[str, float]:
    whole = sum(parts.values())
    return {zone: total * part / whole for zone, part in parts.items()}


def _exclude_exchanged(own: ZoneState, known: Sequence[ZoneState]) -> list[ZoneState]:
    """Return the states without requests sent that others' requests here offset.

    Zones that are full alike may have exchanged load while their totals had different
    ages.  If each took only its own requests for movable, all would find the exchange
    needed and keep it.
    """
    away = sum(s.sent for s in known)
    received = max(0.0, (own.busy or 0.0) - own.sent)
    kept_part = max(0.0, away - received) / away if away else 0.0
    return [replace(s, sent=s.sent * kept_part) for s in known]


def _compute_excess(own: ZoneState, known: Sequence[ZoneState], level: float) -> float:
    """Return the own callers' requests that should be in other zones for now."""
    if not known:
        return 0.0
    away = sum(s.sent for s in known)
    at_home = (own.busy or 0.0) + away
    per_slot = at_home / own.slots
    emptiest = min(s.kept / s.slots for s in known)
    part = _ramp(per_slot - BUSY_PER_SLOT) * _ramp(
        per_slot - emptiest - MARGIN_PER_SLOT
    )
    excess = part * max(0.0, at_home - level * own.slots)
    return min(excess, away + MOVED_PART * (excess - away))


def _ramp(beyond_per_slot: float) -> float:
    return min(1.0, max(0.0, beyond_per_slot / RAMP_PER_SLOT))
