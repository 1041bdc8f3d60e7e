import itertools
import unittest
from unittest.mock import patch

from endivepick.core.actions import SendToPeer
from endivepick.core.events import PeerMessage
from endivepick.core.rendezvous import rank
from endivepick.platform.answers import ObjectList
from endivepick.records._transfer import encode_object
from endivepick.records.cache import CACHED_KINDS
from endivepick.records.dissemination import Dissemination
from endivepick.records.events import ListReceived, Tick
from endivepick.records.objects import StoredObject
from endivepick.records.peer_messages import ConfigDelta, ConfigDigest
from endivepick.records.roles import hash_names
from endivepick.records.settings import DisseminationSettings
from endivepick.records.tests.simulated_network import Network

HARADA = {"fukuoka": 3, "kumamoto": 3, "kagoshima": 2}
SECONDS_ALLOWED = 5.0


def started(zones=HARADA, **kwargs):
    network = Network(zones, **kwargs)
    for name in ("sessions", "packs"):
        network.store.put(name)
    network.run(network.all_ready)
    network.run(network.all_at_head)
    return network


def roots(network):
    return {node.cache.digest.root for node in network.nodes.values()}


def middle_feeder(network):
    """Return a feeder that is no watcher, and one that it feeds."""
    for node in network.nodes.values():
        if node.core.watching:
            continue
        feeder = node.core.roles.feeders(node.name, network.settings)[0]
        if not network.nodes[feeder].core.watching:
            return feeder, node.name
    raise AssertionError("too few tiers")


class TestSpreading(unittest.TestCase):
    def test_ready_instance_does_not_walk_over_its_peers_at_each_event(self):
        network = started()
        with patch.object(Dissemination, "_reachable", return_value=[]) as walked:
            version = network.store.put("sessions")
            network.run(lambda: network.in_force("sessions", version))
        walked.assert_not_called()

    def test_change_reaches_every_instance(self):
        network = started()
        version = network.store.put("sessions")
        took_s = network.run(lambda: network.in_force("sessions", version))
        self.assertLessEqual(took_s, SECONDS_ALLOWED)

    def test_only_the_watchers_call_the_platform(self):
        network = started()
        watching = [n for n in network.nodes.values() if n.core.watching]
        self.assertEqual(len(watching), 2 * len(HARADA))
        calls = network.calls
        version = network.store.put("sessions")
        network.run(lambda: network.in_force("sessions", version))
        self.assertEqual(network.calls - calls, len(watching))

    def test_losses_are_mended(self):
        network = started()
        network.loss = 0.4
        for _ in range(20):
            network.store.put("sessions")
            network.store.put("packs")
            network.step()
        network.store.delete("packs")
        network.run(network.all_at_head)
        self.assertEqual(len(roots(network)), 1)

    def test_large_configuration_travels_in_bounded_deltas(self):
        settings = DisseminationSettings(delta_bytes=1000)
        network = Network({"thamel": 4}, settings)
        for index in range(100):
            network.store.put(f"service-{index}")
        network.run(network.all_ready)
        network.run(network.all_at_head)
        self.assertEqual(len(roots(network)), 1)

    def test_tiers_feed_a_zone_larger_than_the_fan_out(self):
        settings = DisseminationSettings(fan_out=3)
        network = Network({"thamel": 40}, settings)
        network.store.put("leave")
        network.run(network.all_ready)
        version = network.store.put("leave")
        took_s = network.run(lambda: network.in_force("leave", version))
        self.assertLessEqual(took_s, SECONDS_ALLOWED)

    def test_equal_caches_exchange_digests_only(self):
        network = started()
        network.run(network.all_at_head)
        before = sum(node.deltas for node in network.nodes.values())
        for _ in range(100):
            network.step()
        after = sum(node.deltas for node in network.nodes.values())
        self.assertEqual(before, after)


