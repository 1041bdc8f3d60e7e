"""Probes: a constant number in each period, whatever the number of peers."""

from collections import deque
from dataclasses import dataclass
from random import Random

from endivepick.membership._handover_log import DepartedLog
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

_URGENT_COUNT = 64
_RELAYED_COUNT = 256
_FAILED_COUNT = 64
"""Failed probes whose late answers are told."""


@dataclass(slots=True)
class _Probe:
    name: str
    sent_s: float
    refutation: int
    """Refutation of the own status that went along, -1 if none did."""
    requester: str = ""
    requester_sequence: int = 0
    helpers: int = 0
    reports: int = 0
    asked: bool = False
    longest_gap_s: float = 0.0
    """Longest time between two ticks since it was sent, in seconds."""


class Prober:
    """Starts probes, answers them, and suspects peers that don't answer."""

    def __init__(
        self,
        settings: MembershipSettings,
        table: MemberTable,
        departed: DepartedLog,
        outbox: Outbox,
    ) -> None:
        self._settings = settings
        self._table = table
        self._departed = departed
        self._outbox = outbox
        self._probes: dict[int, _Probe] = {}
        self._failed: dict[int, _Probe] = {}
        self._answers = RecentAnswers(
            settings.probe_deadline_s * (1 + settings.health_max)
        )
        # Answers to an earlier process of this name must fit no probe of this one.
        self._first_sequence = table.own.incarnation >> 3
        self._sequence = self._first_sequence
        self._round: list[str] = []
        self._watching: list[str] = []
        self._urgent: deque[str] = deque(maxlen=_URGENT_COUNT)
        self._dead_round: deque[str] = deque()
        self._next_probe_s = float("-inf")
        self._next_dead_s = float("-inf")
        self._ticked_s = float("inf")

    def restart(self, now_s: float) -> None:
        """Forget the open probes, after a pause."""
        self._probes.clear()
        self._next_probe_s = now_s

    def hurry(self, name: str) -> None:
        """Probe a peer next."""
        if name not in self._urgent:
            self._urgent.append(name)

    def answer_again(self, name: str) -> None:
        """Repeat the last answer to a peer with the next tick."""
        self._answers.note_lost(name)

    # Time

    def tick(self, now_s: float, random_number: int) -> bool:
        """Go on with open probes and start due ones.

        Returns
        -------
        bool
            Whether a new period began.
        """
        self._note_gap(now_s)
        self._follow_up(now_s, random_number)
        self._repeat_answers(now_s)
        if self._urgent:
            self._probe_or_repeat(now_s, self._urgent.popleft())
        if now_s < self._next_probe_s:
            return False
        period_s = self._settings.probe_period_s
        self._next_probe_s = max(self._next_probe_s + period_s, now_s)
        self._probe_next(now_s, random_number)
        if now_s >= self._next_dead_s:
            self._next_dead_s = now_s + self._settings.dead_probe_period_s
            self._probe_dead(now_s, random_number)
        return True

    def _note_gap(self, now_s: float) -> None:
        """Keep how long this instance itself did nothing while probes were open."""
        for probe in self._probes.values():
            gap_s = now_s - max(self._ticked_s, probe.sent_s)
            probe.longest_gap_s = max(probe.longest_gap_s, gap_s)
        self._ticked_s = now_s

    def _repeat_answers(self, now_s: float) -> None:
        for name, sequence in self._answers.take_lost(now_s).items():
            self._send_ack(now_s, name, sequence, [self._table.own.to_update()])

    def _probe_or_repeat(self, now_s: float, name: str) -> None:
        """Probe a peer, or send open probes again: a new link loses the first."""
        open_probes = [(s, p) for s, p in self._probes.items() if p.name == name]
        for sequence, probe in open_probes:
            self._send_ping(now_s, sequence, probe)
        if not open_probes:
            self._probe(now_s, name)

    def _probe_next(self, now_s: float, random_number: int) -> None:
        refilled = False
        while True:
            if not self._round:
                if refilled:
                    return
                self._round = self._shuffled(random_number)
                refilled = True
                if not self._round:
                    return
            name = self._round.pop()
            member = self._table.members.get(name)
            if member is not None and name not in self._table.dead:
                self._probe(now_s, name)
                return

    def _shuffled(self, random_number: int) -> list[str]:
        names = self._watched()
        Random(random_number).shuffle(names)
        return names

    def _watched(self) -> list[str]:
        """Return all peers of a small fleet, else those that the rings name.

        A suspect leaves the rings, so that the next ones are watched without a
        wait, but whoever watched it goes on to probe it.
        """
        table = self._table
        if self._is_small:
            self._watching = [n for n in table.members if n not in table.dead]
        else:
            names = dict.fromkeys(table.rings.targets())
            names |= dict.fromkeys(n for n in self._watching if self._is_suspect(n))
            self._watching = list(names)
        return list(self._watching)

    @property
    def _is_small(self) -> bool:
        present = len(self._table.members) + 1 - len(self._table.dead)
        return present <= self._settings.all_probed_up_to

    def _is_suspect(self, name: str) -> bool:
        member = self._table.members.get(name)
        return member is not None and member.liveness is Liveness.SUSPECT

    def _probe_dead(self, now_s: float, random_number: int) -> None:
        """Probe one of the dead, in a large fleet not each time.

        Whoever comes back hears from a constant number of peers.
        """
        present = len(self._table.members) + 1 - len(self._table.dead)
        wanted = self._settings.all_probed_up_to * len(self._table.dead)
        if Random(random_number).random() * present < wanted:
            self._probe_next_dead(now_s, random_number)

    def _probe_next_dead(self, now_s: float, random_number: int) -> None:
        if not self._dead_round:
            self._dead_round.extend(self._table.dead)
            Random(random_number).shuffle(self._dead_round)
        while self._dead_round:
            name = self._dead_round.popleft()
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
        introduced = member.introduced_refutation == refutation
        probe = _Probe(
            name, now_s, -1 if introduced else refutation, requester, sequence
        )
        self._probes[self._sequence] = probe
        self._send_ping(now_s, self._sequence, probe)

    def _send_ping(self, now_s: float, sequence: int, probe: _Probe) -> None:
        member = self._table.members.get(probe.name)
        if member is None:
            return
        updates = [] if probe.refutation < 0 else [self._table.own.to_update()]
        handed_over = self._departed.take_news(now_s, self._settings.piggyback_count)
        ping = Ping(
            sequence,
            member.incarnation,
            member.refutation,
            self._news(updates, member),
            handed_over,
            self._table.take_short(),
        )
        self._outbox.send(probe.name, ping)

    def _is_probed(self, name: str) -> bool:
        return any(p.name == name and not p.requester for p in self._probes.values())

    def _news(
        self, updates: list[MemberUpdate], receiver: Member | None
    ) -> list[MemberUpdate]:
        """Add the receiver's own bad news, which it may refute, and others."""
        if receiver is not None and receiver.accused:
            updates.append(receiver.to_update())
        return updates + self._table.take_news(self._settings.piggyback_count)

    def _follow_up(self, now_s: float, random_number: int) -> None:
        timeout_s = self._settings.probe_timeout_s * self._table.health.multiplier
        for sequence, probe in list(self._probes.items()):
            waited_s = now_s - probe.sent_s
            if waited_s >= self._deadline_s(probe):
                del self._probes[sequence]
                self._fail(now_s, sequence, probe)
            elif waited_s >= timeout_s and not probe.asked:
                probe.asked = True
                self._ask_others(sequence, probe, random_number)

    def _deadline_s(self, probe: _Probe) -> float:
        settings = self._settings
        deadline_s = settings.probe_deadline_s * self._table.health.multiplier
        member = self._table.members.get(probe.name)
        if member is None or member.has_answered:
            return deadline_s
        # A living peer must not be suspected while connections to it are set up.
        return max(deadline_s, settings.first_contact_s)

    def _ask_others(self, sequence: int, probe: _Probe, random_number: int) -> None:
        if probe.requester or probe.name in self._table.dead:
            return
        names = self._helpers(probe.name)
        count = min(self._settings.indirect_probes, len(names))
        number = sequence - self._first_sequence
        for name in Random(random_number ^ number).sample(names, count):
            probe.helpers += 1
            self._outbox.send(name, PingRequest(sequence, probe.name))

    def _helpers(self, name: str) -> list[str]:
        """Return peers that may be asked; in a large fleet those with a link."""
        names = [] if self._is_small else [n for n in self._watching if n != name]
        trusted = [n for n in names if not self._is_suspect(n)]
        if len(trusted) >= self._settings.indirect_probes:
            return trusted
        own = self._table.own.name
        return [n for n in self._table.live_names if n not in (name, own)]

    def _fail(self, now_s: float, sequence: int, probe: _Probe) -> None:
        member = self._table.members.get(probe.name)
        if member is not None:
            member.introduced_refutation = -1
        if probe.requester:
            self._report(probe, reached=False)
            return
        if member is None or probe.name in self._table.dead:
            return
        if member.last_ack_s >= probe.sent_s:
            # It has answered a later probe: this one was lost on a new connection.
            return
        self._note_failed(now_s, sequence, probe, member)
        if probe.reports < probe.helpers:
            self._table.health.worsen()
        self._table.suspect(now_s, probe.name, self._table.own.name)

    def _note_failed(
        self, now_s: float, sequence: int, probe: _Probe, member: Member
    ) -> None:
        self._failed[sequence] = probe
        if len(self._failed) > _FAILED_COUNT:
            del self._failed[next(iter(self._failed))]
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

    def _report(self, probe: _Probe, reached: bool) -> None:
        update = self._table.update_of(probe.name)
        updates = [update] if reached and update is not None else []
        self._outbox.send(
            probe.requester,
            ProbeReport(probe.requester_sequence, probe.name, reached, updates),
        )

    # Messages

    def on_ping(self, now_s: float, sender: str, incarnation: int, ping: Ping) -> None:
        """Answer a probe, with the own status if the sender lacks it."""
        own = self._table.own
        known = (ping.known_incarnation, ping.known_refutation)
        updates = []
        if known != (own.incarnation, own.refutation):
            updates.append(own.to_update())
        member = self._table.members.get(sender)
        if member and member.heard and member.incarnation != incarnation:
            updates.append(member.to_update())
        self._answers.note_sent(sender, ping.sequence, now_s)
        self._send_ack(now_s, sender, ping.sequence, updates)

    def _send_ack(
        self, now_s: float, name: str, sequence: int, updates: list[MemberUpdate]
    ) -> None:
        news = self._news(updates, self._table.members.get(name))
        handed_over = self._departed.take_news(now_s, self._settings.piggyback_count)
        ack = Ack(sequence, news, handed_over, self._table.take_short())
        self._outbox.send(name, ack)

    def on_ack(self, now_s: float, sender: str, incarnation: int, ack: Ack) -> None:
        """Take the answer to a probe."""
        self._tell_if_late(now_s, sender, ack.sequence)
        probe = self._probes.get(ack.sequence)
        member = self._table.members.get(sender)
        if probe is None or probe.name != sender or member is None:
            return
        del self._probes[ack.sequence]
        if member.incarnation != incarnation:
            return
        # It proves no more than that the probe's receiver was there when it came.
        member.last_ack_s = probe.sent_s
        if probe.refutation >= 0:
            member.introduced_refutation = probe.refutation
        if probe.requester:
            self._report(probe, reached=True)
        else:
            self._table.health.improve()

    def _tell_if_late(self, now_s: float, sender: str, sequence: int) -> None:
        failed = self._failed.get(sequence)
        if failed is not None and failed.name == sender:
            del self._failed[sequence]
            waited_s = now_s - failed.sent_s
            self._outbox.add(PeerProbeAnsweredLate(sender, waited_s))

    def on_ping_request(self, now_s: float, sender: str, request: PingRequest) -> None:
        """Probe an instance for a peer."""
        if request.name in self._table.members and len(self._probes) < _RELAYED_COUNT:
            self._probe(now_s, request.name, sender, request.sequence)
            return
        self._outbox.send(
            sender, ProbeReport(request.sequence, request.name, False, [])
        )

    def on_report(self, report: ProbeReport) -> None:
        """Take a peer's word that it reached an instance, or did not."""
        probe = self._probes.get(report.sequence)
        if probe is None or probe.name != report.name:
            return
        probe.reports += 1
        if report.reached:
            del self._probes[report.sequence]
