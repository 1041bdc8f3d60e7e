"""Suspicion timeouts."""

from dataclasses import dataclass, field
from math import ceil, log

from endivepick.membership._mass_loss import MassLossDetector
from endivepick.membership._member import Member
from endivepick.membership.settings import MembershipSettings


@dataclass(slots=True)
class _Suspicion:
    started_s: float
    accusers: set[str] = field(default_factory=set)


class SuspicionTimers:
    """Timers of the suspected peers; a peer is declared dead on expiry.

    Confirmations by independent accusers shorten a timer; a mass loss extends it.
    """

    def __init__(self, settings: MembershipSettings, losses: MassLossDetector) -> None:
        self._settings = settings
        self._losses = losses
        self._suspicions: dict[str, _Suspicion] = {}

    def start(self, name: str, now_s: float) -> None:
        """Start the timer of a peer unless it is running."""
        if name not in self._suspicions:
            self._suspicions[name] = _Suspicion(now_s)
            self._losses.mark_lost(name)

    def confirm(self, name: str, accuser: str) -> bool:
        """Record an accuser; return whether it is a new confirmation."""
        suspicion = self._suspicions.get(name)
        if suspicion is None or not accuser or accuser in suspicion.accusers:
            return False
        # The first accuser starts the suspicion; only later ones confirm it.
        if len(suspicion.accusers) > self._settings.suspect_confirmations:
            return False
        suspicion.accusers.add(accuser)
        return True

    def stop(self, name: str) -> None:
        """Stop the timer of a peer."""
        self._suspicions.pop(name, None)

    def restart_all(self, now_s: float) -> None:
        """Restart all timers, after a pause of this process."""
        for suspicion in self._suspicions.values():
            suspicion.started_s = now_s

    def find_expired(self, now_s: float, members: dict[str, Member]) -> list[str]:
        """Return the names of the peers whose timers have expired."""
        return [
            name
            for name, suspicion in self._suspicions.items()
            if now_s >= self._compute_expiry_s(members[name], suspicion)
        ]

    def _compute_expiry_s(self, member: Member, suspicion: _Suspicion) -> float:
        settings = self._settings
        if member.was_listed and not member.is_listed:
            # Removal from the platform's list confirms the failure.
            return suspicion.started_s + settings.suspect_min_s
        if self._losses.is_mass_loss(member.zone):
            # Rounding up to whole seconds batches the deaths, so that consumers
            # process one change per second.
            return ceil(suspicion.started_s + settings.mass_dead_after_s)
        return suspicion.started_s + self._compute_timeout_s(suspicion)

    def _compute_timeout_s(self, suspicion: _Suspicion) -> float:
        settings = self._settings
        confirmations_max = settings.suspect_confirmations
        if confirmations_max == 0:
            return settings.suspect_min_s
        # The first accuser does not count as a confirmation.
        confirmations = min(confirmations_max, max(0, len(suspicion.accusers) - 1))
        reduction = log(confirmations + 1) / log(confirmations_max + 1)
        span_s = settings.suspect_max_s - settings.suspect_min_s
        return settings.suspect_max_s - reduction * span_s
