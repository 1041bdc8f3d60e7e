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
from endivepick.records.tests.simulated_network import SimulatedNetwork

HARADA_ZONES = {"fukuoka": 3, "kumamoto": 3, "kagoshima": 2}
MAX_PROPAGATION_S = 5.0


def start_network(zones=HARADA_ZONES, **kwargs):
    network = SimulatedNetwork(zones, **kwargs)
    for name in ("sessions", "packs"):
        network.store.put(name)
    network.run(network.all_ready)
    network.run(network.all_at_head)
    return network


def cache_roots(network):
    return {node.cache.digest.root for node in network.nodes.values()}


def find_middle_feeder(network):
    """Return a feeder that is not a watcher, and one of its subscribers."""
    for node in network.nodes.values():
        if node.core.watching:
            continue
        feeder = node.core.roles.rank_feeders(node.name, network.settings)[0]
        if not network.nodes[feeder].core.watching:
            return feeder, node.name
    raise AssertionError("too few tiers")


class TestDissemination(unittest.TestCase):
    def test_ready_instance_does_not_iterate_over_peers_at_each_event(self):
        network = start_network()
        with patch.object(Dissemination, "_reachable", return_value=[]) as reachable:
            version = network.store.put("sessions")
            network.run(lambda: network.in_force("sessions", version))
        reachable.assert_not_called()

    def test_change_reaches_every_instance(self):
        network = start_network()
        version = network.store.put("sessions")
        took_s = network.run(lambda: network.in_force("sessions", version))
        self.assertLessEqual(took_s, MAX_PROPAGATION_S)

    def test_only_the_watchers_call_the_platform(self):
        network = start_network()
        watching = [n for n in network.nodes.values() if n.core.watching]
        self.assertEqual(len(watching), 2 * len(HARADA_ZONES))
        calls = network.calls
        version = network.store.put("sessions")
        network.run(lambda: network.in_force("sessions", version))
        self.assertEqual(network.calls - calls, len(watching))

    def test_lost_changes_are_repaired(self):
        network = start_network()
        network.loss = 0.4
        for _ in range(20):
            network.store.put("sessions")
            network.store.put("packs")
            network.step()
        network.store.delete("packs")
        network.run(network.all_at_head)
        self.assertEqual(len(cache_roots(network)), 1)

    def test_large_configuration_is_sent_in_bounded_deltas(self):
        settings = DisseminationSettings(delta_bytes=1000)
        network = SimulatedNetwork({"thamel": 4}, settings)
        for index in range(100):
            network.store.put(f"service-{index}")
        network.run(network.all_ready)
        network.run(network.all_at_head)
        self.assertEqual(len(cache_roots(network)), 1)

    def test_tiers_feed_a_zone_larger_than_the_fan_out(self):
        settings = DisseminationSettings(fan_out=3)
        network = SimulatedNetwork({"thamel": 40}, settings)
        network.store.put("leave")
        network.run(network.all_ready)
        version = network.store.put("leave")
        took_s = network.run(lambda: network.in_force("leave", version))
        self.assertLessEqual(took_s, MAX_PROPAGATION_S)

    def test_equal_caches_exchange_digests_only(self):
        network = start_network()
        network.run(network.all_at_head)
        before = sum(node.deltas for node in network.nodes.values())
        for _ in range(100):
            network.step()
        after = sum(node.deltas for node in network.nodes.values())
        self.assertEqual(before, after)


