"""Replay of placers that share a view of the load of a zone's targets.

Many instances place short requests; each knows the load as it was a while ago and its
own placements since.  Targets serve a fixed number of requests a step.
"""

import random
from collections import Counter

from msgspec import Struct

from endivepick.forwarding import TargetBelief, TargetState
from endivepick.forwarding.tests.support import make_target

INSTANCES = 88
STEP_S = 0.1
VIEW_AGE_STEPS = 7
MEAN_STEPS = 10
SERVED_PER_STEP = 5
"""Two slots, and 0.04 s for each request."""
HELD = 10.0
"""Requests in the slots and the queue of a full target; it sheds more."""


def make_belief(name, zone="a", **fields):
    entry = {key: fields.pop(key) for key in ("slots", "cold_s") if key in fields}
    target = make_target(name, zone, **entry)
    belief = TargetBelief(target, 1, TargetState.READY, 0.0)
    for key, value in fields.items():
        setattr(belief, key, value)
    return belief


class FixedLoad:
    """Load that does not change, and the placements that were recorded."""

    def __init__(self, targets=(), zones=()):
        self.targets = dict(targets)
        self.zones = dict(zones)
        self.placed = Counter()

    def target_load(self, belief, now_s):
        return self.targets.get(belief.name)

    def zone_busy(self, service, target_zone, now_s):
        return self.zones.get(target_zone)

    def record_placement(self, belief, now_s):
        self.placed[belief.name] += 1


class SharedView:
    """What one instance knows: the view of all, and its own placements since."""

    def __init__(self, history):
        self._history = history
        self._placed = []
        self._counts = Counter()

    def target_load(self, belief, now_s):
        seen = self._history.mean_busy.get(belief.name, 0.0)
        return seen + self._counts[belief.name]

    def zone_busy(self, service, target_zone, now_s):
        return None

    def record_placement(self, belief, now_s):
        since_s = now_s - VIEW_AGE_STEPS * STEP_S
        self._placed = [each for each in self._placed if each[1] > since_s]
        self._placed.append((belief.name, now_s))
        self._counts = Counter(name for name, _ in self._placed)


class TargetQueues:
    """Requests in progress at each target, step by step."""

    def __init__(self, beliefs):
        self.busy = dict.fromkeys((b.name for b in beliefs), 0.0)
        self.mean_busy = {}
        self._past = []

    def advance(self, arrived):
        """Serve a step's arrivals and age the view; returns shed requests."""
        shed = 0.0
        for name, before in self.busy.items():
            waiting = max(0.0, before - 2.0) + arrived[name] - SERVED_PER_STEP
            running = min(2.0, 2.0 * (waiting + SERVED_PER_STEP) / SERVED_PER_STEP)
            held = max(0.0, waiting) + running
            shed += max(0.0, held - HELD)
            self.busy[name] = min(HELD, held)
        self._past.append(dict(self.busy))
        seen = self._past[: len(self._past) - VIEW_AGE_STEPS][-MEAN_STEPS:]
        if seen:
            self.mean_busy = {
                name: sum(step[name] for step in seen) / len(seen) for name in self.busy
            }
        return shed


class Outcome(Struct):
    """Result of a replay.

    Attributes
    ----------
    busiest_ratio : float
        Requests in progress at the busiest target over those at the mean one.
    waiting : float
        Mean number of requests that wait at a target.
    shed_share : float
        Shed requests over all.
    """

    busiest_ratio: float
    waiting: float
    shed_share: float


def replay(beliefs, choose, load, steps, seed, long_share=0.0):
    """Place requests, and return what came of it.

    Parameters
    ----------
    beliefs : list of TargetBelief
        Targets of the zone.
    choose : callable
        Returns the belief chosen by an instance's view, with a random source and the
        time.
    load : float
        Requests per step over those that the targets can serve.
    steps : int
        Number of steps.
    seed : int
        Seed of the random numbers.
    long_share : float
        Part of the requests that long flows send; these stay at their targets, and some
        targets have up to twice as many of them as the mean.
    """
    source = random.Random(seed)
    queues = TargetQueues(beliefs)
    views = [SharedView(queues) for _ in range(INSTANCES)]
    ratios = []
    waiting = []
    shed = total = 0.0
    rate = load * SERVED_PER_STEP
    fixed = {b.name: 2.0 * long_share * rate * source.random() for b in beliefs}
    mean = (1.0 - long_share) * rate * len(beliefs)
    for step in range(steps):
        arrived = Counter(fixed)
        for _ in range(round(source.gauss(mean, mean**0.5))):
            view = source.choice(views)
            belief = choose(view, source.random, step * STEP_S)
            view.record_placement(belief, step * STEP_S)
            arrived[belief.name] += 1
        shed += queues.advance(arrived)
        total += arrived.total()
        if step >= 2 * MEAN_STEPS:
            busy = queues.busy.values()
            ratios.append(max(busy) * len(busy) / sum(busy))
            waiting.append(sum(max(0.0, each - 2.0) for each in busy) / len(busy))
    return Outcome(sum(ratios) / len(ratios), sum(waiting) / len(waiting), shed / total)
