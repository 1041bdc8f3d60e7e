"""Services that this instance places requests for."""

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

__all__ = ["OwnerChoice", "RoleSettings", "ServiceRoles"]

NEVER_S = float("-inf")


@dataclass(frozen=True)
class RoleSettings:
    """How an owner looks after its services.

    Attributes
    ----------
    probe_every_s : float
        Time between two probes of one target, in seconds.
    quiet_probe_every_s : float
        The same while its service has no requests and all its targets are ready,
        in seconds; never less than ``probe_every_s``.
    report_every_s : float
        Time between two reports of requests in progress, in seconds.
    report_kept_s : float
        Silence after which another owner's report is forgotten, in seconds.
    review_every_s : float
        Time between two reviews of which services are still needed, in seconds.
    """

    probe_every_s: float = 1.0
    quiet_probe_every_s: float = 2.0
    report_every_s: float = 0.25
    report_kept_s: float = 3.0
    review_every_s: float = 1.0


class OwnerChoice(Protocol):
    """What the roles ask about owners."""

    def pop_ownership_candidates(self) -> set[str]:
        """Return services asked for before that this instance may now own."""

    def owner_name(self, service: str) -> str:
        """Return the instance that opens a service's flows at present."""

    def is_owned_here(self, service: str) -> bool:
        """Tell whether this instance does."""


@dataclass
class _ActiveService:
    """What is due when, and which other instances send to the same targets."""

    probed_at_s: float
    next_report_s: float
    reporters: dict[str, float] = field(default_factory=dict)
    draining: set[str] = field(default_factory=set)


