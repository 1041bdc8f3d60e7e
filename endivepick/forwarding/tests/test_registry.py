import unittest

import msgspec

from endivepick.forwarding import TargetPhase, TargetState
from endivepick.forwarding.belief import ReachabilityEvent
from endivepick.forwarding.registry import TargetRegistry
from endivepick.forwarding.settings import ForwardingSettings
from endivepick.forwarding.tests.support import make_target

GRACE_S = 2.5
MEMORY_S = 60.0


class TestTargetRegistry(unittest.TestCase):
    def setUp(self):
        settings = ForwardingSettings(
            zone="a", lapse_grace_s=GRACE_S, gone_memory_s=MEMORY_S
        )
        self.registry = TargetRegistry(settings)
        self.targets = [make_target(f"i-{n}", revision=n) for n in range(1, 7)]
        self.registry.apply_list(self.targets, 6, 0.0)

    def state(self, name):
        return self.registry.get(name).state

    def candidates(self):
        return sorted(b.name for b in self.registry.candidates("notes").every)

    def sorted_for_zone(self):
        candidates = self.registry.candidates("notes")
        own = sorted(b.name for b in candidates.own)
        return own, sorted(b.name for b in candidates.others), candidates.all_slots

    def test_candidates_follow_what_is_believed_of_each(self):
        self.assertEqual(len(self.sorted_for_zone()[0]), 6)
        far = make_target("i-1", "b", revision=40, slots=5)
        self.registry.apply_entry(far, 10.0)
        left = [f"i-{n}" for n in range(2, 7)]
        self.assertEqual(self.sorted_for_zone(), (left, ["i-1"], 15))
        belief = self.registry.get("i-2")
        self.registry.record_reachability(
            belief, ReachabilityEvent.PROBE_SILENT, "", 11.0
        )
        self.assertEqual(self.sorted_for_zone(), (left[1:], ["i-1"], 13))
        self.assertEqual(len(self.candidates()), 6)
        self.registry.record_reachability(
            belief, ReachabilityEvent.PROBE_ALIVE, "", 12.0
        )
        self.assertEqual(self.sorted_for_zone(), (left, ["i-1"], 15))

    def test_an_entry_takes_little_on_its_way_between_instances(self):
        target = make_target("i-7f3a91c2", "fukuoka-hall", revision=5312, created=5300)
        self.registry.apply_entry(target, 1.0)
        news = self.registry.news_since(5311)
        told = msgspec.json.encode(news)
        self.assertLess(len(told), 160)
        self.assertEqual(msgspec.json.decode(told, type=type(news)), news)

    def test_time_without_changes_makes_what_is_known_newer(self):
        self.registry.advance_revision(90)
        self.registry.advance_revision(40)
        self.assertEqual(
            (self.registry.revision, self.registry.oldest_delta_revision), (90, 6)
        )
        old = make_target("i-9", revision=80)
        self.assertEqual(self.registry.apply_entry(old, 1.0), [])
        fresh = TargetRegistry(ForwardingSettings(zone="a"))
        fresh.advance_revision(90)
        self.assertEqual(fresh.revision, 0)

    def test_a_short_list_after_an_outage_does_not_take_the_targets_away(self):
        self.registry.apply_list(self.targets[:1], 40, 10.0)
        self.registry.expire(10.0 + GRACE_S - 0.1)
        self.assertEqual(len(self.candidates()), 6)
        self.assertIs(self.state("i-3"), TargetState.LAPSED)

    def test_entries_that_return_within_the_grace_are_ready_again(self):
        self.registry.apply_list([], 40, 10.0)
        back = [make_target(t.name, revision=50) for t in self.targets]
        self.registry.apply_list(back, 60, 11.5)
        self.registry.expire(10.0 + GRACE_S + 1)
        self.assertEqual(len(self.candidates()), 6)
        self.assertIs(self.state("i-3"), TargetState.READY)

    def test_entries_are_not_given_up_for_time_in_which_nothing_was_read(self):
        self.registry.apply_list(self.targets[:1], 40, 10.0)
        self.registry.restart_grace(14.0)
        self.registry.expire(14.0)
        self.assertEqual(len(self.candidates()), 6)
        self.registry.expire(14.0 + GRACE_S)
        self.assertEqual(self.candidates(), ["i-1"])

    def test_entries_are_not_given_up_while_the_store_says_nothing(self):
        self.registry.apply_list([], 40, 10.0)
        over_s = 10.0 + GRACE_S
        self.registry.expire(over_s, heard_s=10.0)
        self.assertEqual(len(self.candidates()), 6)
        self.assertTrue(self.registry.unconfirmed(over_s, 10.0))
        self.assertFalse(self.registry.unconfirmed(over_s, over_s))
        self.registry.expire(over_s, heard_s=over_s)
        self.assertEqual(self.candidates(), [])

    def test_an_entry_that_stays_away_is_gone_after_the_grace(self):
        self.registry.apply_list(self.targets[:1], 40, 10.0)
        changes = self.registry.expire(10.0 + GRACE_S)
        self.assertEqual(self.candidates(), ["i-1"])
        self.assertEqual({change.after for change in changes}, {"gone"})
        self.assertTrue(all(c.age_s == GRACE_S for c in changes))

    def test_a_draining_target_takes_no_flows_and_is_gone_when_it_left(self):
        draining = make_target("i-2", phase=TargetPhase.DRAINING, revision=20)
        self.registry.apply_entry(draining, 5.0)
        self.assertNotIn("i-2", self.candidates())
        self.registry.apply_removal("i-2", 25, 8.0)
        self.assertIs(self.state("i-2"), TargetState.GONE)

    def test_old_news_after_a_removal_change_nothing(self):
        self.registry.apply_list([], 40, 5.0)
        self.registry.expire(5.0 + GRACE_S)
        draining = make_target("i-2", phase=TargetPhase.DRAINING, revision=30)
        self.assertEqual(self.registry.apply_entry(draining, 9.0), [])
        self.assertIs(self.state("i-2"), TargetState.GONE)

    def test_an_older_list_or_removal_changes_nothing(self):
        self.registry.apply_entry(make_target("i-2", revision=50), 5.0)
        self.assertEqual(self.registry.apply_list([], 49, 6.0), [])
        self.assertEqual(self.registry.apply_removal("i-2", 49, 6.0), [])
        self.assertEqual(len(self.candidates()), 6)

    def test_an_older_entry_changes_nothing(self):
        draining = make_target("i-2", phase=TargetPhase.DRAINING, revision=20)
        self.registry.apply_entry(draining, 5.0)
        self.assertEqual(self.registry.apply_entry(self.targets[1], 6.0), [])
        self.assertIs(self.state("i-2"), TargetState.DRAINING)

    def test_a_target_that_is_gone_still_resolves_for_the_life_of_its_flows(self):
        cookie = self.registry.get("i-2").cookie
        draining = make_target("i-2", phase=TargetPhase.DRAINING, revision=20)
        self.registry.apply_entry(draining, 5.0)
        self.registry.apply_removal("i-2", 25, 8.0)
        self.registry.expire(8.0 + MEMORY_S - 1)
        self.assertEqual(self.registry.of_cookie(cookie).name, "i-2")
        self.registry.expire(8.0 + MEMORY_S)
        self.assertIsNone(self.registry.of_cookie(cookie))

    def test_a_dead_target_whose_entry_vanished_is_gone_at_once(self):
        belief = self.registry.get("i-2")
        self.registry.apply_removal("i-2", 25, 5.0)
        dead = ReachabilityEvent.PROBE_REFUSED
        self.registry.record_reachability(belief, dead, "probe: refused", 5.1)
        self.assertIs(belief.state, TargetState.GONE)

    def test_candidates_follow_each_change(self):
        self.assertEqual(len(self.candidates()), 6)
        self.registry.apply_entry(make_target("i-9", revision=70), 1.0)
        self.assertEqual(len(self.candidates()), 7)
        draining = make_target("i-9", phase=TargetPhase.DRAINING, revision=71)
        self.registry.apply_entry(draining, 2.0)
        self.assertEqual(len(self.candidates()), 6)

    def test_a_tick_looks_only_at_targets_that_time_changes(self):
        self.assertEqual(self.registry.unsettled, [])
        self.registry.apply_removal("i-2", 25, 5.0)
        silent = self.registry.get("i-3")
        event = ReachabilityEvent.PROBE_SILENT
        self.registry.record_reachability(silent, event, "probe: silent", 5.0)
        names = {belief.name for belief in self.registry.unsettled}
        self.assertEqual(names, {"i-2", "i-3"})
        event = ReachabilityEvent.PROGRESS
        self.registry.record_reachability(silent, event, "progress", 6.0)
        self.registry.expire(5.0 + GRACE_S)
        self.registry.expire(5.0 + GRACE_S + MEMORY_S)
        self.assertEqual(self.registry.unsettled, [])

    def test_a_target_that_was_gone_takes_flows_when_it_is_listed_again(self):
        self.registry.apply_removal("i-2", 25, 5.0)
        self.registry.expire(5.0 + GRACE_S)
        self.registry.apply_entry(make_target("i-2", revision=30), 9.0)
        self.assertIn("i-2", self.candidates())


