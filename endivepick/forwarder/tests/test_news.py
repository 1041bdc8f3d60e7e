import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.metrics import ForwarderMetrics
from endivepick.forwarder.news_handler import NewsHandler
from endivepick.forwarder.peers import PeerSnapshot
from endivepick.forwarder.ports import FeedKind, UnreadableItem
from endivepick.forwarder.store_feed import FeedChanges, FeedList
from endivepick.forwarder.zone_messages import ZoneNews
from endivepick.forwarding import (
    ColdStart,
    RegistryNews,
    RemovedTarget,
    Target,
    TargetState,
    check_target,
)
from endivepick.forwarding.configuration_changes import compute_change
from endivepick.forwarding.tests.support import (
    make_configuration,
    make_core,
    make_target,
)

ODD_TARGETS = st.builds(
    Target,
    st.sampled_from(["i-1", "i-0", "", "i-" + "f" * 17, "x y"]),
    st.integers(-(1 << 70), 1 << 70),
    st.sampled_from(["notes", "", "packs"]),
    st.sampled_from(["10.0.0.1", "", "here", "300.1.1.1"]),
    st.integers(-5, 1 << 20),
    st.sampled_from(["a", ""]),
    st.integers(-3, 1 << 40),
    cold_s=st.floats(),
    revision=st.integers(0, 99),
    born_ms=st.integers(-5, 1 << 60),
)


def make_zone_news(registry, evacuations=None, change=None):
    return ZoneNews("front-9", 0, change, registry, 0.1, 0.1, evacuations=evacuations)


class TestNews(unittest.TestCase):
    def setUp(self):
        self.targets = [make_target(f"i-{n}", revision=n) for n in range(1, 4)]
        self.core = make_core(self.targets)
        self.lines = []
        log = BoundedLog("a", lambda data: self.lines.append(data) or len(data))
        self.decisions = DecisionLog(log, ForwarderMetrics())
        self.intake = NewsHandler(self.core, self.decisions, log.flush)

    def state(self, name):
        belief = self.core.registry.get(name)
        return None if belief is None else belief.state

    def states(self):
        return [self.state(target.name) for target in self.targets]

    def written(self, event):
        return b"".join(self.lines).count(f'"event":"{event}"'.encode())

    def test_unreadable_entry_of_a_list_keeps_the_others(self):
        odd = UnreadableItem("i-2", "slots", 15)
        items = (self.targets[0], odd, self.targets[2], UnreadableItem("", "?", 15))
        self.intake.on_store_update(FeedList(FeedKind.REGISTRY, items, 20, 0.0))
        ready, unreadable = TargetState.READY, TargetState.UNREADABLE
        self.assertEqual(self.states(), [ready, unreadable, ready])
        self.assertEqual(self.written("item_unreadable"), 2)
        self.assertEqual(
            self.decisions.metrics.counts["items_unreadable", "registry"], 2
        )

    def test_a_change_that_makes_an_entry_unreadable(self):
        odd = UnreadableItem("i-2", "slots", 15)
        self.intake.on_store_update(FeedChanges(FeedKind.REGISTRY, (odd,), 20))
        self.assertIs(self.state("i-2"), TargetState.UNREADABLE)
        back = replace(self.targets[1], revision=25)
        self.intake.on_store_update(FeedChanges(FeedKind.REGISTRY, (back,), 25))
        self.assertIs(self.state("i-2"), TargetState.READY)

    def test_an_unreadable_configuration_changes_no_target(self):
        odd = UnreadableItem("i-2", "routes", 15)
        self.intake.on_store_update(FeedChanges(FeedKind.CONFIGURATION, (odd,), 20))
        self.assertIs(self.state("i-2"), TargetState.READY)

    def test_news_from_a_feeder_are_validated(self):
        odd = replace(self.targets[1], slots=0, revision=30)
        good = make_target("i-9", revision=31)
        gone = RemovedTarget("i-3", 32, unreadable=True)
        news = RegistryNews([odd, good], [gone], False, 32)
        self.intake.on_zone_news(make_zone_news(news))
        unreadable = TargetState.UNREADABLE
        self.assertEqual(self.states()[1:], [unreadable, unreadable])
        self.assertIs(self.state("i-9"), TargetState.READY)

    def test_snapshot_of_a_peer_is_validated(self):
        odd = replace(self.targets[1], host="nowhere", revision=30)
        snapshot = PeerSnapshot(
            "b", None, [self.targets[0], odd], 40, 0.0, False, [], ["i-3"]
        )
        self.intake.on_snapshot(snapshot)
        ready, unreadable = TargetState.READY, TargetState.UNREADABLE
        self.assertEqual(self.states(), [ready, unreadable, unreadable])

    def test_an_unusable_configuration_of_another_instance_is_ignored(self):
        good = make_configuration(revision=30, version=9)
        route = good.routes[0]
        for case, odd in {
            "route without services": replace(
                good, routes=(replace(route, shares=()),)
            ),
            "priority": replace(good, routes=(replace(route, priority=10**400),)),
            "version": replace(good, version=10**400),
            "rate": replace(good, cold_starts={"notes": ColdStart(9.0, 5e-324)}),
        }.items():
            with self.subTest(case):
                self.setUp()
                known = self.core.routes.configuration
                self.intake.on_snapshot(PeerSnapshot("b", odd, None, 5, 0.0, False, []))
                news = make_zone_news(
                    RegistryNews([], [], False, 5), change=compute_change(known, odd)
                )
                self.intake.on_zone_news(news)
                self.assertIs(self.core.routes.configuration, known)
                self.assertEqual(self.written("item_unreadable"), 2)
                self.intake.on_snapshot(
                    PeerSnapshot("b", good, None, 5, 0.0, False, [])
                )
                self.assertEqual(self.core.routes.configuration, good)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.lists(ODD_TARGETS, max_size=4), st.booleans())
    def test_whatever_is_told_only_what_can_be_used_is_believed(self, odd, whole):
        self.setUp()
        good = make_target("i-abc", revision=100)
        self.intake.on_zone_news(
            make_zone_news(RegistryNews([*odd, good], [], whole, 200))
        )
        self.assertIs(self.state("i-abc"), TargetState.READY)
        for belief in self.core.registry:
            check_target(belief.target)
