"""Decision core of the forwarding path.

Its inputs are packets, registry entries, configurations, probe results and the time;
its outputs are verdicts and effects.  It uses no sockets and no clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from msgspec.structs import replace

from endivepick.forwarding.actions import (
    Decision,
    DecisionRecord,
    Drop,
    DropReason,
    Effect,
    Forward,
    Hold,
    ProbeResult,
    ReadRegistry,
    Release,
    ResetReason,
    Verdict,
)
from endivepick.forwarding.belief import (
    BeliefChange,
    Reachability,
    TargetBelief,
    TargetState,
)
from endivepick.forwarding.failure_detector import FailureDetector
from endivepick.forwarding.fitness_reports import MAX_REPORTED_TARGETS, FitnessReport
from endivepick.forwarding.flows import FlowEvidence, FlowTable
from endivepick.forwarding.held_packets import (
    HeldPacket,
    HeldPackets,
    describe_held_packet,
)
from endivepick.forwarding.model import (
    Configuration,
    FlowKey,
    Packet,
    Route,
    RouteKind,
    Target,
)
from endivepick.forwarding.opening_handler import OpeningHandler
from endivepick.forwarding.outlier_detector import OutlierDetector
from endivepick.forwarding.overload_parts import set_up_overload_parts
from endivepick.forwarding.placement_filter import PlacementFilter
from endivepick.forwarding.registry import TargetRegistry
from endivepick.forwarding.registry_news import RegistryNews
from endivepick.forwarding.request_recorder import FlowBefore, RequestRecorder
from endivepick.forwarding.resets import reset_packet
from endivepick.forwarding.routes import RouteTable
from endivepick.forwarding.settings import ForwardingSettings, apply_mechanisms
from endivepick.forwarding.unknown_cookies import UnknownCookies
from endivepick.forwarding.zone_evacuations import ZoneEvacuations

__all__ = ["ForwardingCore"]


class ForwardingCore:
    """Decides where each packet is forwarded.

    Parameters
    ----------
    settings : ForwardingSettings
        Limits.
    random_share : callable
        Returns random numbers from 0 to 1.
    """

    def __init__(
        self, settings: ForwardingSettings, random_share: Callable[[], float]
    ) -> None:
        settings = apply_mechanisms(settings)
        self.settings = settings
        self.routes = RouteTable()
        self.registry = TargetRegistry(settings)
        self.flows = FlowTable(settings)
        self.effects: list[Effect] = []
        """Effects to carry out; the caller clears the list."""
        self.evacuations = ZoneEvacuations(self.registry, self.routes)
        self._filter = placement_filter = PlacementFilter(
            self.registry, self.evacuations.zones, settings.zone_regions
        )
        self._failure_detector = FailureDetector(
            settings, self.registry, self.flows, self.routes, placement_filter
        )
        overload = set_up_overload_parts(
            settings,
            self.routes,
            self.flows,
            self.registry,
            placement_filter,
            random_share,
        )
        self.load = overload.load
        """Load shared with other instances, None if the settings disable it."""
        self.admission = overload.admission
        """Admission by priority, None if the settings disable it."""
        self._openings = OpeningHandler(
            settings,
            self.routes,
            self.registry,
            self.flows,
            self._failure_detector,
            placement_filter,
            overload,
            random_share,
        )
        self.outlier_detector = OutlierDetector(settings, self.registry, self.flows)
        judged_by = self.outlier_detector if settings.mechanisms.judge_targets else None
        self._requests = RequestRecorder(judged_by, self.load)
        self._unknown = UnknownCookies(settings.lapse_grace_s)
        self._held = HeldPackets(settings)
        self._registry_requested_s = float("-inf")
        self._wall_ahead_s = float("-inf")

    @property
    def ready(self) -> bool:
        """Whether routes and targets are known."""
        return self.routes.configuration is not None and self.registry.known

    def on_packet(self, packet: Packet, data: bytes, now_s: float) -> Verdict:
        """Decide what to do with a packet.

        Parameters
        ----------
        packet : Packet
            Its header.
        data : bytes
            The whole datagram, for a packet that has to be held until more is known.
        now_s : float
            Current time, in seconds.
        """
        if not self.ready:
            return self._hold(packet, data, DropReason.NOT_READY, now_s)
        if self._has_unknown_cookie(packet):
            if self._is_target_gone(packet.cookie, now_s) and not packet.closing:
                return self._reset(packet, ResetReason.TARGET_GONE, "", now_s)
            return self._hold(packet, data, DropReason.UNKNOWN_COOKIE, now_s)
        return self._decide(packet, now_s)

    def _decide(self, packet: Packet, now_s: float) -> Verdict:
        route = self.routes.find(packet.flow)
        if packet.opening:
            return self._apply(self._openings.on_opening(packet, route, now_s))
        if not packet.cookie:
            return Drop(DropReason.NO_COOKIE)
        belief = self.registry.find_by_cookie(packet.cookie)
        if belief is None:
            return Drop(DropReason.UNKNOWN_COOKIE)
        return self._on_flow_packet(packet, route, belief, now_s)

    def _has_unknown_cookie(self, packet: Packet) -> bool:
        if packet.opening or not packet.cookie:
            return False
        return self.registry.find_by_cookie(packet.cookie) is None

    def _is_target_gone(self, cookie: int, now_s: float) -> bool:
        """Whether an unknown cookie belongs to a target that is gone."""
        if self.registry.is_unreadable_cookie(cookie):
            return False
        return self._unknown.is_gone(cookie, now_s)

    def on_configuration(self, configuration: Configuration, now_s: float) -> bool:
        """Apply a configuration; returns whether it was newly put in force."""
        in_force = self.routes.apply_configuration(configuration, now_s)
        self._retry_held(now_s)
        return in_force

    def on_target_list(
        self,
        targets: Iterable[Target],
        revision: int,
        now_s: float,
        asked_s: float | None = None,
        unreadable: Iterable[str] = (),
    ) -> None:
        """Apply a complete registry list at a revision of the store.

        ``asked_s`` is when the list was requested from the store, None if it came from
        a peer; ``unreadable`` has the names of unreadable entries.
        """
        if asked_s is not None:
            self._unknown.on_list_read(asked_s)
        changes = self.registry.apply_list(targets, revision, now_s, unreadable)
        self._handle_belief_changes(changes, now_s)

    def on_registry_revision(self, revision: int) -> None:
        """Advance the registry revision up to which all changes were applied."""
        self.registry.advance_revision(revision)

    def on_registry_news(self, news: RegistryNews, now_s: float) -> None:
        """Apply a snapshot or delta that another instance sent, if it is newer."""
        self._handle_belief_changes(self.registry.apply_news(news, now_s), now_s)

    def on_target(self, target: Target, now_s: float) -> None:
        """Apply one entry of the registry."""
        self._handle_belief_changes(self.registry.apply_entry(target, now_s), now_s)

    def on_target_unreadable(self, name: str, revision: int, now_s: float) -> None:
        """Mark an entry as unreadable since a revision of the store."""
        changes = self.registry.mark_unreadable(name, revision, now_s)
        self._handle_belief_changes(changes, now_s)

    def on_target_removed(self, name: str, revision: int, now_s: float) -> None:
        """Apply the removal of an entry at a revision of the store."""
        changes = self.registry.apply_removal(name, revision, now_s)
        self._handle_belief_changes(changes, now_s)

    @property
    def instance_bound(self) -> int | None:
        """Upper bound of the number of instances that place flows, None if unknown."""
        return self._openings.instance_bound

    def set_instance_bound(self, instances: int) -> None:
        """Set an upper bound of the number of instances that place flows."""
        self._openings.instance_bound = instances
        self._failure_detector.set_instance_bound(instances)

    def on_probe(self, result: ProbeResult, now_s: float) -> None:
        """Apply a probe result, if it is of the known incarnation."""
        belief = self.registry.get(result.target)
        if belief is None:
            return
        known_ms = belief.target.born_ms
        if result.probed_born_ms and known_ms not in (0, result.probed_born_ms):
            return
        changes = self.registry.apply_start_time(belief, result.shown_born_ms, now_s)
        self._handle_belief_changes(changes, now_s)
        belief = self.registry.get(result.target) or belief
        self.effects += self._failure_detector.on_probe(belief, result.outcome, now_s)

    def on_wall_clock(self, ahead_s: float) -> None:
        """Record how far the wall clock is ahead of this process's steady clock.

        A wall clock that jumps forward makes start times of targets appear older, and
        then fewer flows are reset; therefore the largest offset is kept.
        """
        self._wall_ahead_s = max(self._wall_ahead_s, ahead_s)

    def on_hint(self, target: str, now_s: float) -> None:
        """Handle a peer's hint that a target does not answer."""
        belief = self.registry.get(target)
        if belief is not None:
            self.effects += self._failure_detector.verify_hint(belief, now_s)

    def build_report(self, now_s: float) -> FitnessReport:
        """Build the report of this instance's observations, for the zone's report."""
        report = self.outlier_detector.report(now_s)
        return replace(
            report,
            silent=self._failure_detector.find_silent_targets(now_s)[
                :MAX_REPORTED_TARGETS
            ],
        )

    def begin_stop(self) -> None:
        """Judge no targets during a planned stop, and go on forwarding packets.

        The fabric sends the flows of this instance to others.
        """
        self._requests = RequestRecorder(None, self.load)
        self.outlier_detector.stop()
        self._failure_detector.stop()

    def has_suspects(self, now_s: float) -> bool:
        """Whether a target is an outlier suspect or was recently found silent."""
        return self.outlier_detector.has_suspects or bool(
            self._failure_detector.find_silent_targets(now_s)
        )

    def on_zone_report(self, report: FitnessReport, now_s: float) -> None:
        """Apply the merged observations of the instances of the zone."""
        self.outlier_detector.receive_zone_report(report, now_s)
        self.effects += self._failure_detector.verify_silent_targets(
            report.silent, now_s
        )

    def on_registry_unavailable(self, now_s: float) -> None:
        """Handle a period up to now in which the registry could not be read.

        The period has ended or still lasts: either this process was paused, or the
        store does not answer it.  Grace periods restart.
        """
        self.registry.restart_grace(now_s)
        self._unknown.on_store_unavailable()

    def tick(self, now_s: float, heard_s: float = float("inf")) -> None:
        """Run the time-driven work: expiry, grace periods and probe retries.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        heard_s : float
            When the store last answered about the registry, in seconds.
        """
        self.effects += self._openings.tick(now_s)
        self.flows.expire(self._idle_timeout_s, now_s)
        self._openings.expire(now_s)
        self.effects += self._held.expire(now_s)
        self._handle_belief_changes(self.registry.expire(now_s, heard_s), now_s)
        if self.registry.awaits_confirmation(now_s, heard_s):
            self._request_registry_read(now_s)
        self.effects += self._failure_detector.retry_probes(now_s)
        self.effects += self.outlier_detector.tick(now_s)
        if self.load is not None:
            self.load.tick(now_s)
        if self.admission is not None:
            self.effects += self.admission.tick(now_s)

    def _on_flow_packet(
        self, packet: Packet, route: Route | None, belief: TargetBelief, now_s: float
    ) -> Verdict:
        if route is None and self.routes.was_removed(packet.flow):
            self.flows.end(packet.flow)
            return self._reset(packet, ResetReason.ROUTE_REMOVED, belief.name, now_s)
        # A flow without a route here was opened under a newer configuration.
        kind = RouteKind.AT_MOST_ONCE if route is None else route.kind
        known = self.flows.get(packet.flow)
        before = FlowBefore.of(known, packet)
        reason = self._find_reset_reason(packet, kind, belief)
        if reason is not None:
            self.flows.end(packet.flow)
            return self._reset(packet, reason, belief.name, now_s)
        flow_evidence = self.flows.observe(packet, belief, kind, now_s)
        flow = self.flows.get(packet.flow) or known
        if flow is not None:
            aim_s = 0.0 if route is None else route.aim_s
            self._requests.record(flow, before, packet, flow_evidence, aim_s, now_s)
        self._log_degraded_target(packet.flow, belief, now_s)
        match flow_evidence:
            case FlowEvidence.PROGRESS:
                self.effects += self._failure_detector.progress(belief, now_s)
            case FlowEvidence.RETRANSMISSION if before.busy_since_s is not None:
                self.effects += self._failure_detector.suspect(
                    belief, packet.flow, before.busy_since_s, now_s
                )
            case _:
                pass
        return Forward(belief)

    def _log_degraded_target(
        self, key: FlowKey, belief: TargetBelief, now_s: float
    ) -> None:
        """Log, once per flow and reason, that packets go to a degraded target."""
        degraded_reason = belief.degraded_reason
        flow = self.flows.get(key)
        if flow is None or flow.logged_degraded_reason == degraded_reason:
            return
        flow.logged_degraded_reason = degraded_reason
        if degraded_reason:
            age_s = now_s - belief.degraded_since_s
            note = DecisionRecord(
                "flow_goes_on", key, belief.name, degraded_reason, age_s=age_s
            )
            self.effects.append(note)

    def _find_reset_reason(
        self, packet: Packet, kind: RouteKind, belief: TargetBelief
    ) -> ResetReason | None:
        if packet.closing or belief.reachability is Reachability.REACHABLE:
            return None
        return self._failure_detector.find_reset_reason(belief, kind)

    def _reset(
        self, packet: Packet, reason: ResetReason, target: str, now_s: float
    ) -> Verdict:
        return self._apply(reset_packet(packet, reason, target, self.routes, now_s))

    def _apply(self, decision: Decision) -> Verdict:
        """Add the effects of a decision and return its verdict."""
        self.effects += decision.effects
        return decision.verdict

    @property
    def _idle_timeout_s(self) -> float:
        configuration = self.routes.configuration
        if configuration is None:
            return self.settings.idle_flow_s
        return configuration.idle_timeout_s

    def _hold(
        self, packet: Packet, data: bytes, reason: DropReason, now_s: float
    ) -> Verdict:
        if not self._held.add(HeldPacket(packet, data, now_s)):
            return Drop(reason)
        if self.ready:
            self._request_registry_read(now_s)
        self.effects.append(
            describe_held_packet("packet_held", packet, reason.value, 0.0)
        )
        return Hold()

    def _request_registry_read(self, now_s: float) -> None:
        if now_s - self._registry_requested_s >= self.settings.ask_gap_s:
            self._registry_requested_s = now_s
            self.effects.append(ReadRegistry())

    def _retry_held(self, now_s: float) -> None:
        """Decide again about held packets, now that more is known."""
        if not self.ready:
            return
        for held in self._held.take_all():
            if self._has_unknown_cookie(held.packet):
                self._held.add(held)
                continue
            verdict = self._decide(held.packet, now_s)
            self.effects.append(Release(held.data, verdict))

    def _reset_flows_of_restarted(self, now_s: float) -> None:
        restarts, self.registry.restarts = self.registry.restarts, []
        for restart in restarts:
            began_s = self._earliest_start_s(restart.after.target, now_s)
            self.effects += self._failure_detector.reset_former_incarnation(
                restart, began_s, now_s
            )

    def _earliest_start_s(self, target: Target, now_s: float) -> float:
        """Return a lower bound of a target's start, in seconds of this process."""
        if self._wall_ahead_s == float("-inf"):
            return float("-inf")
        started_s = target.born_ms / 1000.0 - self._wall_ahead_s
        return min(now_s, started_s) - self.settings.clock_difference_s

    def _handle_belief_changes(self, changes: list[BeliefChange], now_s: float) -> None:
        self.effects += changes
        self._reset_flows_of_restarted(now_s)
        self._retry_held(now_s)
        for change in changes:
            belief = self.registry.get(change.target)
            if belief is None:
                continue
            match belief.state:
                case TargetState.LAPSED:
                    self.effects += self._failure_detector.on_entry_removed(
                        belief, now_s
                    )
                case TargetState.UNREADABLE:
                    self.effects += self._failure_detector.on_entry_removed(
                        belief, now_s
                    )
                case TargetState.GONE if belief.flows:
                    self.effects += self._failure_detector.on_entry_removed(
                        belief, now_s
                    )
                    self.effects += self._failure_detector.reset_flows(belief, now_s)
                case _:
                    pass
