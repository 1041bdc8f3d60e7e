"""Entries that become unreadable, of known targets and of unknown ones.

Scenario: another writer corrupts entries of the registry while flows are open.
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
from endivepick.forwarding.cookies import compute_cookie
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

    def targets_of_new_flows(self, count, now_s):
        flows = [flow_key(1000 + number) for number in range(count)]
        return {open_flow(self.core, flow, now_s).name for flow in flows}

    def open(self, name, now_s=1.0, caller_port=500):
        """Open a flow at the target of this name; returns its key."""
        belief = self.core.registry.get(name)
        flow = flow_key(caller_port)
        self.core.on_packet(data(flow, belief.cookie), b"", now_s)
        self.core.on_packet(data(flow, belief.cookie, 401, 2500, 0), b"", now_s)
        return flow

    def test_unreadable_target_keeps_open_flows_but_gets_no_new_ones(self):
        flow = self.open("i-2")
        self.core.on_target_unreadable("i-2", 20, 2.0)
        self.assertEqual(answer_probes(self.core, ALIVE, 2.0), ["i-2"])
        self.assertNotIn("i-2", self.targets_of_new_flows(40, 2.1))
        belief = self.core.registry.get("i-2")
        packet = data(flow, belief.cookie, 401, 2500)
        self.assertEqual(self.core.on_packet(packet, b"", 2.2), Forward(belief))
        self.core.tick(60.0)
        self.assertIs(belief.state, TargetState.UNREADABLE)

    def test_target_gets_new_flows_when_its_entry_is_readable_again(self):
        self.core.on_target_unreadable("i-2", 20, 2.0)
        self.core.on_target(make_target("i-2", revision=21), 3.0)
        self.assertIn("i-2", self.targets_of_new_flows(40, 3.1))

    def test_refused_probe_resets_nothing_while_the_entry_is_unreadable(self):
        self.open("i-2")
        self.core.on_target_unreadable("i-2", 20, 2.0)
        answer_probes(self.core, REFUSED, 2.1)
        self.assertEqual(take(self.core, Reset), [])
        self.core.on_target_removed("i-2", 25, 4.0)
        (reset,) = take(self.core, Reset)
        self.assertIs(reset.reason, ResetReason.TARGET_DEAD)

    def test_removal_of_an_unreadable_entry_has_no_grace(self):
        self.core.on_target_unreadable("i-2", 20, 2.0)
        self.core.on_target_removed("i-2", 25, 4.0)
        self.assertIs(self.core.registry.get("i-2").state, TargetState.GONE)

    def test_draining_target_stays_draining(self):
        draining = make_target("i-2", phase=TargetPhase.DRAINING, revision=19)
        self.core.on_target(draining, 1.0)
        self.core.on_target_unreadable("i-2", 20, 2.0)
        self.assertIs(self.core.registry.get("i-2").state, TargetState.DRAINING)

    def test_older_news_is_ignored(self):
        self.core.on_target(make_target("i-2", revision=30), 1.0)
        self.core.on_target_unreadable("i-2", 29, 2.0)
        self.assertIs(self.core.registry.get("i-2").state, TargetState.READY)

    def test_flows_of_a_never_readable_entry_are_not_reset(self):
        self.core.on_target_list(self.targets, 20, 1.0, 0.9, ["i-7"])
        packet = data(flow_key(7), compute_cookie("i-7"))
        for now_s in (5.0, 6.0, 7.0):
            self.assertEqual(self.core.on_packet(packet, b"", now_s), Hold())
            self.core.on_target_list(
                self.targets, 20 + int(now_s), now_s + 0.2, now_s + 0.1, ["i-7"]
            )
        # When a later list lacks the entry, the target is gone.
        self.core.on_target_list(self.targets, 40, 8.0, 7.9)
        self.core.on_packet(packet, b"", 9.0)
        self.core.on_target_list(self.targets, 41, 9.2, 9.1)
        self.assertIsInstance(self.core.on_packet(packet, b"", 9.3), Reset)


class TestNewsOfUnreadableEntries(unittest.TestCase):
    def setUp(self):
        settings = ForwardingSettings(zone="a")
        self.feeder, self.fed = TargetRegistry(settings), TargetRegistry(settings)
        for registry in (self.feeder, self.fed):
            targets = [make_target(f"i-{n}", revision=n) for n in range(1, 4)]
            registry.apply_list(targets, 6, 0.0)

    def test_fed_instance_has_the_same_state(self):
        self.feeder.mark_unreadable("i-2", 20, 1.0)
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