class TestFailures(unittest.TestCase):
    def test_zone_cut_from_the_platform_gets_changes_from_peers(self):
        network = start_network()
        network.cut_zone("kumamoto")
        version = network.store.put("sessions")
        took_s = network.run(lambda: network.in_force("sessions", version))
        self.assertLessEqual(took_s, MAX_PROPAGATION_S)

    def test_isolated_zone_keeps_its_records_and_receives_deletions_later(self):
        network = start_network()
        network.cut_zone("kumamoto", from_peers=True)
        version = network.store.put("sessions")
        network.store.delete("packs")
        network.run(lambda: network.in_force("sessions", version, {"fukuoka"}))
        cut_off = [n for n in network.nodes.values() if n.zone == "kumamoto"]
        for node in cut_off:
            self.assertLess(node.cache.get("service", "sessions").version, version)
            self.assertFalse(node.cache.get("service", "packs").deleted)
        network.restore_links()
        took_s = network.run(network.all_at_head)
        self.assertLessEqual(took_s, MAX_PROPAGATION_S)
        self.assertEqual(len(cache_roots(network)), 1)

    def test_restart_without_the_platform_gets_newest_records_from_peers(self):
        network = start_network()
        version = network.store.put("sessions")
        network.run(lambda: network.in_force("sessions", version))
        network.store.cut_off |= network.nodes.keys()
        for name in [n for n in network.nodes if n.startswith("fukuoka")]:
            network.start(name, "fukuoka")
        network.refresh_members()
        network.run(network.all_ready)
        self.assertTrue(network.in_force("sessions", version))

    def test_instance_without_any_source_is_not_ready(self):
        network = SimulatedNetwork({"thamel": 3})
        network.store.put("leave")
        network.store.cut_off |= network.nodes.keys()
        for _ in range(300):
            network.step()
        self.assertFalse(any(node.core.ready for node in network.nodes.values()))

    def test_stale_platform_does_not_make_an_instance_ready(self):
        network = start_network({"thamel": 3})
        old = list(network.store.events)
        version = network.store.put("leave")
        network.run(lambda: network.in_force("leave", version))
        # From here on the platform returns the state before the change.
        network.store.events = old
        network.start("thamel-0", "thamel")
        network.refresh_members()
        network.run(lambda: network.nodes["thamel-0"].core.ready)
        self.assertTrue(network.in_force("leave", version))

    def test_answer_to_an_earlier_process_does_not_make_ready(self):
        """A delayed reply to the previous process arrives at its successor.

        The peer has received a newer version in the meantime.  If the successor
        accepted the reply as its own, it would become ready with a stale listing.
        """
        network = SimulatedNetwork({"thamel": 2})
        network.store.put("sessions")
        network.run(network.all_ready)
        asker, peer = network.nodes.values()
        question = ConfigDigest(0, 0, False, reply=True)
        late_reply = next(
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
        restarted = network.nodes[asker.name].core
        network.refresh_members()
        restarted.handle(Tick(0.5), network.now_s)
        for kind in CACHED_KINDS:
            listed = stale if kind == stale.kind else ObjectList(kind, 1, ())
            restarted.handle(ListReceived(listed), network.now_s)
        restarted.handle(PeerMessage(peer.name, 1, late_reply), network.now_s)
        self.assertFalse(restarted.ready)
        network.run(network.all_ready)
        self.assertEqual(network.nodes[asker.name].cache.revision, newest)

    def test_silent_feeder_is_replaced(self):
        network = start_network({"thamel": 3})
        receiver = next(n for n in network.nodes.values() if not n.core.watching)
        feeder = receiver.core.roles.rank_feeders(receiver.name, network.settings)[0]
        network.cuts.add((receiver.name, feeder))
        version = network.store.put("leave")
        network.run(lambda: network.in_force("leave", version))

    def test_suspected_watchers_have_substitutes(self):
        network = start_network()
        zone = [n for n in network.nodes.values() if n.zone == "fukuoka"]
        isolated = [node.name for node in zone if node.core.watching]
        [last] = [node.name for node in zone if not node.core.watching]
        network.isolate(isolated)
        network.refresh_members(suspects=isolated)
        version = network.store.put("sessions")
        took_s = network.run(lambda: network.holds(last, "sessions", version))
        self.assertLessEqual(took_s, MAX_PROPAGATION_S)

    def test_watcher_that_suspects_its_whole_zone_queries_few_instances(self):
        network = start_network({"thamel": 40})
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

    def test_change_arrives_without_delay_while_one_watcher_is_suspected(self):
        for position in range(2):
            network = start_network({"thamel": 8})
            watchers = next(iter(network.nodes.values())).core.roles.watchers
            network.isolate([watchers[position]])
            network.refresh_members(suspects=[watchers[position]])
            version = network.store.put("leave")
            others = [name for name in network.nodes if name != watchers[position]]
            took_s = network.run(
                lambda n=network, v=version, o=others: all(
                    n.holds(name, "leave", v) for name in o
                )
            )
            self.assertLessEqual(took_s, 1.0)

    def test_failure_of_a_feeder_in_a_middle_tier(self):
        """Subscribers change their feeder after a timeout, or at once on suspicion."""
        for suspected, limit_s in ((False, 14.0), (True, 1.0)):
            network = start_network(
                {"thamel": 24}, settings=DisseminationSettings(fan_out=2)
            )
            isolated, subscriber = find_middle_feeder(network)
            network.isolate([isolated])
            if suspected:
                network.refresh_members(suspects=[isolated])
            version = network.store.put("leave")
            others = [name for name in network.nodes if name != isolated]
            network.step()
            if not suspected:
                self.assertFalse(network.holds(subscriber, "leave", version))
            took_s = network.run(
                lambda n=network, v=version, o=others: all(
                    n.holds(name, "leave", v) for name in o
                )
            )
            self.assertLessEqual(took_s, limit_s)

    def test_changes_propagate_while_the_highest_ranked_instance_joins(self):
        settings = DisseminationSettings(fan_out=2)
        network = start_network({"thamel": 24}, settings=settings)
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
        network.check_invariants()
        self.assertLessEqual(took_s, MAX_PROPAGATION_S)
        network.run(network.all_at_head)
        self.assertEqual(len(cache_roots(network)), 1)
        self.assertIn(first, network.nodes[first].core.roles.watchers)

    def test_duplicate_part_of_a_transfer_does_not_advance_the_revision(self):
        network = SimulatedNetwork({"thamel": 2})
        node = network.nodes["thamel-0"]
        sent = encode_object(StoredObject("service", "leave", 60, {}))
        late_reply = ConfigDelta(0, 0, 50, 60, True, 1, 60, (sent,))
        node.core.handle(PeerMessage("thamel-1", 1, late_reply), 0.0)
        self.assertEqual(node.cache.revision, 0)

    def test_push_after_a_lost_push_skips_no_change(self):
        network = start_network({"thamel": 3})
        receiver = next(n for n in network.nodes.values() if not n.core.watching)
        network.cuts = {(receiver.name, n) for n in network.nodes}
        first = network.store.put("leave")
        network.step()
        network.cuts.clear()
        network.store.put("other")
        network.run(lambda: receiver.cache.get("service", "other") is not None)
        if receiver.cache.revision > first:
            self.assertIsNotNone(receiver.cache.get("service", "leave"))
        network.run(network.all_at_head)
        self.assertEqual(len(cache_roots(network)), 1)


class TestCombined(unittest.TestCase):
    def test_caches_match_their_revision_under_combined_failures(self):
        for seed in range(12):
            with self.subTest(seed=seed):
                self.run_combined(seed)

    def run_combined(self, seed):
        settings = DisseminationSettings(delta_bytes=700, fan_out=2)
        network = SimulatedNetwork({"thamel": 4, "lalitpur": 3}, settings, seed)
        network.loss, network.delay = 0.2, 0.4
        numbers = network.random
        for _ in range(250):
            self.inject_fault(network, numbers)
            network.step()
            network.check_invariants()
        network.restore_links()
        network.loss = network.delay = 0.0
        network.run(network.all_ready)
        network.run(network.all_at_head)
        network.check_invariants()
        self.assertEqual(len(cache_roots(network)), 1)

    def inject_fault(self, network, numbers):
        name = f"service-{numbers.randrange(12)}"
        match numbers.randrange(40):
            case 0:
                network.cut_zone(numbers.choice(["thamel", "lalitpur"]), True)
            case 1:
                network.cut_zone(numbers.choice(["thamel", "lalitpur"]))
            case 2 | 3:
                network.restore_links()
            case 4:
                node = numbers.choice(list(network.nodes.values()))
                network.start(node.name, node.zone)
                network.refresh_members()
            case 5 | 6 | 7 | 8:
                network.store.delete(name)
            case step if step < 20:
                network.store.put(name)


class TestReports(unittest.TestCase):
    def test_writer_receives_the_reports_of_all_instances_of_its_zone(self):
        network = start_network(
            {"thamel": 12}, settings=DisseminationSettings(fan_out=2)
        )
        writer = next(n for n in network.nodes.values() if n.core.writes_status)
        version = network.store.put("leave")

        def reported():
            report = writer.core.zone_report
            complete = report.instances == 12
            complete &= report.names_hash == hash_names(network.nodes)
            return complete and report.revision >= version

        self.assertLessEqual(network.run(reported), MAX_PROPAGATION_S)

    def test_isolated_instance_delays_the_zone_report(self):
        network = start_network({"thamel": 4})
        writer = next(n for n in network.nodes.values() if n.core.writes_status)
        isolated = next(n for n in network.nodes.values() if not n.core.watching)
        network.cuts |= {(isolated.name, name) for name in network.nodes}
        version = network.store.put("leave")
        for _ in range(100):
            network.step()
            report = writer.core.zone_report
            complete = report.names_hash == hash_names(network.nodes)
            self.assertFalse(complete and report.revision >= version)
