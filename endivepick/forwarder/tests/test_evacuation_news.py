"""Evacuated zones travel from the store to feeders, from these to others, to peers."""

import json
import unittest

import gevent
import msgspec

from endivepick.clock import steady_now_s
from endivepick.forwarder.http import Response, http_server
from endivepick.forwarder.peers import PeerExchange, PeerSnapshot
from endivepick.forwarder.ports import FeedKind, ItemRemoved, UnreadableItem
from endivepick.forwarder.store_feed import FeedChanges, FeedList
from endivepick.forwarder.tests.zone_case import NOTHING, TIMEOUT_S, ZoneCase
from endivepick.forwarder.zone_messages import ZoneNews, ZoneQuestion
from endivepick.forwarding import EvacuatedZone, EvacuationSnapshot

KIND = FeedKind.EVACUATIONS
A = EvacuatedZone("a", 20)


def events_of(lines):
    events = [json.loads(line) for line in b"".join(lines).splitlines()]
    return [(e["event"], e["zone"]) for e in events if e["event"].startswith("zone_")]


class EvacuationNewsCase(ZoneCase):
    kinds = tuple(FeedKind)

    def setUp(self):
        super().setUp()
        self.news_handler = self.member.follower._apply_news.__self__

    def zones(self):
        return [each.zone for each in self.core.evacuations.zones.list_zones()]

    def read(self, *items, revision, whole=False):
        if whole:
            message = FeedList(KIND, items, revision, 0.0)
        else:
            message = FeedChanges(KIND, items, revision)
        self.news_handler.on_store_update(message)

    def logged(self):
        self.member._log.flush()
        return events_of(self.lines)


class TestFromTheStore(EvacuationNewsCase):
    def test_list_and_changes(self):
        self.read(A, revision=30, whole=True)
        self.assertEqual(self.zones(), ["a"])
        self.read(ItemRemoved("a", 31), EvacuatedZone("b", 32), revision=35)
        self.assertEqual(self.zones(), ["b"])
        self.assertEqual(self.core.evacuations.zones.revision, 35)
        expected = [
            ("zone_evacuated", "a"),
            ("zone_returned", "a"),
            ("zone_evacuated", "b"),
        ]
        self.assertEqual(self.logged(), expected)

    def test_unreadable_object_counts_by_its_name(self):
        self.read(UnreadableItem("a", "odd", 22), revision=30, whole=True)
        self.assertEqual(self.zones(), ["a"])
        self.read(UnreadableItem("b", "odd", 31), revision=31)
        self.assertEqual(self.zones(), ["a", "b"])
        self.read(UnreadableItem("", "odd", 32), revision=32)
        self.assertEqual(self.zones(), ["a", "b"])

    def test_object_that_comes_and_goes_in_one_batch(self):
        self.read(revision=10, whole=True)
        self.read(A, ItemRemoved("a", 21), revision=21)
        self.assertEqual(self.zones(), [])

    def test_stale_list_of_a_start_is_no_complete_list(self):
        self.read(A, revision=0)
        self.assertEqual(self.zones(), ["a"])
        self.assertIsNone(self.core.evacuations.zones.make_snapshot())
        self.read(revision=25, whole=True)
        self.assertEqual(self.zones(), [])

    def test_other_kinds_are_not_touched(self):
        before = self.core.registry.revision, self.core.routes.revision
        self.read(A, revision=90, whole=True)
        self.assertEqual(
            (self.core.registry.revision, self.core.routes.revision), before
        )


class TestFeeder(EvacuationNewsCase):
    """A feeder passes evacuations on; its other answers stay as they are."""

    def ask(self, evacuations="&evacuations=0"):
        query = f"from=10.0.0.2:1&config=1&registry=10{evacuations}"
        return gevent.spawn(self.member.feeder.answer_poll, query)

    def answer(self, asked):
        response = asked.get(timeout=TIMEOUT_S)
        return msgspec.json.decode(response.body, type=ZoneNews)

    def test_pending_poll_is_answered_when_an_evacuation_comes_into_force(self):
        self.read(revision=15, whole=True)
        self.feed()
        asked = self.ask("&evacuations=15")
        gevent.sleep(0)
        self.assertFalse(asked.ready())
        self.read(A, revision=20)
        self.member.feeder.wake_polls()
        gevent.sleep(0)
        self.assertTrue(asked.ready())
        news = self.answer(asked)
        self.assertEqual(news.evacuations, EvacuationSnapshot([A], 20))
        self.assertLess(news.evacuations_before_s, 1.0)

    def test_end_is_passed_on_as_soon_as_a_begin(self):
        self.read(A, revision=20, whole=True)
        self.feed()
        asked = self.ask("&evacuations=20")
        gevent.sleep(0)
        self.read(ItemRemoved("a", 25), revision=25)
        self.member.feeder.wake_polls()
        gevent.sleep(0)
        self.assertTrue(asked.ready())
        self.assertEqual(self.answer(asked).evacuations.zones, [])

    def test_poll_of_an_older_build_is_not_answered_for_evacuations(self):
        self.read(revision=15, whole=True)
        self.feed()
        asked = self.ask(evacuations="")
        gevent.sleep(0)
        self.read(A, revision=20)
        self.member.feeder.wake_polls()
        gevent.sleep(0)
        self.assertFalse(asked.ready())
        self.assertIsNone(self.answer(asked).evacuations)

    def test_feeder_that_does_not_know_them_says_so(self):
        self.feed()
        self.read(A, revision=0)
        self.assertIsNone(self.answer(self.ask()).evacuations)

    def test_question_of_each_build_is_read(self):
        for revision in (None, 0, 17):
            question = ZoneQuestion("10.0.0.2:1", 3, 4, evacuation_revision=revision)
            self.assertEqual(ZoneQuestion.read(question.query), question)

    def test_answer_of_an_older_build(self):
        news = msgspec.to_builtins(ZoneNews("f", 1, None, NOTHING, 0.1, 0.1))
        for name in ("evacuations", "evacuations_before_s", "instances"):
            del news[name]
        self.assertIsNone(msgspec.convert(news, ZoneNews).evacuations)


