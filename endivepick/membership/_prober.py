"""Failure detection by direct and indirect probes.

The number of probes per period does not depend on the number of peers.
"""

from collections import deque
from dataclasses import dataclass
from random import Random

from endivepick.membership._handover_log import HandOverLog
from endivepick.membership._member import Member
from endivepick.membership._member_table import MemberTable
from endivepick.membership._outbox import Outbox
from endivepick.membership._recent_answers import RecentAnswers
from endivepick.membership.actions import PeerProbeAnsweredLate, PeerProbeFailed
from endivepick.membership.peer_messages import (
    Ack,
    Liveness,
    MemberUpdate,
    Phase,
    Ping,
    PingRequest,
    ProbeReport,
)
from endivepick.membership.settings import MembershipSettings

_MAX_URGENT_PROBES = 64
_MAX_OPEN_PROBES = 256
_MAX_FAILED_PROBES = 64
"""Failed probes that are stored so that late answers can be reported."""


@dataclass(slots=True)
class _Probe:
    name: str
    sent_s: float
    refutation: int
    """Refutation of the own status sent with the probe, -1 if none was sent."""
    requester: str = ""
    requester_sequence: int = 0
    helpers: int = 0
    reports: int = 0
    requested_indirect: bool = False
    longest_gap_s: float = 0.0
    """Longest time between two ticks since the probe was sent, in seconds."""


