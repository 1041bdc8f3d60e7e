"""A zone whose fabric moves flows between instances during planned work.

All targets serve each request, so that each reset is a fault.
"""

import heapq
import random
from functools import cache
from itertools import count

from endivepick.forwarding import (
    FlowKey,
    ForwardingCore,
    ForwardingSettings,
    Reset,
    ResetReason,
    merge_reports,
)
from endivepick.forwarding.fault_confirmation import REPORT_VALID_S
from endivepick.forwarding.tests.support import (
    IDEMPOTENT_PORT,
    ONCE_PORT,
    SERVICE_HOST,
    data,
    make_configuration,
    make_target,
    opening,
    take,
)
from endivepick.forwarding.tests.test_fitness import ANSWER_BYTES, ERROR_BYTES, TICK_S

NAMES = ("i-1", "i-2", "i-3", "i-4")
"""Targets of the zone; callers hold flows to the first two."""
NEW_NAME = "i-9"
"""Target that starts anew."""
PORTS = (IDEMPOTENT_PORT, ONCE_PORT)
REQUEST_BYTES = 300
STEP_S = 0.02
RETRANSMIT_S = 0.2
"""Time until a packet is retransmitted first; it doubles each time."""
TURN_AWAY_S = 0.55
"""From the start of a planned stop until the fabric turns away from an instance."""
STOP_S = 2.5
"""Duration of a planned stop."""
START_S = 3.2
"""From the start of a planned stop until the instance has started again."""
READY_S = 3.57
"""From the start of a planned stop until the instance is in rotation again."""
OVERRUN_S = 2.0
"""Time for which a target that starts anew sheds and delays requests."""


@cache
def _rank(port, instance):
    """Return the rank of an instance for a flow, the same in each run."""
    return random.Random(f"{port} {instance}").random()


class Instance:
    """Instance as the fabric sees it."""

    def __init__(self, number, core):
        self.number, self.core = number, core
        self.is_running = self.in_rotation = core is not None
        self.report, self.reported_s = None, float("-inf")


