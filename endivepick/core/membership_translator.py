"""Translation of the membership's actions into those of the core."""

from collections.abc import Callable, Iterable
from math import isinf

from endivepick.core.actions import Action, Log, SendToAddress, SendToPeer
from endivepick.membership import Action as MembershipAction
from endivepick.membership import (
    InstanceView,
    LeaveRequested,
    PeerChanged,
    PeerProbeAnsweredLate,
    PeerProbeFailed,
    PeerState,
    Send,
    SendToSeed,
    Superseded,
)
from endivepick.membership import Log as MembershipLog

__all__ = ["MembershipActionTranslator"]


class MembershipActionTranslator:
    """Turns what the membership wants into actions of the core.

    Parameters
    ----------
    on_changed : callable
        Called with the time when the belief about a peer changed; returns actions.
    on_lost : callable
        Called with the name of a peer whose incarnation has ended.
    on_leave : callable
        Called with the time when this instance has to stop; returns actions, those
        of the membership among them.
    """

    def __init__(
        self,
        on_changed: Callable[[float], list[Action]],
        on_lost: Callable[[str], None],
        on_leave: Callable[[float], Iterable[Action | MembershipAction]],
    ) -> None:
        self._on_changed = on_changed
        self._on_lost = on_lost
        self._on_leave = on_leave

    def translate(
        self, actions: Iterable[Action | MembershipAction], now_s: float
    ) -> list[Action]:
        """Translate the membership's actions; those of the core pass through."""
        translated: list[Action] = []
        for action in actions:
            translated += self._translate_one(action, now_s)
        return translated

    def _translate_one(
        self, action: Action | MembershipAction, now_s: float
    ) -> list[Action]:
        match action:
            case Send(to_name=to_name, message=message):
                return [SendToPeer(to_name, message)]
            case SendToSeed(peer_address=peer_address, message=message):
                return [SendToAddress(peer_address, message)]
            case PeerChanged(old=old, new=new):
                if old is not None and _has_ended(old, new):
                    self._on_lost(old.name)
                return [_describe(old, new), *self._on_changed(now_s)]
            case LeaveRequested() | Superseded():
                return self.translate(self._on_leave(now_s), now_s)
            case PeerProbeFailed():
                return [_describe_failure(action)]
            case PeerProbeAnsweredLate(name=name, waited_s=waited_s):
                ids = {"peer": name, "waited_s": round(waited_s, 3)}
                text = "answer to a failed probe came"
                return [Log("membership", "probe_answered_late", text, ids)]
            case MembershipLog(text=text, peer=peer):
                return [Log("membership", "membership", text, {"peer": peer})]
            case _:
                return [action]


def _has_ended(old: InstanceView, new: InstanceView | None) -> bool:
    if new is None or new.state is PeerState.DEAD:
        return True
    return new.incarnation != old.incarnation


def _describe_failure(failure: PeerProbeFailed) -> Action:
    ids = {
        "peer": failure.name,
        "waited_s": round(failure.waited_s, 3),
        "longest_gap_s": round(failure.longest_gap_s, 3),
        "answered_before_s": _rounded_or_none(failure.answered_before_s),
        "helpers": failure.helpers,
        "reports": failure.reports,
    }
    return Log("membership", "probe_failed", "probe got no answer in time", ids)


def _rounded_or_none(time_s: float) -> float | None:
    """Round a time for the log, which has no infinite numbers."""
    return None if isinf(time_s) else round(time_s, 3)


def _describe(old: InstanceView | None, new: InstanceView | None) -> Action:
    view = new or old
    assert view is not None
    state = new.state.value if new else "forgotten"
    return Log(
        "membership",
        "peer_changed",
        f"peer is {state}",
        {"peer": view.name, "incarnation": view.incarnation, "state": state},
    )
