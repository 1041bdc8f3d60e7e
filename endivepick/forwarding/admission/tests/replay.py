"""Arithmetic replay of callers that compete for the slots of one service."""

import random
from collections import Counter, defaultdict, deque

from msgspec import Struct

from endivepick.forwarding import (
    Configuration,
    OverloadChanged,
    Route,
    RouteKind,
    ServiceShare,
)
from endivepick.forwarding.admission.decisions import Rejected
from endivepick.forwarding.tests.support import SERVICE_HOST, make_core, make_target

URGENT, USUAL, BULK = 0, 1, 2
"""Priorities; requests of a bulk flow follow each other."""
TARGETS = 10
SLOTS = 2 * TARGETS
ROOM = SLOTS + 8 * TARGETS
STEP_S = 0.1
"""Also the time that a request takes."""
CAPACITY_PER_S = SLOTS / STEP_S
RETRY_STEPS = (2, 6)
AIM_STEPS = 4
"""Steps within which a request should be answered."""
BULK_REQUESTS, BULK_PAUSE_STEPS = 5, 5
DELAY_STEPS = 5
FADES = (STEP_S, STEP_S / 2, STEP_S / 2)
"""Weights of a step in the means: busy requests over one second, shed ones and answers
over two."""


class Request(Struct):
    priority: int
    asked_step: int
    is_open: bool = False
    retries: int = 0
    left: int = 1


class Replay:
    """Callers, targets and the signals of one service.

    Rates are in requests per second by priority.
    """

    def __init__(self, seed, limits_overload=True):
        self.rng = random.Random(seed)
        targets = [make_target(f"i-{n:x}") for n in range(1, TARGETS + 1)]
        self.core = make_core(
            targets, shares_load=limits_overload, limits_overload=limits_overload
        )
        shares, kind = (ServiceShare("notes", 1.0),), RouteKind.IDEMPOTENT
        self.routes = {
            p: Route(f"p{p}", SERVICE_HOST, 500 + p, shares, kind, priority=p)
            for p in (URGENT, USUAL, BULK)
        }
        configuration = Configuration(8, 2, tuple(self.routes.values()))
        self.core.on_configuration(configuration, 0.0)
        if self.core.admission is not None:
            self.core.admission.signals = self
        self.step = 0
        self.due = defaultdict(list)
        self.queue = deque()
        self.credit = Counter()
        self.openings, self.rejected, self.lost = Counter(), Counter(), Counter()
        self.asked, self.served, self.late = Counter(), Counter(), Counter()
        self.first_rejected = {}
        self.changes = []
        self.means = deque([(0.0, 0.0, 0.0)] * DELAY_STEPS)

    @property
    def now_s(self):
        return self.step * STEP_S

    def short_share(self, service, now_s):
        _, shorts, answers = self.means[0]
        return shorts / answers if answers else None

    def zone_busy(self, service, target_zone, now_s):
        return self.means[0][0]

    def shares(self):
        admission = self.core.admission
        return [
            admission.get_admitted_share("notes", p, self.now_s)
            for p in sorted(self.routes)
        ]

    def run(self, duration_s, rates, on_step=lambda: None):
        for _ in range(round(duration_s / STEP_S)):
            self.step += 1
            now = rates(self.now_s) if callable(rates) else rates
            self.run_step(now)
            on_step()

    def run_step(self, rates):
        requests = self.due.pop(self.step, []) + self.draw_requests(rates)
        self.rng.shuffle(requests)
        shed = sum(not self.handle(each) for each in requests)
        busy = len(self.queue)
        served = [self.queue.popleft() for _ in range(min(busy, SLOTS))]
        self.served.update(each.priority for each in served)
        late = [each for each in served if self.step - each.asked_step > AIM_STEPS]
        self.late.update(each.priority for each in late)
        for each in served:
            if each.left > 1:
                step = self.step + BULK_PAUSE_STEPS
                later = Request(each.priority, step, True, 0, each.left - 1)
                self.due[step].append(later)
        self.add_means(busy, shed, shed + len(served))
        self.core.tick(self.now_s)
        self.changes += [e for e in self.core.effects if isinstance(e, OverloadChanged)]
        self.core.effects.clear()

    def draw_requests(self, rates):
        requests = []
        for priority, rate in rates.items():
            left = BULK_REQUESTS if priority == BULK else 1
            self.credit[priority] += rate * STEP_S / left
            while self.credit[priority] >= 1.0:
                self.credit[priority] -= 1.0
                self.asked[priority] += 1
                requests.append(Request(priority, self.step, left=left))
        return requests

    def handle(self, request):
        """Return False if a target sheds the request."""
        if not request.is_open and not self.admits(request.priority):
            self.retry(request)
            return True
        if len(self.queue) >= ROOM:
            self.retry(request)
            return False
        request.is_open = True
        self.queue.append(request)
        return True

    def admits(self, priority):
        if not self.core.settings.limits_overload:
            return True
        self.openings[priority] += 1
        decision = self.core.admission.admits(
            0, False, self.routes[priority], "notes", self.rng.random, self.now_s
        )
        if isinstance(decision, Rejected):
            self.rejected[priority] += 1
            self.first_rejected.setdefault(priority, self.shares())
            return False
        return True

    def retry(self, request):
        if request.retries == len(RETRY_STEPS):
            self.lost[request.priority] += 1
            return
        self.due[self.step + RETRY_STEPS[request.retries]].append(request)
        request.retries += 1

    def add_means(self, *values):
        rows = zip(self.means[-1], values, FADES, strict=True)
        self.means.append(tuple(m + fade * (v - m) for m, v, fade in rows))
        self.means.popleft()