class TestFollower(EvacuationNewsCase):
    """The third kind is followed at the feeder only while its news are fresh."""

    def news(self, evacuations, before_s=0.1):
        told = ("front-9", 1, None, NOTHING, 0.1, 0.1)
        return ZoneNews(*told, evacuations=evacuations, evacuations_before_s=before_s)

    def follow(self, *answers):
        given = list(answers)

        def answer(_path, _query):
            body = msgspec.json.encode(given.pop(0)) if given else b""
            status = 200 if body else 404
            return Response(status, body, "application/json")

        limit = gevent.Timeout(TIMEOUT_S)
        with http_server("127.0.0.1:0", answer) as address, limit:
            self.member._follow(address)

    def calls(self):
        return self.feeds[KIND].calls

    def test_snapshot_of_the_feeder_is_applied(self):
        self.follow(self.news(EvacuationSnapshot([A], 44)))
        self.assertEqual(self.zones(), ["a"])
        self.assertEqual(self.calls(), ["suspend", "resume 44"])

    def test_older_snapshot_is_ignored(self):
        self.read(revision=50, whole=True)
        self.follow(self.news(EvacuationSnapshot([A], 44)))
        self.assertEqual(self.zones(), [])

    def test_feeder_of_an_older_build_leaves_the_kind_to_the_store(self):
        self.follow(self.news(None), self.news(None))
        self.assertEqual(self.calls(), [])
        self.assertEqual(self.feeds[FeedKind.REGISTRY].calls[0], "suspend")

    def test_kind_that_the_feeder_cannot_read_is_read_here(self):
        known = EvacuationSnapshot([], 44)
        late_s = self.member.follower._freshness.evacuations_silent_s + 0.1
        self.follow(self.news(known), self.news(known, late_s), self.news(known))
        expected = ["suspend", "resume 44", "suspend", "resume 44"]
        self.assertEqual(self.calls(), expected)
        registry = self.feeds[FeedKind.REGISTRY].calls
        self.assertEqual(registry, ["suspend", "resume 10"])

    def test_unsettled_third_kind_does_not_keep_an_instance_from_its_feeder(self):
        self.feeds[KIND].settled = False
        self.feeds[KIND].lost = True
        self.follow(self.news(None))
        self.assertEqual(self.feeds[FeedKind.REGISTRY].calls[0], "suspend")


class TestPeers(EvacuationNewsCase):
    def test_snapshot_brings_evacuations_without_the_store(self):
        snapshot = PeerSnapshot("front-9", None, None, 0, 3.0, True, [])
        told = msgspec.structs.replace(
            snapshot, evacuations=EvacuationSnapshot([A], 44)
        )
        self.news_handler.on_snapshot(told)
        self.assertEqual(self.zones(), ["a"])
        self.news_handler.on_snapshot(snapshot)
        self.assertEqual(self.zones(), ["a"])

    def test_snapshot_contains_them(self):
        self.read(A, revision=44, whole=True)
        feeds = list(self.feeds.values())
        settings = self.member._settings
        exchange = PeerExchange(settings, self.core, feeds, None, None)
        snapshot = exchange._make_snapshot(0, 0)
        self.assertEqual(snapshot.evacuations, EvacuationSnapshot([A], 44))

    def test_snapshot_of_an_older_build(self):
        snapshot = PeerSnapshot("front-9", None, None, 0, 3.0, True, [])
        told = msgspec.to_builtins(snapshot)
        del told["evacuations"]
        self.assertIsNone(msgspec.convert(told, PeerSnapshot).evacuations)


class TestZoneOfThirty(EvacuationNewsCase):
    """An evacuation reaches all followers of a zone within one poll of the feeder."""

    FOLLOWERS = 30

    def test_all_polls_are_answered_at_once(self):
        self.member = self.make_member(self.core, fed_most=self.FOLLOWERS)
        self.news_handler = self.member.follower._apply_news.__self__
        self.read(revision=15, whole=True)
        self.feed()
        query = "&config=1&registry=10&evacuations=15"
        polls = [
            gevent.spawn(self.member.feeder.answer_poll, f"from=10.0.0.{n}:1{query}")
            for n in range(1, self.FOLLOWERS + 1)
        ]
        gevent.sleep(0)
        began_s = steady_now_s()
        self.read(A, revision=20)
        self.member.feeder.wake_polls()
        gevent.joinall(polls, timeout=TIMEOUT_S)
        self.assertLess(steady_now_s() - began_s, 5.0)
        for poll in polls:
            news = msgspec.json.decode(poll.value.body, type=ZoneNews)
            self.assertEqual(news.evacuations.zones, [A])


if __name__ == "__main__":
    unittest.main()