class Prober:
    """Sends and answers probes; suspects peers whose probes fail."""

    def __init__(
        self,
        settings: MembershipSettings,
        table: MemberTable,
        handovers: HandOverLog,
        outbox: Outbox,
    ) -> None:
        self._settings = settings
        self._table = table
        self._handovers = handovers
        self._outbox = outbox
        self._open_probes: dict[int, _Probe] = {}
        self._failed_probes: dict[int, _Probe] = {}
        self._answers = RecentAnswers(
            settings.probe_deadline_s * (1 + settings.health_max)
        )
        # Sequence numbers start at an incarnation-specific value, so that answers to
        # an earlier process of this name match no probe of this one.
        self._first_sequence = table.own.incarnation >> 3
        self._sequence = self._first_sequence
        self._probe_order: list[str] = []
        self._probe_targets: list[str] = []
        self._urgent_names: deque[str] = deque(maxlen=_MAX_URGENT_PROBES)
        self._dead_probe_order: deque[str] = deque()
        self._next_probe_s = float("-inf")
        self._next_dead_probe_s = float("-inf")
        self._last_tick_s = float("inf")

    def drop_open_probes(self, now_s: float) -> None:
        """Drop all open probes, after a pause of this process."""
        self._open_probes.clear()
        self._next_probe_s = now_s

    def probe_soon(self, name: str) -> None:
        """Probe a peer with one of the next ticks."""
        if name not in self._urgent_names:
            self._urgent_names.append(name)

    def resend_answer(self, name: str) -> None:
        """Send the last answer to a peer again with the next tick."""
        self._answers.mark_unsent(name)

    # Timers

    def tick(self, now_s: float, random_number: int) -> bool:
        """Check open probes and start due ones.

        Returns
        -------
        bool
            Whether a new probe period began.
        """
        self._record_tick_gap(now_s)
        self._check_timeouts(now_s, random_number)
        self._resend_unsent_answers(now_s)
        if self._urgent_names:
            self._probe_or_resend(now_s, self._urgent_names.popleft())
        if now_s < self._next_probe_s:
            return False
        period_s = self._settings.probe_period_s
        self._next_probe_s = max(self._next_probe_s + period_s, now_s)
        self._probe_next(now_s, random_number)
        if now_s >= self._next_dead_probe_s:
            self._next_dead_probe_s = now_s + self._settings.dead_probe_period_s
            self._probe_dead(now_s, random_number)
        return True

    def _record_tick_gap(self, now_s: float) -> None:
        """Record the longest time without a tick for each open probe."""
        for probe in self._open_probes.values():
            gap_s = now_s - max(self._last_tick_s, probe.sent_s)
            probe.longest_gap_s = max(probe.longest_gap_s, gap_s)
        self._last_tick_s = now_s

    def _resend_unsent_answers(self, now_s: float) -> None:
        for name, sequence in self._answers.take_unsent(now_s).items():
            self._send_ack(now_s, name, sequence, [self._table.own.to_update()])

    def _probe_or_resend(self, now_s: float, name: str) -> None:
        """Probe a peer, or send its open probes again.

        A message sent before the connection is established may be lost.
        """
        open_probes = [(s, p) for s, p in self._open_probes.items() if p.name == name]
        for sequence, probe in open_probes:
            self._send_ping(now_s, sequence, probe)
        if not open_probes:
            self._probe(now_s, name)

    def _probe_next(self, now_s: float, random_number: int) -> None:
        refilled = False
        while True:
            if not self._probe_order:
                if refilled:
                    return
                self._probe_order = self._shuffle_probe_targets(random_number)
                refilled = True
                if not self._probe_order:
                    return
            name = self._probe_order.pop()
            member = self._table.members.get(name)
            if member is not None and name not in self._table.dead:
                self._probe(now_s, name)
                return

    def _shuffle_probe_targets(self, random_number: int) -> list[str]:
        names = self._select_probe_targets()
        Random(random_number).shuffle(names)
        return names

    def _select_probe_targets(self) -> list[str]:
        """Return all peers of a small fleet, else the targets of the rings.

        A suspect is removed from the rings, so that the peers after it are probed
        without delay.  The instances that already probed it continue to do so.
        """
        table = self._table
        if self._is_small_fleet:
            self._probe_targets = [n for n in table.members if n not in table.dead]
        else:
            names = dict.fromkeys(table.rings.select_targets())
            names |= dict.fromkeys(
                n for n in self._probe_targets if self._is_suspect(n)
            )
            self._probe_targets = list(names)
        return list(self._probe_targets)

    @property
    def _is_small_fleet(self) -> bool:
        present = len(self._table.members) + 1 - len(self._table.dead)
        return present <= self._settings.all_probed_up_to

    def _is_suspect(self, name: str) -> bool:
        member = self._table.members.get(name)
        return member is not None and member.liveness is Liveness.SUSPECT

    def _probe_dead(self, now_s: float, random_number: int) -> None:
        """Probe one dead peer, in a large fleet with reduced probability.

        The fleet as a whole probes each dead peer at a bounded rate, so a returning
        instance is contacted by a constant number of peers.
        """
        present = len(self._table.members) + 1 - len(self._table.dead)
        expected_probers = self._settings.all_probed_up_to * len(self._table.dead)
        if Random(random_number).random() * present < expected_probers:
            self._probe_next_dead(now_s, random_number)

    def _probe_next_dead(self, now_s: float, random_number: int) -> None:
        if not self._dead_probe_order:
            self._dead_probe_order.extend(self._table.dead)
            Random(random_number).shuffle(self._dead_probe_order)
        while self._dead_probe_order:
            name = self._dead_probe_order.popleft()
            member = self._table.dead.get(name)
            if member is not None and member.phase is not Phase.STOPPED:
                self._probe(now_s, name)
                return

    def _probe(
        self, now_s: float, name: str, requester: str = "", sequence: int = 0
    ) -> None:
        member = self._table.members.get(name)
        if member is None or (not requester and self._is_probed(name)):
            return
        self._sequence += 1
        refutation = self._table.own.refutation
        is_acknowledged = member.acknowledged_refutation == refutation
        probe = _Probe(
            name, now_s, -1 if is_acknowledged else refutation, requester, sequence
        )
        self._open_probes[self._sequence] = probe
        self._send_ping(now_s, self._sequence, probe)

    def _send_ping(self, now_s: float, sequence: int, probe: _Probe) -> None:
        member = self._table.members.get(probe.name)
        if member is None:
            return
        updates = [] if probe.refutation < 0 else [self._table.own.to_update()]
        handed_over = self._handovers.take_updates(
            now_s, self._settings.piggyback_count
        )
        ping = Ping(
            sequence,
            member.incarnation,
            member.refutation,
            self._collect_updates(updates, member),
            handed_over,
            self._table.take_short_updates(),
        )
        self._outbox.send(probe.name, ping)

    def _is_probed(self, name: str) -> bool:
        return any(
            p.name == name and not p.requester for p in self._open_probes.values()
        )

    def _collect_updates(
        self, updates: list[MemberUpdate], receiver: Member | None
    ) -> list[MemberUpdate]:
        """Add an update that the receiver may refute, and piggybacked updates."""
        if receiver is not None and receiver.is_reported_down:
            updates.append(receiver.to_update())
        return updates + self._table.take_updates(self._settings.piggyback_count)

    def _check_timeouts(self, now_s: float, random_number: int) -> None:
        timeout_s = self._settings.probe_timeout_s * self._table.health.multiplier
        for sequence, probe in list(self._open_probes.items()):
            waited_s = now_s - probe.sent_s
            if waited_s >= self._compute_deadline_s(probe):
                del self._open_probes[sequence]
                self._handle_failure(now_s, sequence, probe)
            elif waited_s >= timeout_s and not probe.requested_indirect:
                probe.requested_indirect = True
                self._request_indirect_probes(sequence, probe, random_number)

    def _compute_deadline_s(self, probe: _Probe) -> float:
        settings = self._settings
        deadline_s = settings.probe_deadline_s * self._table.health.multiplier
        member = self._table.members.get(probe.name)
        if member is None or member.has_answered:
            return deadline_s
        # A live peer must not be suspected while connections to it are established.
        return max(deadline_s, settings.first_contact_s)

    def _request_indirect_probes(
        self, sequence: int, probe: _Probe, random_number: int
    ) -> None:
        if probe.requester or probe.name in self._table.dead:
            return
        names = self._find_helper_candidates(probe.name)
        count = min(self._settings.indirect_probes, len(names))
        number = sequence - self._first_sequence
        for name in Random(random_number ^ number).sample(names, count):
            probe.helpers += 1
            self._outbox.send(name, PingRequest(sequence, probe.name))

    def _find_helper_candidates(self, name: str) -> list[str]:
        """Return candidates for indirect probes.

        In a large fleet these are peers to which a connection is already open.
        """
        names = (
            []
            if self._is_small_fleet
            else [n for n in self._probe_targets if n != name]
        )
        unsuspected = [n for n in names if not self._is_suspect(n)]
        if len(unsuspected) >= self._settings.indirect_probes:
            return unsuspected
        own = self._table.own.name
        return [n for n in self._table.live_names if n not in (name, own)]

    def _handle_failure(self, now_s: float, sequence: int, probe: _Probe) -> None:
        member = self._table.members.get(probe.name)
        if member is not None:
            member.acknowledged_refutation = -1
        if probe.requester:
            self._send_report(probe, reached=False)
            return
        if member is None or probe.name in self._table.dead:
            return
        if member.last_ack_s >= probe.sent_s:
            # The peer has answered a later probe: this one was lost on a connection
            # that was not yet established.
            return
        self._record_failure(now_s, sequence, probe, member)
        if probe.reports < probe.helpers:
            self._table.health.worsen()
        self._table.suspect(now_s, probe.name, self._table.own.name)

    def _record_failure(
        self, now_s: float, sequence: int, probe: _Probe, member: Member
    ) -> None:
        self._failed_probes[sequence] = probe
        if len(self._failed_probes) > _MAX_FAILED_PROBES:
            del self._failed_probes[next(iter(self._failed_probes))]
        self._outbox.add(
            PeerProbeFailed(
                name=probe.name,
                waited_s=now_s - probe.sent_s,
                longest_gap_s=probe.longest_gap_s,
                answered_before_s=now_s - member.last_ack_s,
                helpers=probe.helpers,
                reports=probe.reports,
            )
        )

    def _send_report(self, probe: _Probe, reached: bool) -> None:
        update = self._table.find_update(probe.name)
        updates = [update] if reached and update is not None else []
        self._outbox.send(
            probe.requester,
            ProbeReport(probe.requester_sequence, probe.name, reached, updates),
        )

    # Messages

    def on_ping(self, now_s: float, sender: str, incarnation: int, ping: Ping) -> None:
        """Answer a probe; add the own status if the sender does not know it."""
        own = self._table.own
        known = (ping.known_incarnation, ping.known_refutation)
        updates = []
        if known != (own.incarnation, own.refutation):
            updates.append(own.to_update())
        member = self._table.members.get(sender)
        if member and member.is_identified and member.incarnation != incarnation:
            updates.append(member.to_update())
        self._answers.record_sent(sender, ping.sequence, now_s)
        self._send_ack(now_s, sender, ping.sequence, updates)

    def _send_ack(
        self, now_s: float, name: str, sequence: int, updates: list[MemberUpdate]
    ) -> None:
        all_updates = self._collect_updates(updates, self._table.members.get(name))
        handed_over = self._handovers.take_updates(
            now_s, self._settings.piggyback_count
        )
        ack = Ack(sequence, all_updates, handed_over, self._table.take_short_updates())
        self._outbox.send(name, ack)

    def on_ack(self, now_s: float, sender: str, incarnation: int, ack: Ack) -> None:
        """Handle the answer to a probe."""
        self._report_late_answer(now_s, sender, ack.sequence)
        probe = self._open_probes.get(ack.sequence)
        member = self._table.members.get(sender)
        if probe is None or probe.name != sender or member is None:
            return
        del self._open_probes[ack.sequence]
        if member.incarnation != incarnation:
            return
        # The answer only proves that the peer was alive after the probe was sent.
        member.last_ack_s = probe.sent_s
        if probe.refutation >= 0:
            member.acknowledged_refutation = probe.refutation
        if probe.requester:
            self._send_report(probe, reached=True)
        else:
            self._table.health.improve()

    def _report_late_answer(self, now_s: float, sender: str, sequence: int) -> None:
        failed = self._failed_probes.get(sequence)
        if failed is not None and failed.name == sender:
            del self._failed_probes[sequence]
            waited_s = now_s - failed.sent_s
            self._outbox.add(PeerProbeAnsweredLate(sender, waited_s))

    def on_ping_request(self, now_s: float, sender: str, request: PingRequest) -> None:
        """Probe an instance on behalf of a peer."""
        if (
            request.name in self._table.members
            and len(self._open_probes) < _MAX_OPEN_PROBES
        ):
            self._probe(now_s, request.name, sender, request.sequence)
            return
        self._outbox.send(
            sender, ProbeReport(request.sequence, request.name, False, [])
        )

    def on_report(self, report: ProbeReport) -> None:
        """Handle the result of an indirect probe."""
        probe = self._open_probes.get(report.sequence)
        if probe is None or probe.name != report.name:
            return
        probe.reports += 1
        if report.reached:
            del self._open_probes[report.sequence]
