import json
import random
import unittest
from unittest.mock import patch

import gevent
import msgspec

from endivepick.clock import steady_now_s
from endivepick.forwarder.http import Response, http_server
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.peer_directory import MAX_PEERS, Neighbours, PeerDirectory
from endivepick.forwarder.peers import (
    HELLO_PATH,
    HINT_FAN_OUT,
    MAX_PENDING_HINTS,
    SNAPSHOT_PATH,
    PeerExchange,
    PeerSnapshot,
    should_query_peers,
)
from endivepick.forwarder.settings import decode_settings
from endivepick.forwarder.tests.test_settings import GOOD
from endivepick.forwarding import ForwardingCore, ForwardingSettings
from endivepick.forwarding.tests.support import make_core, make_target

OWN = "10.0.0.1:7000"
TIMEOUT_S = 20.0


def make_feed(core, seeds=()):
    settings = decode_settings(
        json.dumps(GOOD | {"peer_address": OWN, "seeds": seeds}).encode()
    )
    return PeerExchange(settings, core, [Feed()], lambda _: None, BoundedLog("a", len))


class Feed:
    """A feed that has just lost the store."""

    lost = True

    def __init__(self):
        self.last_answer_s = steady_now_s()


class TestHints(unittest.TestCase):
    def hinted_peers(self, detected_locally, peers):
        feed = make_feed(make_core())
        for number in range(peers):
            feed.directory.mark_alive(f"10.0.0.{number + 2}:1")
        told = []
        with patch.object(feed, "_call", lambda address, path: told.append(address)):
            feed.hint("i-1", detected_locally)
            feed._pending_hints.join(timeout=TIMEOUT_S)
        return told

    def test_detecting_instance_hints_all_peers_up_to_the_limit(self):
        self.assertEqual(len(self.hinted_peers(True, peers=8)), 8)
        self.assertEqual(len(self.hinted_peers(True, peers=40)), MAX_PENDING_HINTS)

    def test_received_hint_is_forwarded_to_few_peers(self):
        told = self.hinted_peers(False, peers=40)
        self.assertEqual(len(set(told)), HINT_FAN_OUT)
        self.assertEqual(len(self.hinted_peers(False, peers=1)), 1)

    def test_forwarded_hint_reaches_nearly_all_instances(self):
        """Each of 200 instances knows only its most recent peers."""
        source = random.Random(1)
        fleet = range(200)
        known = {one: source.sample(fleet, MAX_PEERS) for one in fleet}
        heard, messages = {0, *known[0][:MAX_PENDING_HINTS]}, MAX_PENDING_HINTS
        waiting = [one for one in heard if one]
        while waiting:
            for peer in source.sample(known[waiting.pop()], HINT_FAN_OUT):
                messages += 1
                if peer not in heard:
                    heard.add(peer)
                    waiting.append(peer)
        self.assertGreater(len(heard), 0.9 * len(fleet))
        self.assertLess(messages, (HINT_FAN_OUT + 1) * len(fleet))


class TestPeerDirectory(unittest.TestCase):
    def test_most_recently_active_peers_come_first(self):
        directory = PeerDirectory(OWN, ["b", "c", OWN])
        directory.mark_alive("b")
        directory.mark_failed("b")
        directory.mark_alive("d")
        self.assertEqual(directory.list_recent(3), ["d", "c", "b"])

    def test_candidates_come_after_active_peers(self):
        directory = PeerDirectory(OWN, [])
        directory.mark_alive("b")
        directory.add_candidate("c")
        directory.add_candidate(OWN)
        self.assertEqual(directory.list_recent(5), ["b", "c"])

    def test_size_is_bounded_and_oldest_peers_are_dropped(self):
        directory = PeerDirectory(OWN, [])
        for number in range(MAX_PEERS * 3):
            directory.mark_alive(f"p{number}")
            directory.add_candidate(f"q{number}")
        recent = directory.list_recent(MAX_PEERS * 3)
        self.assertEqual(len(recent), MAX_PEERS)
        self.assertEqual(recent[0], f"p{MAX_PEERS * 3 - 1}")


class TestNeighbours(unittest.TestCase):
    def test_active_neighbour_is_not_lost(self):
        neighbours = Neighbours()
        for tenths in range(0, 100, 7):
            neighbours.mark_alive("a", tenths / 10)
            self.assertEqual(neighbours.find_lost(tenths / 10 + 1.0), [])

    def test_lost_neighbour_is_returned_until_it_answers(self):
        neighbours = Neighbours()
        neighbours.mark_alive("a", 1.0)
        neighbours.mark_alive("b", 9.0)
        for now_s in (4.0, 9.0, 10.0):
            self.assertEqual(neighbours.find_lost(now_s), ["a"])
        neighbours.mark_found("a")
        self.assertEqual(neighbours.find_lost(10.5), [])
        neighbours.mark_found("c")

    def test_neighbour_that_never_returns_is_removed(self):
        neighbours = Neighbours()
        neighbours.mark_alive("a", 1.0)
        self.assertEqual(neighbours.find_lost(20.0), ["a"])
        self.assertEqual(neighbours.find_lost(32.0), [])