class ServiceRoles:
    """Keeps a dispatcher for each service that is opened or held here.

    Parameters
    ----------
    settings : RoleSettings
        Periods.
    dispatch : DispatchSettings
        Settings of the dispatchers.
    zone : str
        Availability zone of this instance.
    catalog : Catalog
        Records in force.
    table : FlowTable
        Flows held here.
    executor : RequestExecutor
        Holds the dispatchers.
    owners : OwnerChoice
        Knows the owner of each service.
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
        owners: OwnerChoice,
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
        self._lost: set[str] = set()

    @property
    def active(self) -> Iterable[str]:
        """Names of the services with a dispatcher here."""
        return self._active.keys()

    @property
    def owned(self) -> list[str]:
        """Names of the services whose owner this instance is."""
        return [name for name in self._active if self._owners.is_owned_here(name)]

    def activate(self, service: str, now_s: float) -> bool:
        """Make sure that a service has a dispatcher; False if it has no record."""
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
        """Make a dispatcher for flows that are taken over; probe its targets at once.

        Their requests wait for the first probe.
        """
        if service in self._active or not self.activate(service, now_s):
            return []
        self._active[service].probed_at_s = now_s
        return self._probes(service)

    def record_changed(self, service: str, now_s: float) -> list[Action]:
        """Bring a new version of a record into force at its dispatcher."""
        dispatcher = self._executor.dispatchers.get(service)
        record = self._catalog.service(service)
        if dispatcher is None:
            return []
        if record is None:
            return self._drop(service)
        active = self._active[service]
        active.probed_at_s = NEVER_S
        return self._executor.apply_decisions(
            dispatcher.update_record(record, now_s), now_s
        )

    def _drop(self, service: str) -> list[Action]:
        del self._active[service]
        del self._executor.dispatchers[service]
        self._allowance.remove_service(service)
        return [
            Log("owner", "service_released", "service released", {"service": service})
        ]

    def tick(self, now_s: float) -> list[Action]:
        """Do what is due: probes, reports, reviews, and the dispatchers' own."""
        actions: list[Action] = []
        if now_s >= self._next_review_s:
            self._next_review_s = now_s + self._settings.review_every_s
            actions += self.review(now_s)
        actions += self._forget_lost(now_s)
        for service, active in self._active.items():
            dispatcher = self._executor.dispatchers[service]
            actions += self._executor.apply_decisions(dispatcher.tick(now_s), now_s)
            if self._probe_is_due(active, dispatcher, now_s):
                active.probed_at_s = now_s
                actions += self._probes(service)
            if now_s >= active.next_report_s:
                active.next_report_s = now_s + self._settings.report_every_s
                actions += self._reports(service, active, now_s)
        return actions

    def forget_peer(self, name: str) -> None:
        """Free, at the next tick, the slots that an ended instance reported."""
        self._lost.add(name)

    def _forget_lost(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        lost, self._lost = self._lost, set()
        if not lost:
            return actions
        for service, active in self._active.items():
            dispatcher = self._executor.dispatchers[service]
            for name in sorted(lost & active.reporters.keys()):
                del active.reporters[name]
                decisions = dispatcher.remove_peer(name, now_s)
                actions += self._executor.apply_decisions(decisions, now_s)
        return actions

    def review(self, now_s: float) -> list[Action]:
        """Take up services that fall to this instance, and let others go."""
        return self._review(
            self._owners.pop_ownership_candidates() | set(self._active), now_s
        )

    def review_soon(self) -> None:
        """Review at the next tick: an instance has come or gone."""
        self._next_review_s = 0.0

    def records_changed(self, services: Iterable[str], now_s: float) -> list[Action]:
        """Take up or let go services whose records changed."""
        return self._review(services, now_s)

    def _review(self, services: Iterable[str], now_s: float) -> list[Action]:
        actions: list[Action] = []
        held = self._table.services
        for service in services:
            owned = self._owners.is_owned_here(service)
            active = service in self._active
            if owned and not active and self.activate(service, now_s):
                actions.append(
                    Log("owner", "service_taken", "service taken", {"service": service})
                )
            if active and not owned and service not in held:
                actions += self._drop(service)
        return actions

    def _probe_is_due(
        self, active: _ActiveService, dispatcher: ServiceDispatcher, now_s: float
    ) -> bool:
        """Tell whether to probe a service's targets now.

        The first request after a quiet time makes a probe due at once if the last
        one is older than ``probe_every_s``.
        """
        waited_s = now_s - active.probed_at_s
        if waited_s < self._settings.probe_every_s:
            return False
        if waited_s >= self._settings.quiet_probe_every_s:
            return True
        return not dispatcher.is_quiet(now_s)

    def _probes(self, service: str) -> list[Action]:
        record = self._catalog.service(service)
        if record is None:
            return []
        return [
            Probe(service, target.name, target.address) for target in record.targets
        ]

    def _in_flight(self, service: str) -> dict[str, int]:
        dispatcher = self._executor.dispatchers[service]
        counts = {
            target.name: dispatcher.in_flight(target.name)
            for target in dispatcher.record.targets
        }
        return {name: count for name, count in counts.items() if count}

    def _reports(
        self, service: str, active: _ActiveService, now_s: float
    ) -> list[Action]:
        """Tell the other owners of flows of a service what runs from here."""
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
        report = InFlightReport(service, self._in_flight(service))
        return [SendToPeer(name, report) for name in sorted(receivers)]

    def on_report(
        self, sender: str, report: InFlightReport, now_s: float
    ) -> list[Action]:
        """Take in what another owner runs at the same targets."""
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
        """Take in what a target said about itself."""
        dispatcher = self._executor.dispatchers.get(service)
        if dispatcher is None:
            return []
        actions = self._executor.apply_decisions(
            dispatcher.on_probe(target, now_s, outcome), now_s
        )
        match outcome:
            case ProbeResult(state=TargetHealth.DRAINING, incarnation=incarnation):
                note = TargetDraining(service, target, incarnation)
                actions += self._tell_draining(note)
            case ProbeResult():
                self._active[service].draining.discard(target)
        return actions

    def _tell_draining(self, note: TargetDraining) -> list[Action]:
        """Tell the other owners of flows, after each probe: a note may be lost."""
        active = self._active[note.service]
        receivers = {self._owners.owner_name(note.service), *active.reporters}
        actions: list[Action] = [
            SendToPeer(name, note) for name in sorted(receivers - {self._my_name})
        ]
        if note.target not in active.draining:
            active.draining.add(note.target)
            ids = {"service": note.service, "target": note.target}
            text = "target says that it drains"
            actions.append(Log("owner", "target_draining", text, ids))
        return actions

    def on_draining_note(
        self, sender: str, note: TargetDraining, now_s: float
    ) -> list[Action]:
        """Take another owner's word that a target drains."""
        dispatcher = self._executor.dispatchers.get(note.service)
        if dispatcher is None:
            return []
        decisions = dispatcher.on_draining_note(
            note.target, note.target_incarnation, now_s
        )
        passed_on = self._pass_on(sender, note)
        return self._executor.apply_decisions(decisions, now_s) + passed_on

    def _pass_on(self, sender: str, note: TargetDraining) -> list[Action]:
        """As the service's owner, tell those who don't know of the sender."""
        if note.passed_on or not self._owners.is_owned_here(note.service):
            return []
        passed_on = structs.replace(note, passed_on=True)
        receivers = self._active[note.service].reporters.keys() - {sender}
        return [SendToPeer(name, passed_on) for name in sorted(receivers)]
