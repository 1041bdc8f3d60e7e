"""Life of one instance: joining, serving, and the planned stop."""

from dataclasses import dataclass, field

from endivepick.core.actions import Action, Log, ReadinessChange, StopFinished
from endivepick.core.chart import load_chart
from endivepick.core.flow_owner import FlowOwner
from endivepick.core.flow_table import Identity
from endivepick.core.handover_source import HandOverSource
from endivepick.core.settings import FlowSettings
from endivepick.membership import Action as MembershipAction
from endivepick.membership import Membership

__all__ = ["Lifecycle", "LifecycleAction"]

LifecycleAction = Action | MembershipAction
_CHART = load_chart("instance")
_STOPPING = frozenset({"leaving", "handing_over"})
LAST_HAND_OVER_S = 3.0
"""Time at the end of a planned stop for flows whose requests had to be cut."""
LINGER_S = 1.0
"""How long an instance goes on as a relay after its last flow, in seconds."""


@dataclass
class Lifecycle:
    """Follows the chart ``instance``.

    Attributes
    ----------
    settings : FlowSettings
        Bound on the planned stop.
    membership : Membership
        Learns when this instance is ready, leaves and stops.
    owner : FlowOwner
        Stops to accept requests in a planned stop.
    giver : HandOverGiver
        Hands the flows over.
    state : str
        State of the chart.
    """

    settings: FlowSettings
    membership: Membership
    owner: FlowOwner
    giver: HandOverSource
    state: str = _CHART.initial
    _cut_at_s: float = 0.0
    _expires_at_s: float = 0.0
    _empty_since_s: float | None = None
    _announced: set[str] = field(default_factory=set)
    _reason: str = ""

    @property
    def stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.state in _STOPPING

    @property
    def ready(self) -> bool:
        """Whether this instance takes roles."""
        return self.state == "ready"

    def _step(self, event: str) -> Log:
        old = self.state
        self.state = _CHART.step(old, event)
        return Log(
            "instance",
            "state_changed",
            f"state is {self.state}",
            {"old": old, "new": self.state},
        )

    def listen(self) -> list[Action]:
        """Note that all sockets are bound."""
        return [self._step("listen")]

    def check_ready(self, missing: str, now_s: float) -> list[LifecycleAction]:
        """Become ready once nothing is missing.

        Parameters
        ----------
        missing : str
            What is missing, empty if nothing is.
        now_s : float
            Present time, in seconds.
        """
        if self.state != "joining":
            return []
        if missing:
            if missing == self._reason:
                return []
            self._reason = missing
            return [ReadinessChange(False, missing)]
        actions: list[LifecycleAction] = [self._step("join"), ReadinessChange(True, "")]
        actions += self.membership.set_ready(now_s)
        return actions

    def begin_stop(self, now_s: float) -> list[LifecycleAction]:
        """Begin the planned stop; a second request changes nothing."""
        if not _CHART.allows(self.state, "stop"):
            return []
        actions: list[LifecycleAction] = [
            self._step("stop"),
            ReadinessChange(False, "leaving"),
        ]
        if self.state == "stopped":
            return [*actions, StopFinished(0)]
        self._expires_at_s = now_s + self.settings.drain_timeout_s
        reserve_s = min(LAST_HAND_OVER_S, self.settings.drain_timeout_s / 2)
        self._cut_at_s = self._expires_at_s - reserve_s
        self.owner.begin_leaving(now_s, self._cut_at_s)
        actions += self.membership.leave(now_s)
        # Callers wait from now on, so the hand-over does not wait for a tick.
        return actions + self.tick(now_s)

    def tick(self, now_s: float) -> list[LifecycleAction]:
        """Go on with the planned stop."""
        if not self.stopping:
            return []
        actions: list[LifecycleAction] = []
        if now_s >= self._cut_at_s:
            actions += self.giver.abort_running()
        actions += self.giver.tick(now_s)
        if self.state == "leaving" and self.giver.open_transfers:
            actions.append(self._step("hand_over"))
        actions += self._announce()
        return actions + self._check_end(now_s)

    def _announce(self) -> list[LifecycleAction]:
        """Tell the others which successor holds all of a service's flows."""
        return self._announce_all(self.giver.handed_over_services())

    def _announce_all(self, successors: dict[str, Identity]) -> list[LifecycleAction]:
        actions: list[LifecycleAction] = []
        for service, successor in successors.items():
            if service in self._announced:
                continue
            self._announced.add(service)
            actions += self.membership.announce_hand_over(
                service, successor.name, successor.incarnation
            )
            actions.append(
                Log(
                    "handover",
                    "service_handed_over",
                    "all flows of a service handed over",
                    {"service": service, "successor": successor.name},
                )
            )
        return actions

    def _check_end(self, now_s: float) -> list[LifecycleAction]:
        if now_s >= self._expires_at_s:
            return self._end("expire", now_s)
        if not self.giver.idle:
            self._empty_since_s = None
            return []
        if self._empty_since_s is None:
            self._empty_since_s = now_s
        if now_s - self._empty_since_s < LINGER_S:
            return []
        return self._end("finish", now_s)

    def _end(self, event: str, now_s: float) -> list[LifecycleAction]:
        actions: list[LifecycleAction] = [self._step(event)]
        # The others find the flows that were taken, whatever became of the rest.
        actions += self._announce_all(self.giver.successors)
        actions += self.membership.stop(now_s)
        return [*actions, StopFinished(self.giver.open_flows)]