class TestNewsBetweenInstances(unittest.TestCase):
    """What one instance tells another brings both to the same beliefs."""

    def setUp(self):
        settings = ForwardingSettings(zone="a", lapse_grace_s=GRACE_S)
        self.feeder, self.fed = TargetRegistry(settings), TargetRegistry(settings)
        self.targets = [make_target(f"i-{n}", revision=n) for n in range(1, 7)]
        for registry in (self.feeder, self.fed):
            registry.apply_list(self.targets, 6, 0.0)

    def pass_on(self, now_s):
        news = self.feeder.news_since(self.fed.revision)
        self.fed.apply_news(news, now_s)
        return news

    def states(self, registry):
        return {belief.name: belief.state for belief in registry}

    def assert_alike(self):
        self.assertEqual(self.states(self.fed), self.states(self.feeder))
        self.assertEqual(self.fed.revision, self.feeder.revision)

    def test_only_what_changed_is_told(self):
        draining = make_target("i-2", phase=TargetPhase.DRAINING, revision=20)
        self.feeder.apply_entry(draining, 1.0)
        self.feeder.apply_entry(make_target("i-7", revision=21, created=21), 1.0)
        self.feeder.apply_removal("i-3", 22, 1.0)
        news = self.pass_on(1.1)
        self.assertEqual([t.name for t in news.targets], ["i-2", "i-7"])
        self.assertEqual([r.name for r in news.removed], ["i-3"])
        self.assertFalse(news.whole)
        self.assert_alike()

    def test_a_draining_target_that_left_is_gone_there_as_well(self):
        draining = make_target("i-2", phase=TargetPhase.DRAINING, revision=20)
        self.feeder.apply_entry(draining, 1.0)
        self.pass_on(1.1)
        self.feeder.apply_removal("i-2", 25, 2.0)
        self.pass_on(2.1)
        self.assertIs(self.states(self.fed)["i-2"], TargetState.GONE)

    def test_a_lapsed_entry_keeps_its_grace_however_often_it_is_told(self):
        self.feeder.apply_removal("i-3", 20, 1.0)
        self.pass_on(1.0)
        for number in range(1, 4):
            self.feeder.apply_entry(make_target("i-1", revision=20 + number), 2.0)
            self.pass_on(1.0 + number / 2)
        self.fed.expire(1.0 + GRACE_S)
        self.assertIs(self.states(self.fed)["i-3"], TargetState.GONE)

    def test_what_vanished_before_the_feeder_knew_the_list_is_not_missed(self):
        self.fed.apply_entry(make_target("i-9", revision=30), 1.0)
        late = TargetRegistry(ForwardingSettings(zone="a"))
        late.apply_list(self.targets, 40, 2.0)
        news = late.news_since(self.fed.revision)
        self.assertTrue(news.whole)
        self.fed.apply_news(news, 2.0)
        self.assertIs(self.states(self.fed)["i-9"], TargetState.LAPSED)

    def test_what_the_feeder_has_forgotten_is_not_missed(self):
        self.feeder.apply_removal("i-3", 20, 1.0)
        self.feeder.expire(1.0 + GRACE_S)
        self.feeder.expire(100.0)
        self.assertNotIn("i-3", self.states(self.feeder))
        self.assertTrue(self.pass_on(100.0).whole)
        self.assertIs(self.states(self.fed)["i-3"], TargetState.LAPSED)

    def test_news_of_a_feeder_that_is_behind_change_nothing(self):
        self.fed.apply_entry(make_target("i-2", revision=50), 1.0)
        before = self.states(self.fed)
        self.fed.apply_news(self.feeder.news_since(0), 2.0)
        self.assertEqual(self.states(self.fed), before)
        self.assertEqual(self.fed.revision, 50)
