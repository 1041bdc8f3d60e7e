"""The decision core of the forwarding path.

It is driven by packets, entries of the registry, configurations, outcomes of probes
and the time, and answers with verdicts and effects.  It has no sockets and no clock.
"""

from collections.abc import Callable, Iterable

from msgspec.structs import replace

from endivepick.forwarding.actions import (
    DecisionRecord,
    Drop,
    DropReason,
    Effect,
    Forward,
    Hold,
    ProbeResult,
    ReadRegistry,
    Release,
    Reset,
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
from endivepick.forwarding.flows import SEQUENCE_NUMBERS, FlowSign, FlowTable
from endivepick.forwarding.held_packets import HeldPacket, HeldPackets, held_note
from endivepick.forwarding.model import (
    Configuration,
    FlowKey,
    Packet,
    Route,
    RouteKind,
    Target,
)
from endivepick.forwarding.openings import Opening, OpeningMemory
from endivepick.forwarding.outlier_detector import OutlierDetector
from endivepick.forwarding.placement import choose_target
from endivepick.forwarding.registry import TargetRegistry
from endivepick.forwarding.registry_news import RegistryNews
from endivepick.forwarding.routes import RouteTable, service_of
from endivepick.forwarding.settings import ForwardingSettings, without_disabled
from endivepick.forwarding.unknown_cookies import UnknownCookies

__all__ = ["ForwardingCore"]


class ForwardingCore:
    """Decides where each packet goes.

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
        settings = without_disabled(settings)
        self.settings = settings
        self.routes = RouteTable()
        self.registry = TargetRegistry(settings)
        self.flows = FlowTable(settings)
        self.effects: list[Effect] = []
        """What has to be carried out; the caller takes it out."""
        self._random_share = random_share
        self._openings = OpeningMemory(settings)
        self._failure_detector = FailureDetector(
            settings, self.registry, self.flows, self.routes
        )
        self.fitness = OutlierDetector(settings, self.registry, self.flows)
        self._unknown = UnknownCookies(settings.lapse_grace_s)
        self._held = HeldPackets(settings)
        self._asked_s = float("-inf")
        self._wall_ahead_s = float("-inf")

    @property
    def ready(self) -> bool:
        """Whether routes and targets are known."""
        return self.routes.configuration is not None and self.registry.known

    def on_packet(self, packet: Packet, data: bytes, now_s: float) -> Verdict:
        """Decide about a packet.

        Parameters
        ----------
        packet : Packet
            Its head.
        data : bytes
            The whole datagram, to be kept while too little is known to decide.
        now_s : float
            Present time, in seconds.
        """
        if not self.ready:
            return self._hold(packet, data, DropReason.NOT_READY, now_s)
        if self._cookie_unknown(packet):
            if self._is_gone(packet.cookie, now_s) and not packet.closing:
                return self._reset(packet, ResetReason.TARGET_GONE, "", now_s)
            return self._hold(packet, data, DropReason.UNKNOWN_COOKIE, now_s)
        return self._decide(packet, now_s)

    def _decide(self, packet: Packet, now_s: float) -> Verdict:
        route = self.routes.find(packet.flow)
        if packet.opening:
            return self._on_opening(packet, route, now_s)
        if not packet.cookie:
            return Drop(DropReason.NO_COOKIE)
        belief = self.registry.of_cookie(packet.cookie)
        if belief is None:
            return Drop(DropReason.UNKNOWN_COOKIE)
        return self._on_flow_packet(packet, route, belief, now_s)

    def _cookie_unknown(self, packet: Packet) -> bool:
        if packet.opening or not packet.cookie:
            return False
        return self.registry.of_cookie(packet.cookie) is None

    def _is_gone(self, cookie: int, now_s: float) -> bool:
        """Whether no target is left behind a cookie that is not known."""
        if self.registry.may_return(cookie):
            return False
        return self._unknown.is_gone(cookie, now_s)

    def on_configuration(self, configuration: Configuration, now_s: float) -> bool:
        """Take in a configuration; returns whether it is newly in force."""
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
        """Take in a whole list of the registry at a revision of the store.

        ``asked_s`` says when the store was asked for it, None if it is a peer's;
        ``unreadable`` names entries that cannot be read.
        """
        if asked_s is not None:
            self._unknown.listed(asked_s)
        changes = self.registry.apply_list(targets, revision, now_s, unreadable)
        self._after_changes(changes, now_s)

    def on_registry_revision(self, revision: int) -> None:
        """Take in that the registry has told all that changed up to a revision."""
        self.registry.seen(revision)

    def on_registry_news(self, news: RegistryNews, now_s: float) -> None:
        """Take in what another instance knows beyond this one's revision."""
        self._after_changes(self.registry.apply_news(news, now_s), now_s)

    def on_target(self, target: Target, now_s: float) -> None:
        """Take in one entry of the registry."""
        self._after_changes(self.registry.apply_entry(target, now_s), now_s)

    def on_target_unreadable(self, name: str, revision: int, now_s: float) -> None:
        """Take in that an entry cannot be read, as written at a revision."""
        changes = self.registry.take_unreadable(name, revision, now_s)
        self._after_changes(changes, now_s)

    def on_target_removed(self, name: str, revision: int, now_s: float) -> None:
        """Take in that an entry vanished at a revision of the store."""
        changes = self.registry.apply_removal(name, revision, now_s)
        self._after_changes(changes, now_s)

    def on_probe(self, result: ProbeResult, now_s: float) -> None:
        """Take in the outcome of a probe, if it is of the incarnation known here."""
        belief = self.registry.get(result.target)
        if belief is None:
            return
        known_ms = belief.target.born_ms
        if result.probed_born_ms and known_ms not in (0, result.probed_born_ms):
            return
        changes = self.registry.take_start(belief, result.shown_born_ms, now_s)
        self._after_changes(changes, now_s)
        belief = self.registry.get(result.target) or belief
        self.effects += self._failure_detector.on_probe(belief, result.outcome, now_s)

    def on_wall_clock(self, ahead_s: float) -> None:
        """Take in how far the time of day is ahead of this process's time.

        A clock that jumps forth makes starts of targets look older, which resets fewer
        flows; so the farthest that it was ahead counts.
        """
        self._wall_ahead_s = max(self._wall_ahead_s, ahead_s)

    def on_hint(self, target: str, now_s: float) -> None:
        """Take in a peer's word that a target does not answer."""
        belief = self.registry.get(target)
        if belief is not None:
            self.effects += self._failure_detector.verify_hint(belief, now_s)

    def seen(self, now_s: float) -> FitnessReport:
        """Return what was seen of targets here, for the instances of the zone."""
        report = self.fitness.report(now_s)
        return replace(
            report,
            silent=self._failure_detector.find_silent_targets(now_s)[
                :MAX_REPORTED_TARGETS
            ],
        )

    def has_suspects(self, now_s: float) -> bool:
        """Whether something speaks against a target, or one has just fallen silent."""
        return self.fitness.has_suspects or bool(
            self._failure_detector.find_silent_targets(now_s)
        )

    def on_zone_report(self, report: FitnessReport, now_s: float) -> None:
        """Take in what the instances of the zone have seen of targets together."""
        self.fitness.receive_zone_report(report, now_s)
        self.effects += self._failure_detector.verify_silent_targets(
            report.silent, now_s
        )

    def on_registry_unavailable(self, now_s: float) -> None:
        """Take in that the registry could not be read until now.

        This instance stood still, or the store does not answer it.
        """
        self.registry.restart_grace(now_s)
        self._unknown.unread()

    def tick(self, now_s: float, heard_s: float = float("inf")) -> None:
        """Let time pass: forget, give up, probe again.

        Parameters
        ----------
        now_s : float
            Present time, in seconds.
        heard_s : float
            When the store last told of the registry, in seconds.
        """
        self._look_after_openings(now_s)
        self.flows.expire(self._idle_s, now_s)
        self._openings.expire(now_s)
        self.effects += self._held.expire(now_s)
        self._after_changes(self.registry.expire(now_s, heard_s), now_s)
        if self.registry.unconfirmed(now_s, heard_s):
            self._ask_registry(now_s)
        self.effects += self._failure_detector.retry_probes(now_s)
        self.effects += self.fitness.tick(now_s)

    def _on_opening(self, packet: Packet, route: Route | None, now_s: float) -> Verdict:
        if route is None:
            return self._reset(packet, ResetReason.NO_ROUTE, "", now_s)
        opening = self._openings.get(packet.flow)
        elsewhere = self.settings.mechanisms.copies_elsewhere
        tried = opening.targets if opening is not None and elsewhere else ()
        if opening is not None:
            self._suspect_first(opening, packet.flow, now_s)
        candidates = self.registry.candidates(service_of(route, packet.flow))
        repeatable = route.kind is RouteKind.IDEMPOTENT
        placement = choose_target(
            self.settings, candidates, tried, self._random_share, now_s, repeatable
        )
        if placement is None:
            return self._reset(packet, ResetReason.NO_TARGET, "", now_s)
        belief = placement.belief
        self._openings.note(packet.flow, belief.name, now_s)
        self.flows.observe(packet, belief, route.kind, now_s)
        self.effects.append(
            DecisionRecord(
                "flow_placed",
                packet.flow,
                belief.name,
                placement.reason,
                placement.candidates,
                placement.load,
                packet.acknowledged,
                self.routes.version,
                now_s - belief.state_since_s,
            )
        )
        return Forward(belief)

    def _suspect_first(self, opening: Opening, flow: FlowKey, now_s: float) -> None:
        belief = self.registry.get(opening.targets[-1])
        if belief is not None:
            self.effects += self._failure_detector.suspect(
                belief, flow, opening.last_s, now_s
            )

    def _look_after_openings(self, now_s: float) -> None:
        """Doubt targets whose openings are followed by nothing."""
        for key, opening in self._openings.without_copy(now_s):
            flow = self.flows.get(key)
            if flow is not None and not flow.opened:
                self.effects += self._failure_detector.on_opening_unanswered(
                    flow.belief, key, opening.last_s, now_s
                )

    def _on_flow_packet(
        self, packet: Packet, route: Route | None, belief: TargetBelief, now_s: float
    ) -> Verdict:
        if route is None and self.routes.was_removed(packet.flow):
            self.flows.end(packet.flow)
            return self._reset(packet, ResetReason.ROUTE_REMOVED, belief.name, now_s)
        # Whoever opened a flow without a route here knew a newer configuration.
        kind = RouteKind.AT_MOST_ONCE if route is None else route.kind
        known = self.flows.get(packet.flow)
        busy_since_s = None if known is None else known.busy_since_s
        acknowledged = packet.acknowledged if known is None else known.acknowledged
        reason = self._reset_reason(packet, kind, belief)
        if reason is not None:
            self.flows.end(packet.flow)
            return self._reset(packet, reason, belief.name, now_s)
        sign = self.flows.observe(packet, belief, kind, now_s)
        self._note_request(packet, busy_since_s, acknowledged, now_s)
        self._note_doubt(packet.flow, belief, now_s)
        match sign:
            case FlowSign.PROGRESS:
                self.effects += self._failure_detector.progress(belief, now_s)
            case FlowSign.REPETITION if busy_since_s is not None:
                self.effects += self._failure_detector.suspect(
                    belief, packet.flow, busy_since_s, now_s
                )
            case _:
                pass
        return Forward(belief)

    def _note_request(
        self,
        packet: Packet,
        busy_since_s: float | None,
        acknowledged: int,
        now_s: float,
    ) -> None:
        """Note that a packet shows the beginning of a request, or of its answer.

        Parameters
        ----------
        packet : Packet
            The packet, observed already.
        busy_since_s : float or None
            When the request before it began, in seconds; None if it had its answer.
        acknowledged : int
            What the caller had acknowledged before.
        now_s : float
            Present time, in seconds.
        """
        flow = self.flows.get(packet.flow)
        if flow is None or not self.settings.mechanisms.judge_targets:
            return
        if busy_since_s is not None and flow.busy_since_s != busy_since_s:
            size_bytes = (packet.acknowledged - acknowledged) % SEQUENCE_NUMBERS
            waited_s = now_s - busy_since_s
            self.fitness.requests.answered(flow, waited_s, size_bytes, now_s)
        if flow.busy_since_s is not None and flow.busy_since_s != busy_since_s:
            self.fitness.requests.record_request(flow, now_s)

    def _note_doubt(self, key: FlowKey, belief: TargetBelief, now_s: float) -> None:
        """Note once of each flow that its packets go on to a target in doubt."""
        degraded_reason = belief.degraded_reason
        flow = self.flows.get(key)
        if flow is None or flow.noted_doubt == degraded_reason:
            return
        flow.noted_doubt = degraded_reason
        if degraded_reason:
            age_s = now_s - belief.degraded_since_s
            note = DecisionRecord(
                "flow_goes_on", key, belief.name, degraded_reason, age_s=age_s
            )
            self.effects.append(note)

    def _reset_reason(
        self, packet: Packet, kind: RouteKind, belief: TargetBelief
    ) -> ResetReason | None:
        if packet.closing or belief.reachability is Reachability.REACHABLE:
            return None
        return self._failure_detector.reset_reason(belief, kind)

    def _reset(
        self, packet: Packet, reason: ResetReason, target: str, now_s: float
    ) -> Reset:
        sequence = 0 if packet.opening else packet.acknowledged
        age_s = now_s - self.routes.since_s
        self.effects.append(
            DecisionRecord(
                "flow_reset",
                packet.flow,
                target,
                reason.value,
                version=self.routes.version,
                age_s=age_s,
            )
        )
        return Reset(packet.flow, sequence, reason, target)

    @property
    def _idle_s(self) -> float:
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
            self._ask_registry(now_s)
        self.effects.append(held_note("packet_held", packet, reason.value, 0.0))
        return Hold()

    def _ask_registry(self, now_s: float) -> None:
        if now_s - self._asked_s >= self.settings.ask_gap_s:
            self._asked_s = now_s
            self.effects.append(ReadRegistry())

    def _retry_held(self, now_s: float) -> None:
        """Decide about held packets again, now that more is known."""
        if not self.ready:
            return
        for held in self._held.take_all():
            if self._cookie_unknown(held.packet):
                self._held.add(held)
                continue
            verdict = self._decide(held.packet, now_s)
            self.effects.append(Release(held.data, verdict))

    def _reset_restarted(self, now_s: float) -> None:
        restarts, self.registry.restarts = self.registry.restarts, []
        for restart in restarts:
            began_s = self._earliest_start_s(restart.after.target, now_s)
            self.effects += self._failure_detector.reset_former_incarnation(
                restart, began_s
            )

    def _earliest_start_s(self, target: Target, now_s: float) -> float:
        """Return a time before which a target cannot have started, in seconds."""
        if self._wall_ahead_s == float("-inf"):
            return float("-inf")
        started_s = target.born_ms / 1000.0 - self._wall_ahead_s
        return min(now_s, started_s) - self.settings.clock_difference_s

    def _after_changes(self, changes: list[BeliefChange], now_s: float) -> None:
        self.effects += changes
        self._reset_restarted(now_s)
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
                    self.effects += self._failure_detector.reset_flows(belief)
                case _:
                    pass
