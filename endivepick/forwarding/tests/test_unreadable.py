"""Known targets whose entries turn unreadable, and unreadable ones that are unknown.

Load pattern: another writer spoils entries of the registry while flows are open.
"""

import unittest

from endivepick.forwarding import (
    Forward,
    Hold,
    Reset,
    ResetReason,
    TargetPhase,
    TargetState,
)
from endivepick.forwarding.cookies import cookie_of
from endivepick.forwarding.registry import TargetRegistry
from endivepick.forwarding.registry_news import RemovedTarget
from endivepick.forwarding.settings import ForwardingSettings
from endivepick.forwarding.tests.support import (
    ALIVE,
    REFUSED,
    answer_probes,
    data,
    flow_key,
    make_core,
    make_target,
    open_flow,
    take,
)


class TestUnreadableEntries(unittest.TestCase):
    def setUp(self):
        self.targets = [make_target(f"i-{n}", revision=n) for n in range(1, 4)]
        self.core = make_core(self.targets)

    def placed(self, count, now_s):
        flows = [flow_key(1000 + number) for number in range(count)]
        return {open_flow(self.core, flow, now_s).name for flow in flows}

    def open(self, name, now_s=1.0, caller_port=500):
        """Open a flow at a target of this name; returns its key."""
        belief = self.core.registry.get(name)
        flow = flow_key(caller_port)
        self.core.on_packet(data(flow, belief.cookie), b"", now_s)
        self.core.on_packet(data(flow, belief.cookie, 401, 2500, 0), b"", now_s)
        return flow

    def test_it_gets_no_new_flows_and_its_open_ones_go_on(self):
        flow = self.open("i-2")
        self.core.on_target_unreadable("i-2", 20, 2.0)
        self.assertEqual(answer_probes(self.core, ALIVE, 2.0), ["i-2"])
        self.assertNotIn("i-2", self.placed(40, 2.1))
        belief = self.core.registry.get("i-2")
        packet = data(flow, belief.cookie, 401, 2500)
        self.assertEqual(self.core.on_packet(packet, b"", 2.2), Forward(belief))
        self.core.tick(60.0)
        self.assertIs(belief.state, TargetState.UNREADABLE)

    def test_it_is_used_again_when_its_entry_is_readable(self):
        self.core.on_target_unreadable("i-2", 20, 2.0)
        self.core.on_target(make_target("i-2", revision=21), 3.0)
        self.assertIn("i-2", self.placed(40, 3.1))

    def test_a_refused_probe_resets_nothing_since_it_may_drain_unseen(self):
        self.open("i-2")
        self.core.on_target_unreadable("i-2", 20, 2.0)
        answer_probes(self.core, REFUSED, 2.1)
        self.assertEqual(take(self.core, Reset), [])
        self.core.on_target_removed("i-2", 25, 4.0)
        (reset,) = take(self.core, Reset)
        self.assertIs(reset.reason, ResetReason.TARGET_DEAD)

    def test_a_removal_ends_it_without_a_grace(self):
        self.core.on_target_unreadable("i-2", 20, 2.0)
        self.core.on_target_removed("i-2", 25, 4.0)
        self.assertIs(self.core.registry.get("i-2").state, TargetState.GONE)

    def test_one_that_drains_goes_on_draining(self):
        draining = make_target("i-2", phase=TargetPhase.DRAINING, revision=19)
        self.core.on_target(draining, 1.0)
        self.core.on_target_unreadable("i-2", 20, 2.0)
        self.assertIs(self.core.registry.get("i-2").state, TargetState.DRAINING)

    def test_older_news_of_it_change_nothing(self):
        self.core.on_target(make_target("i-2", revision=30), 1.0)
        self.core.on_target_unreadable("i-2", 29, 2.0)
        self.assertIs(self.core.registry.get("i-2").state, TargetState.READY)

    def test_flows_of_an_entry_that_was_never_readable_are_not_reset(self):
        self.core.on_target_list(self.targets, 20, 1.0, 0.9, ["i-7"])
        packet = data(flow_key(7), cookie_of("i-7"))
        for now_s in (5.0, 6.0, 7.0):
            self.assertEqual(self.core.on_packet(packet, b"", now_s), Hold())
            self.core.on_target_list(
                self.targets, 20 + int(now_s), now_s + 0.2, now_s + 0.1, ["i-7"]
            )
        # Without that entry, the target is gone.
        self.core.on_target_list(self.targets, 40, 8.0, 7.9)
        self.core.on_packet(packet, b"", 9.0)
        self.core.on_target_list(self.targets, 41, 9.2, 9.1)
        self.assertIsInstance(self.core.on_packet(packet, b"", 9.3), Reset)


class TestTellingOthers(unittest.TestCase):
    def setUp(self):
        settings = ForwardingSettings(zone="a")
        self.feeder, self.fed = TargetRegistry(settings), TargetRegistry(settings)
        for registry in (self.feeder, self.fed):
            targets = [make_target(f"i-{n}", revision=n) for n in range(1, 4)]
            registry.apply_list(targets, 6, 0.0)

    def test_those_who_are_fed_believe_the_same(self):
        self.feeder.take_unreadable("i-2", 20, 1.0)
        for whole in (False, True):
            news = self.feeder.news_since(-1 if whole else self.fed.revision)
            self.assertEqual(news.whole, whole)
            self.assertIn(RemovedTarget("i-2", 20, True), news.removed)
            self.fed.apply_news(news, 1.0)
            self.assertIs(self.fed.get("i-2").state, TargetState.UNREADABLE)
            self.feeder.advance_revision(30)
        self.feeder.apply_removal("i-2", 40, 2.0)
        self.fed.apply_news(self.feeder.news_since(self.fed.revision), 2.0)
        self.assertIs(self.fed.get("i-2").state, TargetState.GONE)
