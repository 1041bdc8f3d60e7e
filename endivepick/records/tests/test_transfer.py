import unittest
import zlib

from endivepick.core.events import PeerMessage
from endivepick.membership.view import InstanceView, PeerState
from endivepick.platform.answers import ObjectList
from endivepick.records._transfer import TransferReceiver, build_delta, build_push
from endivepick.records.cache import CACHED_KINDS, RecordCache
from endivepick.records.dissemination import Dissemination
from endivepick.records.events import ListReceived, MembersChanged, Tick
from endivepick.records.objects import StoredObject
from endivepick.records.peer_messages import (
    ConfigDelta,
    ConfigDigest,
    ConfigObject,
    ConfigRequest,
    InventoryRequest,
)
from endivepick.records.settings import DisseminationSettings

ONE_OBJECT_BYTES = 1


def put(name, version):
    return StoredObject("service", name, version, {"v": version})


def cache_at(revision, *objects):
    cache = RecordCache()
    for stored in objects:
        cache.offer(stored)
    cache.advance(0, revision)
    return cache


class TestTransfers(unittest.TestCase):
    def test_part_above_the_senders_revision_claims_nothing(self):
        sender, receiver = cache_at(5, put("a", 4)), RecordCache()
        transfers = TransferReceiver(receiver)
        sender.offer(put("late", 30))
        sender.offer(put("later", 40))
        request = ConfigRequest(0, 0)
        for _ in range(2):
            part = build_delta(sender, request, ONE_OBJECT_BYTES)
            request = transfers.take_delta("peer", part).answer or request
        # Only now the sender gets a change that is older than those sent.
        sender.offer(put("b", 20))
        sender.advance(5, 40)
        part = build_delta(sender, ConfigRequest(0, 30), ONE_OBJECT_BYTES)
        transfers.take_delta("peer", part)
        self.assertIsNone(receiver.get("service", "b"))
        self.assertLess(receiver.revision, 20)

    def test_peer_that_only_agreed_does_not_vouch_for_deletions(self):
        agreed = cache_at(3, put("a", 3))
        newest = cache_at(9, put("a", 3))
        self.assertTrue(agreed.agree(newest.digest))
        # Between 3 and 9 an object came and went that only this peer saw come.
        behind = cache_at(6, put("a", 3), put("gone", 5))
        delta = build_delta(agreed, ConfigRequest(6, 6), 1000)
        received = TransferReceiver(behind).take_delta("peer", delta)
        self.assertEqual(behind.revision, 6)
        self.assertIsInstance(received.answer, InventoryRequest)

    def test_push_holds_what_came_before_the_gap_closed(self):
        sender, receiver = cache_at(5), cache_at(5)
        sender.offer(put("lost", 9))
        sender.offer(put("b", 11))
        sender.advance(5, 12)
        TransferReceiver(receiver).take_delta("peer", build_push(sender, 5, 1000))
        self.assertEqual(receiver.revision, 12)
        self.assertIsNotNone(receiver.get("service", "lost"))

    def test_body_that_is_no_object_claims_nothing(self):
        delta = build_push(cache_at(5, put("a", 4)), 0, 1000)
        bodies = (b"[1]", zlib.compress(b"[1]"), zlib.compress(b" " * (5 << 20)))
        for body in bodies:
            receiver = RecordCache()
            broken = ConfigObject("service", "a", 4, body)
            sent = ConfigDelta(0, 0, 0, 4, True, delta.root, 5, (broken,))
            TransferReceiver(receiver).take_delta("peer", sent)
            self.assertEqual(receiver.revision, 0)


class TestReadiness(unittest.TestCase):
    def test_listed_but_older_than_a_peer_is_not_ready(self):
        core = Dissemination(DisseminationSettings(), "a", "thamel", RecordCache(), 1)
        peer = InstanceView("b", "thamel", 1, "", PeerState.ALIVE)
        core.handle(MembersChanged((peer,)), 0.0)
        core.handle(Tick(0.5), 0.0)
        core.handle(PeerMessage("b", 1, ConfigDigest(7, 9, True)), 0.1)
        for kind in CACHED_KINDS:
            core.handle(ListReceived(ObjectList(kind, 5, ())), 0.2)
        core.handle(Tick(0.5), 60.0)
        self.assertFalse(core.ready)
        dead = InstanceView("b", "thamel", 1, "", PeerState.DEAD)
        core.handle(MembersChanged((dead,)), 61.0)
        self.assertTrue(core.ready)