class TestFailures(unittest.TestCase):
    def test_zone_cut_from_the_platform_gets_changes_from_peers(self):
        network = started()
        network.cut_zone("kumamoto")
        version = network.store.put("sessions")
        took_s = network.run(lambda: network.in_force("sessions", version))
        self.assertLessEqual(took_s, SECONDS_ALLOWED)

    def test_zone_cut_off_goes_on_and_catches_up_with_deletions(self):
        network = started()
        network.cut_zone("kumamoto", from_peers=True)
        version = network.store.put("sessions")
        network.store.delete("packs")
        network.run(lambda: network.in_force("sessions", version, {"fukuoka"}))
        cut_off = [n for n in network.nodes.values() if n.zone == "kumamoto"]
        for node in cut_off:
            self.assertLess(node.cache.get("service", "sessions").version, version)
            self.assertFalse(node.cache.get("service", "packs").deleted)
        network.heal()
        took_s = network.run(network.all_at_head)
        self.assertLessEqual(took_s, SECONDS_ALLOWED)
        self.assertEqual(len(roots(network)), 1)

    def test_restarts_with_the_platform_down_get_the_newest_from_peers(self):
        network = started()
        version = network.store.put("sessions")
        network.run(lambda: network.in_force("sessions", version))
        network.store.cut_off |= network.nodes.keys()
        for name in [n for n in network.nodes if n.startswith("fukuoka")]:
            network.start(name, "fukuoka")
        network.refresh_members()
        network.run(network.all_ready)
        self.assertTrue(network.in_force("sessions", version))

    def test_never_ready_without_any_source(self):
        network = Network({"thamel": 3})
        network.store.put("leave")
        network.store.cut_off |= network.nodes.keys()
        for _ in range(300):
            network.step()
        self.assertFalse(any(node.core.ready for node in network.nodes.values()))

    def test_stale_platform_does_not_make_an_instance_ready(self):
        network = started({"thamel": 3})
        old = list(network.store.events)
        version = network.store.put("leave")
        network.run(lambda: network.in_force("leave", version))
        # The platform now answers from before the change.
        network.store.events = old
        network.start("thamel-0", "thamel")
        network.refresh_members()
        network.run(lambda: network.nodes["thamel-0"].core.ready)
        self.assertTrue(network.in_force("leave", version))

    def test_answer_to_an_earlier_process_does_not_make_ready(self):
        """The peer answers, learns more, and its answer reaches the next process."""
        network = Network({"thamel": 2})
        network.store.put("sessions")
        network.run(network.all_ready)
        asker, peer = network.nodes.values()
        question = ConfigDigest(0, 0, False, reply=True)
        late = next(
            action.message
            for action in peer.core.handle(
                PeerMessage(asker.name, 1, question), network.now_s
            )
            if isinstance(action, SendToPeer)
        )
        stale = ObjectList("service", 1, network.store.live("service"))
        newest = network.store.put("sessions")
        network.run(lambda: peer.cache.revision == newest)
        network.start(asker.name, asker.zone)
        started = network.nodes[asker.name].core
        network.refresh_members()
        started.handle(Tick(0.5), network.now_s)
        for kind in CACHED_KINDS:
            listed = stale if kind == stale.kind else ObjectList(kind, 1, ())
            started.handle(ListReceived(listed), network.now_s)
        started.handle(PeerMessage(peer.name, 1, late), network.now_s)
        self.assertFalse(started.ready)
        network.run(network.all_ready)
        self.assertEqual(network.nodes[asker.name].cache.revision, newest)

    def test_silent_feeder_is_passed_over(self):
        network = started({"thamel": 3})
        fed = next(n for n in network.nodes.values() if not n.core.watching)
        feeder = fed.core.roles.feeders(fed.name, network.settings)[0]
        network.cuts.add((fed.name, feeder))
        version = network.store.put("leave")
        network.run(lambda: network.in_force("leave", version))

    def test_suspected_watchers_are_stood_in_for(self):
        network = started()
        zone = [n for n in network.nodes.values() if n.zone == "fukuoka"]
        lost = [node.name for node in zone if node.core.watching]
        [last] = [node.name for node in zone if not node.core.watching]
        network.silence(lost)
        network.refresh_members(suspects=lost)
        version = network.store.put("sessions")
        took_s = network.run(lambda: network.holds(last, "sessions", version))
        self.assertLessEqual(took_s, SECONDS_ALLOWED)

    def test_who_suspects_its_whole_zone_asks_a_few_of_it(self):
        network = started({"thamel": 40})
        [node, *others] = network.nodes.values()
        network.refresh_members(suspects=[other.name for other in others])
        asked = set()
        send = network.send

        def recorded(sender, name, message):
            if sender is node and getattr(message, "reply", False):
                asked.add(name)
            return send(sender, name, message)

        with patch.object(network, "send", recorded):
            until_s = network.now_s + 4 * network.settings.digest_interval_s
            network.run(lambda: network.now_s >= until_s)
        self.assertTrue(node.core.watching)
        self.assertLessEqual(len(asked), 2 * network.settings.watchers)

    def test_change_comes_at_once_from_the_watcher_that_is_not_suspected(self):
        for lost in range(2):
            network = started({"thamel": 8})
            watchers = next(iter(network.nodes.values())).core.roles.watchers
            network.silence([watchers[lost]])
            network.refresh_members(suspects=[watchers[lost]])
            version = network.store.put("leave")
            others = [name for name in network.nodes if name != watchers[lost]]
            took_s = network.run(
                lambda n=network, v=version, o=others: all(
                    n.holds(name, "leave", v) for name in o
                )
            )
            self.assertLessEqual(took_s, 1.0)

    def test_feeder_between_the_tiers_dies(self):
        """Without a suspicion those below it go elsewhere, with one at once."""
        for suspected, limit_s in ((False, 14.0), (True, 1.0)):
            network = started({"thamel": 24}, settings=DisseminationSettings(fan_out=2))
            lost, below = middle_feeder(network)
            network.silence([lost])
            if suspected:
                network.refresh_members(suspects=[lost])
            version = network.store.put("leave")
            others = [name for name in network.nodes if name != lost]
            network.step()
            if not suspected:
                self.assertFalse(network.holds(below, "leave", version))
            took_s = network.run(
                lambda n=network, v=version, o=others: all(
                    n.holds(name, "leave", v) for name in o
                )
            )
            self.assertLessEqual(took_s, limit_s)

    def test_changes_go_on_while_an_instance_joins_before_all_others(self):
        settings = DisseminationSettings(fan_out=2)
        network = started({"thamel": 24}, settings=settings)
        candidates = (f"newcomer-{number}" for number in itertools.count())
        order = "configuration:thamel"
        first = next(
            name
            for name in candidates
            if rank(order, [*network.nodes, name])[0] == name
        )
        network.start(first, "thamel")
        network.refresh_members()
        version = network.store.put("leave")
        took_s = network.run(lambda: network.in_force("leave", version))
        network.check_claims()
        self.assertLessEqual(took_s, SECONDS_ALLOWED)
        network.run(network.all_at_head)
        self.assertEqual(len(roots(network)), 1)
        self.assertIn(first, network.nodes[first].core.roles.watchers)

    def test_repeated_part_of_a_transfer_claims_nothing(self):
        network = Network({"thamel": 2})
        node = network.nodes["thamel-0"]
        sent = encode_object(StoredObject("service", "leave", 60, {}))
        late = ConfigDelta(0, 0, 50, 60, True, 1, 60, (sent,))
        node.core.handle(PeerMessage("thamel-1", 1, late), 0.0)
        self.assertEqual(node.cache.revision, 0)

    def test_push_after_a_lost_push_claims_nothing(self):
        network = started({"thamel": 3})
        fed = next(n for n in network.nodes.values() if not n.core.watching)
        network.cuts = {(fed.name, n) for n in network.nodes}
        first = network.store.put("leave")
        network.step()
        network.cuts.clear()
        network.store.put("other")
        network.run(lambda: fed.cache.get("service", "other") is not None)
        if fed.cache.revision > first:
            self.assertIsNotNone(fed.cache.get("service", "leave"))
        network.run(network.all_at_head)
        self.assertEqual(len(roots(network)), 1)


