import json
import random
import unittest
from unittest.mock import patch

import gevent
import msgspec

from endivepick.clock import steady_now_s
from endivepick.forwarder.http import Response, http_server
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.peer_directory import MAX_PEERS, Neighbours, PeerBook
from endivepick.forwarder.peers import (
    HELLO_PATH,
    MAX_HINTS,
    PASSED_ON,
    SNAPSHOT_PATH,
    PeerFeed,
    PeerSnapshot,
    asks_peers,
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
    return PeerFeed(settings, core, [Feed()], lambda _: None, BoundedLog("a", len))


class Feed:
    """A feed that lost the store just now."""

    lost = True

    def __init__(self):
        self.heard_s = steady_now_s()


class TestHints(unittest.TestCase):
    def told(self, found_here, peers):
        feed = make_feed(make_core())
        for number in range(peers):
            feed.book.heard(f"10.0.0.{number + 2}:1")
        told = []
        with patch.object(feed, "_call", lambda address, path: told.append(address)):
            feed.hint("i-1", found_here)
            feed._hints.join(timeout=TIMEOUT_S)
        return told

    def test_who_finds_a_target_dead_tells_all_that_it_may(self):
        self.assertEqual(len(self.told(True, peers=8)), 8)
        self.assertEqual(len(self.told(True, peers=40)), MAX_HINTS)

    def test_who_was_told_passes_it_on_to_few(self):
        told = self.told(False, peers=40)
        self.assertEqual(len(set(told)), PASSED_ON)
        self.assertEqual(len(self.told(False, peers=1)), 1)

    def test_a_word_that_few_pass_on_reaches_nearly_all(self):
        """A fleet of hundreds, in which each knows its last peers only."""
        source = random.Random(1)
        fleet = range(200)
        known = {one: source.sample(fleet, MAX_PEERS) for one in fleet}
        heard, messages = {0, *known[0][:MAX_HINTS]}, MAX_HINTS
        waiting = [one for one in heard if one]
        while waiting:
            for peer in source.sample(known[waiting.pop()], PASSED_ON):
                messages += 1
                if peer not in heard:
                    heard.add(peer)
                    waiting.append(peer)
        self.assertGreater(len(heard), 0.9 * len(fleet))
        self.assertLess(messages, (PASSED_ON + 1) * len(fleet))


class TestPeerBook(unittest.TestCase):
    def test_peers_that_answered_last_are_asked_first(self):
        book = PeerBook(OWN, ["b", "c", OWN])
        book.heard("b")
        book.failed("b")
        book.heard("d")
        self.assertEqual(book.recent(3), ["d", "c", "b"])

    def test_what_others_tell_comes_after_what_was_heard(self):
        book = PeerBook(OWN, [])
        book.heard("b")
        book.told("c")
        book.told(OWN)
        self.assertEqual(book.recent(5), ["b", "c"])

    def test_it_is_bounded_and_forgets_the_oldest(self):
        book = PeerBook(OWN, [])
        for number in range(MAX_PEERS * 3):
            book.heard(f"p{number}")
            book.told(f"q{number}")
        recent = book.recent(MAX_PEERS * 3)
        self.assertEqual(len(recent), MAX_PEERS)
        self.assertEqual(recent[0], f"p{MAX_PEERS * 3 - 1}")


class TestNeighbours(unittest.TestCase):
    def test_one_that_asks_on_is_not_greeted(self):
        neighbours = Neighbours()
        for tenths in range(0, 100, 7):
            neighbours.heard("a", tenths / 10)
            self.assertEqual(neighbours.lost(tenths / 10 + 1.0), [])

    def test_a_lost_one_is_greeted_until_it_answers(self):
        neighbours = Neighbours()
        neighbours.heard("a", 1.0)
        neighbours.heard("b", 9.0)
        for now_s in (4.0, 9.0, 10.0):
            self.assertEqual(neighbours.lost(now_s), ["a"])
        neighbours.greeted("a")
        self.assertEqual(neighbours.lost(10.5), [])
        neighbours.greeted("c")

    def test_one_that_never_returns_is_forgotten(self):
        neighbours = Neighbours()
        neighbours.heard("a", 1.0)
        self.assertEqual(neighbours.lost(20.0), ["a"])
        self.assertEqual(neighbours.lost(32.0), [])


class TestGreetings(unittest.TestCase):
    def greeted(self, body):
        """Greet a lost neighbour that answers so; returns who is still lost."""
        feed = make_feed(make_core())
        answer = Response(200, body, "application/json")
        with http_server("127.0.0.1:0", lambda *_: answer) as address:
            feed.neighbours.heard(address, steady_now_s() - 5.0)
            feed._greet_lost()
            with gevent.Timeout(TIMEOUT_S):
                feed._greetings.join()
        return feed, feed.neighbours.lost(steady_now_s())

    def test_peers_of_one_that_was_found_are_learnt(self):
        feed, lost = self.greeted(b'["10.0.0.7:1"]')
        self.assertEqual(lost, [])
        self.assertIn("10.0.0.7:1", feed.book.recent(9))

    def test_an_answer_of_another_build_is_one_all_the_same(self):
        _, lost = self.greeted(b'{"peers": 3}')
        self.assertEqual(lost, [])


class TestAsksPeers(unittest.TestCase):
    def test_hundreds_that_start_at_once_leave_their_peers_alone(self):
        # Lists of 480 kB arrive for seconds on links of 2 Mbit/s.
        self.assertFalse(asks_peers(ready=False, store_lost=False, arriving=True))

    def test_a_store_that_is_silent_or_refuses(self):
        self.assertTrue(asks_peers(ready=False, store_lost=False, arriving=False))
        self.assertTrue(asks_peers(ready=True, store_lost=True, arriving=False))
        self.assertTrue(asks_peers(ready=False, store_lost=True, arriving=True))

    def test_nothing_is_asked_while_all_is_known(self):
        self.assertFalse(asks_peers(ready=True, store_lost=False, arriving=False))


class TestPeerFeed(unittest.TestCase):
    def test_a_snapshot_holds_what_is_believed_and_at_which_revision(self):
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

    def test_noise_is_no_peer(self):
        feed = make_feed(make_core())
        for query in ("", "from=", "from=store:80", "from=1.2.3.4:x&a=b"):
            feed.answer(HELLO_PATH, query)
        self.assertEqual(feed.book.recent(9), [])

    def test_only_what_is_newer_is_told(self):
        core = make_core([make_target("i-1", revision=1)])
        feed = make_feed(core)
        body = feed.answer(SNAPSHOT_PATH, "config=1&registry=10").body
        snapshot = msgspec.json.decode(body, type=PeerSnapshot)
        self.assertIsNone(snapshot.configuration)
        self.assertIsNone(snapshot.targets)
        self.assertEqual(snapshot.registry_revision, 10)

    def test_who_knows_nothing_says_so(self):
        core = ForwardingCore(ForwardingSettings(zone="a"), lambda: 0.5)
        self.assertEqual(make_feed(core).answer(SNAPSHOT_PATH, "").status, 503)

    def test_one_that_stops_does_not_answer_greetings(self):
        feed = make_feed(make_core())
        feed.stopping = True
        self.assertEqual(feed.answer(HELLO_PATH, "from=10.0.0.3:1").status, 503)
        self.assertEqual(feed.answer(SNAPSHOT_PATH, "").status, 200)

    def test_a_greeting_is_answered_with_peers(self):
        feed = make_feed(make_core(), ["10.0.0.2:1"])
        body = feed.answer(HELLO_PATH, "from=10.0.0.3:1").body
        self.assertEqual(msgspec.json.decode(body), ["10.0.0.3:1", "10.0.0.2:1"])
