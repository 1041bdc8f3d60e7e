"""Services that have a dispatcher at this instance."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from msgspec import structs

from endivepick.core.actions import Action, Log, Probe, SendToPeer
from endivepick.core.catalog import Catalog
from endivepick.core.dispatch import (
    DispatchSettings,
    ProbeOutcome,
    ProbeResult,
    ServiceDispatcher,
    TargetHealth,
    WaitingAllowance,
)
from endivepick.core.executor import RequestExecutor
from endivepick.core.flow_table import FlowTable
from endivepick.core.peer_messages import InFlightReport, TargetDraining

__all__ = ["OwnerLookup", "RoleSettings", "ServiceRoles"]

NEVER_S = float("-inf")


@dataclass(frozen=True)
class RoleSettings:
    """Probe, report and review intervals of an owner.

    Attributes
    ----------
    probe_every_s : float
        Interval between probes of a target, in seconds.
    quiet_probe_every_s : float
        Probe interval while the service has no requests and all its targets are
        ready, in seconds; never less than ``probe_every_s``.
    report_every_s : float
        Interval between reports of requests in progress, in seconds.
    report_kept_s : float
        Age at which another owner's last report is discarded, in seconds.
    review_every_s : float
        Interval between reviews of which services are still needed, in seconds.
    """

    probe_every_s: float = 1.0
    quiet_probe_every_s: float = 2.0
    report_every_s: float = 0.25
    report_kept_s: float = 3.0
    review_every_s: float = 1.0


class OwnerLookup(Protocol):
    """Service ownership that the roles query."""

    def pop_ownership_candidates(self) -> set[str]:
        """Return and clear the services that this instance may now own.

        These are the services whose ownership may have moved to this instance since
        the last call.
        """

    def owner_name(self, service: str) -> str:
        """Return the instance that currently opens a service's flows."""

    def is_owned_here(self, service: str) -> bool:
        """Return whether this instance currently opens a service's flows."""


@dataclass
class _ActiveService:
    """Schedule of an active service, and the other instances that use its targets."""

    probed_at_s: float
    next_report_s: float
    reporters: dict[str, float] = field(default_factory=dict)
    draining: set[str] = field(default_factory=set)