class FabricZone:
    """Instances of a zone, targets, and callers whose flows the fabric distributes.

    Parameters
    ----------
    seed : int
        Seed of all that is drawn.
    running : int
        Instances that run at the beginning.
    joining : int
        Further instances, which `join` starts.
    """

    def __init__(self, seed, running, joining=0):
        self.draw = random.Random(seed)
        self.seed, self.now_s, self._started = seed, 0.0, 0
        self._revision = 1
        """Revision of the registry."""
        self.entries = [make_target(name, slots=3, revision=1) for name in NAMES]
        self.entries += [make_target(f"i-b{n}", "b", revision=1) for n in range(2)]
        self.instances = [Instance(n, self._start_core()) for n in range(running)]
        later = range(running, running + joining)
        self.joining = [Instance(number, None) for number in later]
        self.resets = []
        self.callers = []
        self.overrun_until_s = 0.0
        self.mute_name = ""
        """Target that answers nothing."""
        self._events = []
        self._order = count()
        self._ports = count(1000)

    # Time.

    def at(self, at_s, action):
        """Call an action at a time."""
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def run(self, for_s, per_s=10.0):
        """Let callers go on for a time, and open further flows at a rate."""
        end_s = self.now_s + for_s
        ticked_s = self.now_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            while self._events and self._events[0][0] <= self.now_s:
                heapq.heappop(self._events)[2]()
            if self.draw.random() < per_s * STEP_S:
                self.open_flow()
            if self.now_s - ticked_s >= TICK_S - STEP_S / 2:
                ticked_s = self.now_s
                self.tick()

    def tick(self):
        """Exchange reports, and let all running instances judge targets."""
        cores = [each.core for each in self.instances if each.is_running]
        together = self._merge_reports()
        for core in cores:
            core.on_zone_report(together, self.now_s)
        for core in cores:
            core.tick(self.now_s)
            self.resets += [
                reset
                for reset in take(core, Reset)
                if reset.reason is ResetReason.TARGET_IMPAIRED
            ]

    def _merge_reports(self):
        """Merge the reports of instances, also of those that ended lately."""
        for instance in self.instances:
            if instance.is_running:
                instance.report = instance.core.build_report(self.now_s)
                instance.reported_s = self.now_s
        oldest_s = self.now_s - REPORT_VALID_S
        return merge_reports(
            each.report for each in self.instances if each.reported_s >= oldest_s
        )

    # Planned work.

    def restart(self, instance, at_s):
        """Let an instance stop as planned at a time, and start again."""
        self.at(at_s, lambda: instance.core.begin_stop())
        self.at(at_s + TURN_AWAY_S, lambda: self._set_rotation(instance, False))
        self.at(at_s + STOP_S, lambda: self._end(instance))
        self.at(at_s + START_S, lambda: self._start(instance))
        self.at(at_s + READY_S, lambda: self._set_rotation(instance, True))

    def join(self):
        """Start the joining instances, and let the fabric use them at once."""
        for instance in self.joining:
            self._start(instance)
            instance.in_rotation = True
        self.instances += self.joining
        self.joining = []

    def start_target(self):
        """Let a target start, which is overrun at first."""
        self._revision += 1
        entry = make_target(NEW_NAME, slots=3, revision=self._revision)
        self.entries.append(entry)
        self.overrun_until_s = self.now_s + OVERRUN_S
        for instance in self.instances:
            if instance.is_running:
                instance.core.on_target(entry, self.now_s)

    def _set_rotation(self, instance, in_rotation):
        instance.in_rotation = in_rotation

    def _end(self, instance):
        instance.is_running, instance.core = False, None

    def _start(self, instance):
        instance.is_running, instance.core = True, self._start_core()

    def _start_core(self):
        self._started += 1
        settings = ForwardingSettings(zone="a", zones=2)
        draw = random.Random(100 * self.seed + self._started).random
        core = ForwardingCore(settings, draw)
        core.on_configuration(make_configuration(2, 8, PORTS), self.now_s)
        core.on_target_list(self.entries, self._revision, self.now_s)
        core.effects.clear()
        return core

    # Packets.

    def find_core(self, key):
        """Return the core to which the fabric sends a flow; None if it has ended.

        If fewer than half of the instances are in rotation, all are used.
        """
        used = [each for each in self.instances if each.in_rotation]
        if 2 * len(used) < len(self.instances):
            used = self.instances
        return max(used, key=lambda each: _rank(key.caller_port, each.number)).core

    def send(self, key, make_packet, on_delivery, wait_s=RETRANSMIT_S):
        """Send a packet now; retransmit it until an instance gets it."""
        packet = make_packet()
        if packet is None:
            return
        core = self.find_core(key)
        if core is not None:
            core.on_packet(packet, b"", self.now_s)
            on_delivery()
            return
        self.at(
            self.now_s + wait_s,
            lambda: self.send(key, make_packet, on_delivery, 2 * wait_s),
        )

    def make_key(self, port):
        number = next(self._ports)
        return FlowKey(0x64400007 + number % 11, number, SERVICE_HOST, port)

    def open_flow(self):
        """Open a flow for one request."""
        key = self.make_key(self.draw.choice(PORTS))
        core = self.find_core(key)
        if core is None:
            return
        core.on_packet(opening(key), b"", self.now_s)
        flow = core.flows.get(key)
        if flow is not None:
            caller = Caller(self, key, flow.belief.name, (0.05, 0.4), (60.0, 90.0))
            caller.request()

    def add_caller(self, name, port, work_s, pause_s):
        """Add a caller that holds a flow to a target."""
        caller = Caller(self, self.make_key(port), name, work_s, pause_s)
        self.callers.append(caller)
        self.at(self.now_s + self.draw.uniform(*pause_s), caller.request)

    def draw_answer(self, name, work_s):
        """Return the time until an answer begins, and its size."""
        if name == NEW_NAME and self.now_s < self.overrun_until_s:
            if self.draw.random() < 0.5:
                return 0.005, ERROR_BYTES
            return self.draw.uniform(0.5, 2.0), ANSWER_BYTES
        return self.draw.uniform(*work_s), ANSWER_BYTES


class Caller:
    """Caller with one request at a time on one flow."""

    def __init__(self, zone, key, name, work_s, pause_s):
        self.zone, self.key = zone, key
        self.name, self.work_s, self.pause_s = name, work_s, pause_s
        self.cookie = self._find_cookie()
        self.sequence, self.acknowledged = 101, 500
        self.shown = 500
        """Acknowledgement number that has reached the target."""

    def _find_cookie(self):
        running = next(each for each in self.zone.instances if each.is_running)
        return running.core.registry.get(self.name).cookie

    def request(self):
        """Send the next request."""
        sequence = self.sequence
        self.sequence += REQUEST_BYTES
        self.zone.send(
            self.key,
            lambda: data(
                self.key, self.cookie, sequence, self.acknowledged, REQUEST_BYTES
            ),
            self._on_request_delivered,
        )

    def _on_request_delivered(self):
        self.shown = self.acknowledged
        if self.name == self.zone.mute_name:
            return
        wait_s, size_bytes = self.zone.draw_answer(self.name, self.work_s)
        self.zone.at(self.zone.now_s + wait_s, lambda: self._take_answer(size_bytes))

    def _take_answer(self, size_bytes):
        zone = self.zone
        self.acknowledged += size_bytes
        zone.send(self.key, self._make_acknowledgement, self._on_acknowledged)
        zone.at(zone.now_s + zone.draw.uniform(*self.pause_s), self.request)

    def _make_acknowledgement(self):
        """Return an acknowledgement, None if a later request carried it."""
        if self.shown == self.acknowledged:
            return None
        return data(self.key, self.cookie, self.sequence, self.acknowledged, 0)

    def _on_acknowledged(self):
        self.shown = self.acknowledged
