"""Callers that hold flows to targets while instances forward their requests."""

from endivepick.forwarding.tests.support import (
    IDEMPOTENT_PORT,
    ONCE_PORT,
    data,
    flow_key,
    make_configuration,
    make_core,
    make_target,
)
from endivepick.forwarding.tests.test_fitness import ANSWER_BYTES, Zone

NEW_ROUTE_PORT = 8090
REQUEST_BYTES = 300
NAMES = ("i-1", "i-2")
"""Targets of the zone."""
FIRST_SESSION_PORT = 50_000
PART_GAP_S = 0.1
"""Time between two parts of an answer."""


class SessionZone(Zone):
    """Three instances and two targets of a zone, among targets of two more zones.

    Besides the callers of `Zone`, which open a flow for each request, there are
    sessions, which send one request after the other on one flow.
    """

    def __init__(self, seed=1, work_s=0.005):
        super().__init__(targets=0, instances=0, seed=seed, work_s=work_s)
        self.names = list(NAMES)
        entries = [make_target(name, slots=3, revision=1) for name in NAMES]
        entries += [make_target(f"i-b{n}", "b", slots=3, revision=1) for n in range(2)]
        entries += [make_target(f"i-c{n}", "c", slots=3, revision=1) for n in range(2)]
        self.cores = [make_core(entries, zones=3, seed=seed + n) for n in range(3)]
        ports = (IDEMPOTENT_PORT, ONCE_PORT, NEW_ROUTE_PORT)
        for core in self.cores:
            core.on_configuration(make_configuration(2, 8, ports), 0.0)
        self.sessions = []
        self.interrupted = []
        """Sessions that were reset while a request was in progress."""
        self.cut_answers = []
        """Those of them that were reset between two parts of an answer."""

    def add_session(self, name, core, port, work_s, pause_s, parts=1):
        """Begin a session; the ranges of work and pauses are in seconds."""
        number = FIRST_SESSION_PORT + len(self.sessions)
        key = flow_key(number, port)
        session = Session(self, key, name, self.cores[core], work_s, pause_s, parts)
        self.sessions.append(session)
        return session

    def deliver(self):
        super().deliver()
        for session in self.sessions:
            session.step()

    def tick(self, share=True):
        known = len(self.resets)
        super().tick(share)
        reset = {reset.flow for reset in self.resets[known:]}
        interrupted = [
            each for each in self.sessions if each.key in reset and each.is_waiting
        ]
        self.interrupted += interrupted
        self.cut_answers += [
            each for each in interrupted if each.answer_begins_s <= self.now_s
        ]


class Session:
    """Caller with one request at a time on one flow, and pauses between requests."""

    def __init__(self, zone, key, name, core, work_s, pause_s, parts):
        self.zone, self.key, self.name, self.core = zone, key, name, core
        self.work_s, self.pause_s, self.parts = work_s, pause_s, parts
        self.sequence, self.acknowledged = 101, 500
        self.next_s = zone.now_s + zone.draw.uniform(*pause_s)
        self.answer_begins_s = 0.0
        self.answered_s = 0.0
        """When the last part of the answer to the latest request arrives."""

    @property
    def is_waiting(self):
        """Whether a request is in progress."""
        return self.zone.now_s < self.answered_s

    def step(self):
        """Send the next request when its pause is over."""
        zone = self.zone
        if zone.now_s < self.next_s:
            return
        cookie = self.core.registry.get(self.name).cookie
        request = data(
            self.key, cookie, self.sequence, self.acknowledged, REQUEST_BYTES
        )
        self.core.on_packet(request, b"", zone.now_s)
        self.sequence += REQUEST_BYTES
        self.answer_begins_s = zone.now_s + zone.draw.uniform(*self.work_s)
        for part in range(self.parts):
            self.answered_s = self.answer_begins_s + part * PART_GAP_S
            self.acknowledged += ANSWER_BYTES
            answer = data(self.key, cookie, self.sequence, self.acknowledged, 0)
            zone.events.append((self.answered_s, self.core, answer))
        self.next_s = self.answered_s + zone.draw.uniform(*self.pause_s)