class ServiceRoles:
    """Keeps a dispatcher for each service that this instance owns or has flows of.

    Parameters
    ----------
    settings : RoleSettings
        Probe, report and review intervals.
    dispatch : DispatchSettings
        Settings of the dispatchers.
    zone : str
        Availability zone of this instance.
    catalog : Catalog
        Records in force.
    table : FlowTable
        Flows of this instance.
    executor : RequestExecutor
        Executor that uses the dispatchers.
    owners : OwnerLookup
        Owners of the services.
    my_name : str
        Name of this instance.
    """

    def __init__(
        self,
        settings: RoleSettings,
        dispatch: DispatchSettings,
        zone: str,
        catalog: Catalog,
        table: FlowTable,
        executor: RequestExecutor,
        owners: OwnerLookup,
        my_name: str,
    ) -> None:
        self._settings = settings
        self._dispatch = dispatch
        self._zone = zone
        self._catalog = catalog
        self._table = table
        self._executor = executor
        self._owners = owners
        self._my_name = my_name
        self._active: dict[str, _ActiveService] = {}
        self._allowance = WaitingAllowance(dispatch.waiting_per_instance)
        self._next_review_s = 0.0
        self._ended_peers: set[str] = set()

    @property
    def active(self) -> Iterable[str]:
        """Names of the services with a dispatcher at this instance."""
        return self._active.keys()

    @property
    def owned(self) -> list[str]:
        """Names of the active services that this instance owns."""
        return [name for name in self._active if self._owners.is_owned_here(name)]

    def activate(self, service: str, now_s: float) -> bool:
        """Create a service's dispatcher if needed; return False without a record."""
        if service in self._active:
            return True
        record = self._catalog.service(service)
        if record is None:
            return False
        self._executor.dispatchers[service] = ServiceDispatcher(
            self._dispatch, record, self._zone, now_s, self._allowance
        )
        self._active[service] = _ActiveService(NEVER_S, now_s)
        return True

    def activate_for_takeover(self, service: str, now_s: float) -> list[Action]:
        """Create a dispatcher for taken-over flows and probe its targets immediately.

        The flows' requests wait for the first probe result.
        """
        if service in self._active or not self.activate(service, now_s):
            return []
        self._active[service].probed_at_s = now_s
        return self._build_probes(service)

    def record_changed(self, service: str, now_s: float) -> list[Action]:
        """Apply a changed record to its dispatcher."""
        dispatcher = self._executor.dispatchers.get(service)
        record = self._catalog.service(service)
        if dispatcher is None:
            return []
        if record is None:
            return self._deactivate(service)
        active = self._active[service]
        active.probed_at_s = NEVER_S
        return self._executor.apply_decisions(
            dispatcher.update_record(record, now_s), now_s
        )

    def _deactivate(self, service: str) -> list[Action]:
        del self._active[service]
        del self._executor.dispatchers[service]
        self._allowance.remove_service(service)
        return [
            Log(
                "owner",
                "service_released",
                "service not owned and without flows here; dispatcher removed",
                {"service": service},
            )
        ]

    def tick(self, now_s: float) -> list[Action]:
        """Run due reviews, dispatcher ticks, probes and reports."""
        actions: list[Action] = []
        if now_s >= self._next_review_s:
            self._next_review_s = now_s + self._settings.review_every_s
            actions += self.review(now_s)
        actions += self._remove_ended_peers(now_s)
        for service, active in self._active.items():
            dispatcher = self._executor.dispatchers[service]
            actions += self._executor.apply_decisions(dispatcher.tick(now_s), now_s)
            if self._probe_is_due(active, dispatcher, now_s):
                active.probed_at_s = now_s
                actions += self._build_probes(service)
            if now_s >= active.next_report_s:
                active.next_report_s = now_s + self._settings.report_every_s
                actions += self._build_reports(service, active, now_s)
        return actions

    def on_peer_ended(self, name: str) -> None:
        """Release the slots reported by an ended instance at the next tick."""
        self._ended_peers.add(name)

    def _remove_ended_peers(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        ended, self._ended_peers = self._ended_peers, set()
        if not ended:
            return actions
        for service, active in self._active.items():
            dispatcher = self._executor.dispatchers[service]
            for name in sorted(ended & active.reporters.keys()):
                del active.reporters[name]
                decisions = dispatcher.remove_peer(name, now_s)
                actions += self._executor.apply_decisions(decisions, now_s)
        return actions

    def review(self, now_s: float) -> list[Action]:
        """Activate newly owned services and deactivate services no longer needed."""
        return self._review(
            self._owners.pop_ownership_candidates() | set(self._active), now_s
        )

    def schedule_review(self) -> None:
        """Schedule a review for the next tick, after an instance joined or left."""
        self._next_review_s = 0.0

    def records_changed(self, services: Iterable[str], now_s: float) -> list[Action]:
        """Activate or deactivate services whose records changed."""
        return self._review(services, now_s)

    def _review(self, services: Iterable[str], now_s: float) -> list[Action]:
        actions: list[Action] = []
        held = self._table.services
        for service in services:
            owned = self._owners.is_owned_here(service)
            active = service in self._active
            if owned and not active and self.activate(service, now_s):
                actions.append(
                    Log(
                        "owner",
                        "service_taken",
                        "this instance now owns the service; dispatcher created",
                        {"service": service},
                    )
                )
            if active and not owned and service not in held:
                actions += self._deactivate(service)
        return actions

    def _probe_is_due(
        self, active: _ActiveService, dispatcher: ServiceDispatcher, now_s: float
    ) -> bool:
        """Return whether to probe a service's targets now.

        The first request after a quiet period makes a probe due immediately if the
        last one is older than ``probe_every_s``.
        """
        waited_s = now_s - active.probed_at_s
        if waited_s < self._settings.probe_every_s:
            return False
        if waited_s >= self._settings.quiet_probe_every_s:
            return True
        return not dispatcher.is_quiet(now_s)

    def _build_probes(self, service: str) -> list[Action]:
        record = self._catalog.service(service)
        if record is None:
            return []
        return [
            Probe(service, target.name, target.address) for target in record.targets
        ]

    def _count_in_flight(self, service: str) -> dict[str, int]:
        dispatcher = self._executor.dispatchers[service]
        counts = {
            target.name: dispatcher.in_flight(target.name)
            for target in dispatcher.record.targets
        }
        return {name: count for name, count in counts.items() if count}

    def _build_reports(
        self, service: str, active: _ActiveService, now_s: float
    ) -> list[Action]:
        """Report requests in progress to the other owners of a service's flows."""
        oldest_s = now_s - self._settings.report_kept_s
        active.reporters = {
            name: heard_s
            for name, heard_s in active.reporters.items()
            if heard_s >= oldest_s
        }
        receivers = set(active.reporters)
        owner = self._owners.owner_name(service)
        if owner != self._my_name:
            receivers.add(owner)
        if not receivers:
            return []
        report = InFlightReport(service, self._count_in_flight(service))
        return [SendToPeer(name, report) for name in sorted(receivers)]

    def on_report(
        self, sender: str, report: InFlightReport, now_s: float
    ) -> list[Action]:
        """Apply another owner's report of requests in progress."""
        active = self._active.get(report.service)
        if active is None:
            return []
        active.reporters[sender] = now_s
        dispatcher = self._executor.dispatchers[report.service]
        decisions = dispatcher.on_peer_in_flight(sender, report.in_flight, now_s)
        return self._executor.apply_decisions(decisions, now_s)

    def on_probed(
        self, service: str, target: str, outcome: ProbeOutcome, now_s: float
    ) -> list[Action]:
        """Apply the outcome of a target probe."""
        dispatcher = self._executor.dispatchers.get(service)
        if dispatcher is None:
            return []
        actions = self._executor.apply_decisions(
            dispatcher.on_probe(target, now_s, outcome), now_s
        )
        match outcome:
            case ProbeResult(state=TargetHealth.DRAINING, incarnation=incarnation):
                note = TargetDraining(service, target, incarnation)
                actions += self._announce_draining(note)
            case ProbeResult():
                self._active[service].draining.discard(target)
        return actions

    def _announce_draining(self, note: TargetDraining) -> list[Action]:
        """Notify the other owners of flows after each probe: a note may be lost."""
        active = self._active[note.service]
        receivers = {self._owners.owner_name(note.service), *active.reporters}
        actions: list[Action] = [
            SendToPeer(name, note) for name in sorted(receivers - {self._my_name})
        ]
        if note.target not in active.draining:
            active.draining.add(note.target)
            ids = {"service": note.service, "target": note.target}
            text = "target reports that it is draining"
            actions.append(Log("owner", "target_draining", text, ids))
        return actions

    def on_draining_note(
        self, sender: str, note: TargetDraining, now_s: float
    ) -> list[Action]:
        """Apply another owner's note that a target is draining."""
        dispatcher = self._executor.dispatchers.get(note.service)
        if dispatcher is None:
            return []
        decisions = dispatcher.on_draining_note(
            note.target, note.target_incarnation, now_s
        )
        forwarded = self._forward_draining_note(sender, note)
        return self._executor.apply_decisions(decisions, now_s) + forwarded

    def _forward_draining_note(self, sender: str, note: TargetDraining) -> list[Action]:
        """Forward a note, as the service's owner, to the other owners of flows.

        The sender knows the service's owner, but not all other owners of flows.
        """
        if note.passed_on or not self._owners.is_owned_here(note.service):
            return []
        forwarded = structs.replace(note, passed_on=True)
        receivers = self._active[note.service].reporters.keys() - {sender}
        return [SendToPeer(name, forwarded) for name in sorted(receivers)]