class TestCombined(unittest.TestCase):
    def test_no_claim_is_false_under_combined_failures(self):
        for seed in range(12):
            with self.subTest(seed=seed):
                self.run_combined(seed)

    def run_combined(self, seed):
        settings = DisseminationSettings(delta_bytes=700, fan_out=2)
        network = Network({"thamel": 4, "lalitpur": 3}, settings, seed)
        network.loss, network.delay = 0.2, 0.4
        numbers = network.random
        for _ in range(250):
            self.disturb(network, numbers)
            network.step()
            network.check_claims()
        network.heal()
        network.loss = network.delay = 0.0
        network.run(network.all_ready)
        network.run(network.all_at_head)
        network.check_claims()
        self.assertEqual(len(roots(network)), 1)

    def disturb(self, network, numbers):
        name = f"service-{numbers.randrange(12)}"
        match numbers.randrange(40):
            case 0:
                network.cut_zone(numbers.choice(["thamel", "lalitpur"]), True)
            case 1:
                network.cut_zone(numbers.choice(["thamel", "lalitpur"]))
            case 2 | 3:
                network.heal()
            case 4:
                node = numbers.choice(list(network.nodes.values()))
                network.start(node.name, node.zone)
                network.refresh_members()
            case 5 | 6 | 7 | 8:
                network.store.delete(name)
            case step if step < 20:
                network.store.put(name)


class TestReports(unittest.TestCase):
    def test_writer_learns_what_every_instance_of_the_zone_holds(self):
        network = started({"thamel": 12}, settings=DisseminationSettings(fan_out=2))
        writer = next(n for n in network.nodes.values() if n.core.writes_status)
        version = network.store.put("leave")

        def reported():
            report = writer.core.zone_report
            whole = report.instances == 12
            whole &= report.names_hash == hash_names(network.nodes)
            return whole and report.revision >= version

        self.assertLessEqual(network.run(reported), SECONDS_ALLOWED)

    def test_instance_cut_off_holds_the_report_back(self):
        network = started({"thamel": 4})
        writer = next(n for n in network.nodes.values() if n.core.writes_status)
        lost = next(n for n in network.nodes.values() if not n.core.watching)
        network.cuts |= {(lost.name, name) for name in network.nodes}
        version = network.store.put("leave")
        for _ in range(100):
            network.step()
            report = writer.core.zone_report
            whole = report.names_hash == hash_names(network.nodes)
            self.assertFalse(whole and report.revision >= version)
