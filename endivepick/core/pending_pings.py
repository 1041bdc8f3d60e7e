"""Probes of peers that have no answer yet."""

from collections.abc import Iterable

from endivepick.core.actions import Action, SendToPeer
from endivepick.membership import MembershipSettings
from endivepick.membership.peer_messages import Ack, Ping

__all__ = ["OpenPings"]


class OpenPings:
    """Knows whether a probe may soon need its next step.

    The membership asks other peers when a probe has no answer for a while, at the
    first tick after that; without such a probe ticks may come less often.

    Parameters
    ----------
    settings : MembershipSettings
        How long a probe is open at most.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._kept_s = settings.probe_deadline_s * (1 + settings.health_max)
        self._sent_at_s: dict[tuple[str, int], float] = {}

    def __bool__(self) -> bool:
        return bool(self._sent_at_s)

    def sent(self, actions: Iterable[Action], now_s: float) -> None:
        """Take what is sent; only probes count."""
        for action in actions:
            match action:
                case SendToPeer(name=name, message=Ping(sequence=sequence)):
                    self._sent_at_s[name, sequence] = now_s

    def answered(self, sender: str, ack: Ack) -> None:
        """Take an answer."""
        self._sent_at_s.pop((sender, ack.sequence), None)

    def prune(self, now_s: float) -> None:
        """Forget the probes that have failed by now."""
        oldest_s = now_s - self._kept_s
        failed = [ping for ping, at_s in self._sent_at_s.items() if at_s <= oldest_s]
        for ping in failed:
            del self._sent_at_s[ping]
