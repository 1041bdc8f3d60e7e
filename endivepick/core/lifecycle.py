"""Lifecycle of an instance: joining, serving and the planned stop."""

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
FINAL_HAND_OVER_S = 3.0
"""Time at the end of a planned stop to hand over flows with aborted requests."""
RELAY_LINGER_S = 1.0
"""Time that an instance continues to relay packets after its last flow is gone."""


@dataclass
class Lifecycle:
    """Current state of an instance in the state chart ``instance``.

    Attributes
    ----------
    settings : FlowSettings
        Time limit of the planned stop.
    membership : Membership
        Is notified when this instance is ready, leaves and stops.
    owner : FlowOwner
        Stops accepting requests once a planned stop begins.
    source : HandOverSource
        Hands over the flows in a planned stop.
    state : str
        State of the chart.
    """

    settings: FlowSettings
    membership: Membership
    owner: FlowOwner
    source: HandOverSource
    state: str = _CHART.initial
    _abort_at_s: float = 0.0
    _expires_at_s: float = 0.0
    _idle_since_s: float | None = None
    _announced_services: set[str] = field(default_factory=set)
    _reported_missing: str = ""

    @property
    def stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.state in _STOPPING

    @property
    def ready(self) -> bool:
        """Whether this instance can be assigned roles."""
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
        """Enter the state ``joining``; all sockets are bound."""
        return [self._step("listen")]

    def check_ready(self, missing: str, now_s: float) -> list[LifecycleAction]:
        """Become ready once no precondition is missing.

        Parameters
        ----------
        missing : str
            Reason why the instance is not ready, empty if it is.
        now_s : float
            Current time, in seconds.
        """
        if self.state != "joining":
            return []
        if missing:
            if missing == self._reported_missing:
                return []
            self._reported_missing = missing
            return [ReadinessChange(False, missing)]
        actions: list[LifecycleAction] = [self._step("join"), ReadinessChange(True, "")]
        actions += self.membership.set_ready(now_s)
        return actions

    def begin_stop(self, now_s: float) -> list[LifecycleAction]:
        """Begin the planned stop; repeated calls have no effect."""
        if not _CHART.allows(self.state, "stop"):
            return []
        actions: list[LifecycleAction] = [
            self._step("stop"),
            ReadinessChange(False, "leaving"),
        ]
        if self.state == "stopped":
            return [*actions, StopFinished(0)]
        self._expires_at_s = now_s + self.settings.drain_timeout_s
        final_s = min(FINAL_HAND_OVER_S, self.settings.drain_timeout_s / 2)
        self._abort_at_s = self._expires_at_s - final_s
        self.owner.begin_leaving(now_s, self._abort_at_s)
        actions += self.membership.leave(now_s)
        # Callers wait from now on, so the handover starts before the next tick.
        return actions + self.tick(now_s)

    def tick(self, now_s: float) -> list[LifecycleAction]:
        """Continue the planned stop."""
        if not self.stopping:
            return []
        actions: list[LifecycleAction] = []
        if now_s >= self._abort_at_s:
            actions += self.source.abort_running()
        actions += self.source.tick(now_s)
        if self.state == "leaving" and self.source.open_transfers:
            actions.append(self._step("hand_over"))
        actions += self._announce_handed_over_services()
        return actions + self._check_end(now_s)

    def _announce_handed_over_services(self) -> list[LifecycleAction]:
        """Announce the successor of each service whose flows were all handed over."""
        return self._announce_successors(self.source.handed_over_services())

    def _announce_successors(
        self, successors: dict[str, Identity]
    ) -> list[LifecycleAction]:
        actions: list[LifecycleAction] = []
        for service, successor in successors.items():
            if service in self._announced_services:
                continue
            self._announced_services.add(service)
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
        if not self.source.is_idle:
            self._idle_since_s = None
            return []
        if self._idle_since_s is None:
            self._idle_since_s = now_s
        if now_s - self._idle_since_s < RELAY_LINGER_S:
            return []
        return self._end("finish", now_s)

    def _end(self, event: str, now_s: float) -> list[LifecycleAction]:
        actions: list[LifecycleAction] = [self._step(event)]
        # Other instances can then locate the flows that were handed over, even if
        # some flows were not.
        actions += self._announce_successors(self.source.successors)
        actions += self.membership.stop(now_s)
        return [*actions, StopFinished(self.source.open_flows)]