class TestHellos(unittest.TestCase):
    def send_hello(self, body):
        """Send a hello to a lost neighbour; return the exchange and the lost ones."""
        feed = make_feed(make_core())
        answer = Response(200, body, "application/json")
        with http_server("127.0.0.1:0", lambda *_: answer) as address:
            feed.neighbours.mark_alive(address, steady_now_s() - 5.0)
            feed._hello_lost_neighbours()
            with gevent.Timeout(TIMEOUT_S):
                feed._pending_hellos.join()
        return feed, feed.neighbours.find_lost(steady_now_s())

    def test_peers_of_a_found_neighbour_are_added(self):
        feed, lost = self.send_hello(b'["10.0.0.7:1"]')
        self.assertEqual(lost, [])
        self.assertIn("10.0.0.7:1", feed.directory.list_recent(9))

    def test_answer_of_another_build_shows_a_live_peer(self):
        _, lost = self.send_hello(b'{"peers": 3}')
        self.assertEqual(lost, [])


class TestShouldQueryPeers(unittest.TestCase):
    def test_no_queries_while_a_list_arrives(self):
        # Lists of 480 kB take seconds on links of 2 Mbit/s.
        self.assertFalse(
            should_query_peers(ready=False, store_lost=False, arriving=True)
        )

    def test_queries_when_the_store_is_silent_or_refuses(self):
        self.assertTrue(
            should_query_peers(ready=False, store_lost=False, arriving=False)
        )
        self.assertTrue(should_query_peers(ready=True, store_lost=True, arriving=False))
        self.assertTrue(should_query_peers(ready=False, store_lost=True, arriving=True))

    def test_no_queries_when_ready(self):
        self.assertFalse(
            should_query_peers(ready=True, store_lost=False, arriving=False)
        )


class TestPeerExchange(unittest.TestCase):
    def test_snapshot_contains_valid_targets_and_revision(self):
        core = make_core([make_target(f"i-{n}", revision=n) for n in (1, 2)])
        core.on_target_removed("i-1", 20, 1.0)
        core.on_target_removed("i-2", 20, 1.0)
        core.tick(2.0)
        core.on_target(make_target("i-2", revision=21), 3.0)
        core.tick(10.0)
        feed = make_feed(core)
        response = feed.answer(SNAPSHOT_PATH, "from=10.0.0.9:7000")
        snapshot = msgspec.json.decode(response.body, type=PeerSnapshot)
        self.assertEqual([target.name for target in snapshot.targets], ["i-2"])
        self.assertEqual(snapshot.registry_revision, 21)
        self.assertEqual(snapshot.configuration, core.routes.configuration)
        self.assertTrue(snapshot.store_lost)
        self.assertGreaterEqual(snapshot.heard_before_s, 0.0)
        self.assertEqual(snapshot.peers, ["10.0.0.9:7000"])

    def test_invalid_address_is_no_peer(self):
        feed = make_feed(make_core())
        for query in ("", "from=", "from=store:80", "from=1.2.3.4:x&a=b"):
            feed.answer(HELLO_PATH, query)
        self.assertEqual(feed.directory.list_recent(9), [])

    def test_only_what_is_newer_is_told(self):
        core = make_core([make_target("i-1", revision=1)])
        feed = make_feed(core)
        body = feed.answer(SNAPSHOT_PATH, "config=1&registry=10").body
        snapshot = msgspec.json.decode(body, type=PeerSnapshot)
        self.assertIsNone(snapshot.configuration)
        self.assertIsNone(snapshot.targets)
        self.assertEqual(snapshot.registry_revision, 10)

    def test_revisions_with_too_many_digits_count_as_unknown(self):
        feed = make_feed(make_core([make_target("i-1", revision=1)]))
        for digits in (20, 400, 6000):
            number = "9" * digits
            with self.subTest(digits):
                answer = feed.answer(
                    SNAPSHOT_PATH, f"config={number}&registry={number}"
                )
                snapshot = msgspec.json.decode(answer.body, type=PeerSnapshot)
                self.assertIsNotNone(snapshot.configuration)
                self.assertIsNotNone(snapshot.targets)

    def test_instance_without_state_answers_unavailable(self):
        core = ForwardingCore(ForwardingSettings(zone="a"), lambda: 0.5)
        self.assertEqual(make_feed(core).answer(SNAPSHOT_PATH, "").status, 503)

    def test_stopping_instance_refuses_hellos(self):
        feed = make_feed(make_core())
        feed.stopping = True
        self.assertEqual(feed.answer(HELLO_PATH, "from=10.0.0.3:1").status, 503)
        self.assertEqual(feed.answer(SNAPSHOT_PATH, "").status, 200)

    def test_hello_is_answered_with_peers(self):
        feed = make_feed(make_core(), ["10.0.0.2:1"])
        body = feed.answer(HELLO_PATH, "from=10.0.0.3:1").body
        self.assertEqual(msgspec.json.decode(body), ["10.0.0.3:1", "10.0.0.2:1"])
