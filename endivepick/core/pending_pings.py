"""Pings to peers that await an acknowledgement."""

from collections.abc import Iterable

from endivepick.core.actions import Action, SendToPeer
from endivepick.membership import MembershipSettings
from endivepick.membership.peer_messages import Ack, Ping

__all__ = ["PendingPings"]


class PendingPings:
    """Tracks whether a ping may soon need an indirect probe.

    The membership requests indirect probes at the first tick after a ping has gone
    unacknowledged for a while.  Without a pending ping, ticks may be less frequent.

    Parameters
    ----------
    settings : MembershipSettings
        Probe deadline, after which a ping has failed.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._kept_s = settings.probe_deadline_s * (1 + settings.health_max)
        self._sent_at_s: dict[tuple[str, int], float] = {}

    def __bool__(self) -> bool:
        return bool(self._sent_at_s)

    def record_sent(self, actions: Iterable[Action], now_s: float) -> None:
        """Record the pings among the actions."""
        for action in actions:
            match action:
                case SendToPeer(name=name, message=Ping(sequence=sequence)):
                    self._sent_at_s[name, sequence] = now_s

    def record_ack(self, sender: str, ack: Ack) -> None:
        """Remove the ping of an acknowledgement."""
        self._sent_at_s.pop((sender, ack.sequence), None)

    def remove_expired(self, now_s: float) -> None:
        """Remove the pings whose deadline has passed."""
        oldest_s = now_s - self._kept_s
        failed = [ping for ping, at_s in self._sent_at_s.items() if at_s <= oldest_s]
        for ping in failed:
            del self._sent_at_s[ping]
