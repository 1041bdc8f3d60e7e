"""Time-outs between suspicion and death."""

from dataclasses import dataclass, field
from math import ceil, log

from endivepick.membership._mass_loss import LossWatch
from endivepick.membership._member import Member
from endivepick.membership.settings import MembershipSettings


@dataclass(slots=True)
class _Suspicion:
    started_s: float
    accusers: set[str] = field(default_factory=set)


class SuspicionTimers:
    """One timer for each suspected peer.

    Independent accusers shorten a timer; a mass loss makes it longer.
    """

    def __init__(self, settings: MembershipSettings, losses: LossWatch) -> None:
        self._settings = settings
        self._losses = losses
        self._running: dict[str, _Suspicion] = {}

    def start(self, name: str, now_s: float) -> None:
        """Start a timer unless it runs."""
        if name not in self._running:
            self._running[name] = _Suspicion(now_s)
            self._losses.lose(name)

    def confirm(self, name: str, accuser: str) -> bool:
        """Count an accuser; return whether it was a new one that matters."""
        suspicion = self._running.get(name)
        if suspicion is None or not accuser or accuser in suspicion.accusers:
            return False
        if len(suspicion.accusers) > self._settings.suspect_confirmations:
            return False
        suspicion.accusers.add(accuser)
        return True

    def stop(self, name: str) -> None:
        """Stop a timer."""
        self._running.pop(name, None)

    def restart_all(self, now_s: float) -> None:
        """Let all timers run from now, after a pause."""
        for suspicion in self._running.values():
            suspicion.started_s = now_s

    def expired(self, now_s: float, members: dict[str, Member]) -> list[str]:
        """Return the names whose time is over."""
        return [
            name
            for name, suspicion in self._running.items()
            if now_s >= self._expiry_s(members[name], suspicion)
        ]

    def _expiry_s(self, member: Member, suspicion: _Suspicion) -> float:
        settings = self._settings
        if member.was_listed and not member.listed:
            return suspicion.started_s + settings.suspect_min_s
        if self._losses.is_mass(member.zone):
            # All deaths of one second are one change for whoever acts on them.
            return ceil(suspicion.started_s + settings.mass_dead_after_s)
        return suspicion.started_s + self._limit_s(suspicion)

    def _limit_s(self, suspicion: _Suspicion) -> float:
        settings = self._settings
        wanted = settings.suspect_confirmations
        if wanted == 0:
            return settings.suspect_min_s
        confirmations = min(wanted, max(0, len(suspicion.accusers) - 1))
        share = log(confirmations + 1) / log(wanted + 1)
        span_s = settings.suspect_max_s - settings.suspect_min_s
        return settings.suspect_max_s - share * span_s
