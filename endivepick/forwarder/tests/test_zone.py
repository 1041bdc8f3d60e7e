import json
import unittest
from unittest.mock import patch

import gevent
import msgspec

from endivepick.clock import steady_now_s
from endivepick.forwarder import feeding, zone
from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.feeding import ZoneFeeder
from endivepick.forwarder.freshness import ANSWER_SLACK_S
from endivepick.forwarder.http import Response, http_server
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.metrics import ForwarderMetrics
from endivepick.forwarder.news import NewsIntake
from endivepick.forwarder.peer_book import Neighbours
from endivepick.forwarder.peers import SEEN_PATH
from endivepick.forwarder.ports import FeederClaim, FeedKind
from endivepick.forwarder.settings import decode_settings
from endivepick.forwarder.tests.test_settings import GOOD
from endivepick.forwarder.zone import ZoneMember
from endivepick.forwarder.zone_messages import (
    FeederAhead,
    FeederFull,
    ZoneNews,
    ZoneQuestion,
)
from endivepick.forwarding import FitnessReport, RegistryNews, TargetState
from endivepick.forwarding.changes import change_between
from endivepick.forwarding.fitness_reports import ServiceCounts, TargetCounts
from endivepick.forwarding.tests.support import (
    make_configuration,
    make_core,
    make_target,
)

TIMEOUT_S = 20.0
NOTHING = RegistryNews([], [], False, 0)


class FakeFeed:
    """Notes what is asked of it."""

    lost = False
    settled = True
    heard_s = 0.0
    wait_s = None

    def __init__(self):
        self.done = []

    def hold_watches(self, wait_s):
        self.wait_s = wait_s

    def suspend(self):
        self.done.append("suspend")

    def resume(self, revision):
        self.done.append(f"resume {revision}")

    def list_again(self):
        self.done.append("list")


class ZoneCase(unittest.TestCase):
    def setUp(self):
        self.core = make_core([make_target("i-1", revision=5)])
        self.feeds = {kind: FakeFeed() for kind in FeedKind}
        self.lines = []
        self.member = self.make_member(self.core)

    def make_member(self, core, **fields):
        fields = {"peer_address": "127.0.0.1:1"} | fields
        settings = decode_settings(json.dumps(GOOD | fields).encode())
        log = BoundedLog("a", lambda data: self.lines.append(bytes(data)) or len(data))

        decisions = DecisionLog(log, ForwarderMetrics())
        take = NewsIntake(core, decisions, lambda: None).on_zone_news
        self.neighbours = Neighbours()
        return ZoneMember(settings, core, self.feeds, None, take, self.neighbours, log)

    def feed(self):
        """Let the member feed others, and have heard of the store just now."""
        self.member.feeder.begin()
        for feed in self.feeds.values():
            feed.heard_s = steady_now_s()


class TestFeeding(ZoneCase):
    def ask(self, config=1, registry=10, asker="10.0.0.2:1"):
        response = self.member.feeder.answer(
            f"from={asker}&config={config}&registry={registry}"
        )
        self.assertEqual(response.status, 200)
        return msgspec.json.decode(response.body, type=ZoneNews)

    def test_one_that_does_not_feed_says_so(self):
        query = "from=a&config=1&registry=1"
        self.assertEqual(self.member.feeder.answer(query).status, 404)

    def test_a_question_that_cannot_be_read_is_refused(self):
        self.feed()
        for query in (
            "",
            "from=a&config=1",
            "from=a&config=x&registry=1",
            "config=1&registry=1",
        ):
            self.assertEqual(self.member.feeder.answer(query).status, 404)

    def test_what_is_newer_is_told_at_once(self):
        self.feed()
        self.core.on_target(make_target("i-2", revision=20, created=20), 1.0)
        news = self.ask()
        self.assertEqual([t.name for t in news.registry.targets], ["i-2"])
        self.assertLess(news.heard_before_s, 1.0)

    def test_more_than_it_can_feed_are_told_so(self):
        self.feed()
        most = self.member._settings.fed_most
        for number in range(most):
            self.ask(registry=1, asker=f"10.0.0.{number}:1")
        query = "from=10.0.1.1:1&config=1&registry=1"
        answer = self.member.feeder.answer(query)
        self.assertEqual(
            msgspec.json.decode(answer.body, type=FeederFull), FeederFull("front-1")
        )
        self.ask(registry=1, asker="10.0.0.1:1")

    def test_the_whole_of_a_large_registry_is_not_told(self):
        self.feed()
        for number in range(2, 400):
            target = make_target(f"i-{number:x}", revision=20 + number)
            self.core.on_target(target, 1.0)
        self.core.on_target_list([b.target for b in self.core.registry], 900, 1.0)
        self.assertTrue(self.ask(registry=899).registry.whole)
        self.member.feeder._whole_targets = 300
        query = "from=a&config=1&registry=899"
        answer = self.member.feeder.answer(query)
        self.assertEqual(
            msgspec.json.decode(answer.body, type=FeederAhead), FeederAhead("front-1")
        )
        self.core.on_target(make_target("i-ffff", revision=901), 1.0)
        self.assertEqual(len(self.ask(registry=900).registry.targets), 1)

    def test_how_much_may_be_told_follows_from_the_link(self):
        settings = decode_settings(json.dumps(GOOD | {"link_mbps": 10}).encode())
        feeder = ZoneFeeder(settings, self.core, self.feeds, self.neighbours, None)
        self.assertAlmostEqual(feeder._whole_targets, 520, delta=1)

    def test_of_a_new_configuration_the_change_is_told(self):
        self.feed()
        self.core.on_configuration(make_configuration(7, 9, ports=(443,)), 1.0)
        change = self.ask().config_change
        self.assertEqual((change.version, change.removed_routes), (9, ("r8080",)))
        self.assertIsNone(self.ask(config=7, registry=1).config_change)

    def test_without_told_changes_only_the_revision_is_told(self):
        self.member = self.make_member(self.core, mechanisms={"told_changes": False})
        self.feed()
        self.core.on_configuration(make_configuration(7, 9, ports=(443,)), 1.0)
        news = self.ask()
        self.assertEqual((news.config_revision, news.config_change), (7, None))

    def test_only_a_feeder_that_is_asked_keeps_a_short_watch(self):
        feed = self.feeds[FeedKind.REGISTRY]
        self.feed()
        self.assertIsNone(feed.wait_s)
        self.ask(config=0)
        self.assertEqual(feed.wait_s, self.member._freshness.feeding_wait_s)
        with patch.object(feeding, "UNASKED_S", 0.0):
            self.member.feeder.begin()
        self.assertIsNone(feed.wait_s)
        self.assertIsNone(self.feeds[FeedKind.CONFIGURATION].wait_s)

    def test_a_question_without_news_waits_for_them(self):
        self.feed()
        asked = gevent.spawn(self.ask)
        gevent.sleep(0)
        self.assertFalse(asked.ready())
        self.core.on_target_removed("i-1", 30, 1.0)
        self.member.feeder.notify()
        news = asked.get(timeout=TIMEOUT_S)
        self.assertEqual([r.name for r in news.registry.removed], ["i-1"])

    def test_a_planned_stop_turns_those_away_who_wait(self):
        self.feed()
        asked = gevent.spawn(self.member.feeder.answer, "from=a&config=1&registry=10")
        gevent.sleep(0)
        self.member.stop()
        self.assertEqual(asked.get(timeout=TIMEOUT_S).status, 404)
        self.member.feeder.begin()
        self.assertFalse(self.member.feeder.feeding)


class TestSeenInTheZone(ZoneCase):
    """What instances have seen of targets that fail goes through their feeder."""

    def report(self, failed, total=40.0, born_ms=0):
        counts = TargetCounts("i-1", born_ms, 1.0, failed, 0.0, fresh=1)
        return FitnessReport([counts], [ServiceCounts("notes", total, failed)])

    def ask(self, failed=None, asker="10.0.0.2:1"):
        seen = FitnessReport([], []) if failed is None else self.report(failed)
        question = ZoneQuestion(asker, 0, 1, seen)
        answer = self.member.feeder.answer(question.query)
        return msgspec.json.decode(answer.body, type=ZoneNews).seen

    def test_the_words_of_all_are_added_up(self):
        self.feed()
        self.ask(3.0)
        together = self.ask(2.0, "10.0.0.3:1")
        (told,) = together.targets
        self.assertEqual((told.failed, told.instances), (5.0, 2))
        self.assertEqual(together.instances, 3)
        self.assertEqual(together.services[0].total, 80.0)

    def test_the_newest_word_of_an_instance_replaces_the_former(self):
        self.feed()
        self.ask(3.0)
        self.assertEqual(self.ask(1.0).targets[0].failed, 1.0)
        self.assertEqual(self.ask().targets, [])

    def test_the_word_of_one_that_fell_silent_counts_no_more(self):
        self.feed()
        self.ask(3.0)
        with patch.object(feeding, "TOLD_S", -1.0):
            self.assertEqual(self.ask(2.0, "10.0.0.3:1").targets, [])

    def test_a_new_verdict_is_told_at_once(self):
        self.feed()
        waiting = gevent.spawn(self.member.feeder.answer, "from=a&config=1&registry=10")
        gevent.sleep(0)
        question = ZoneQuestion("10.0.0.2:1", 0, 0, self.report(1.0, 400.0))
        self.member.feeder.note_seen(question.query)
        gevent.sleep(0)
        self.assertFalse(waiting.ready())
        question = ZoneQuestion("10.0.0.2:1", 0, 0, self.report(9.0, 400.0))
        self.assertEqual(self.member.feeder.note_seen(question.query).status, 200)
        news = waiting.get(timeout=TIMEOUT_S)
        seen = msgspec.json.decode(news.body, type=ZoneNews).seen
        self.assertEqual(seen.targets[0].failed, 9.0)

    def test_a_new_doubt_is_told_to_the_feeder_between_questions(self):
        asked = []

        def answer(path, query):
            asked.append((path, ZoneQuestion.read(query)))
            return Response(200)

        self.core.fitness.take_told(self.report(5.0), steady_now_s())
        self.core.registry.get("i-1").requests.failed = 5.0
        self.core.registry.get("i-1").requests.at_s = steady_now_s()
        with http_server("127.0.0.1:0", answer) as address:
            self.member.fed = True
            self.member._feeder_address = address
            for _ in range(3):
                self.member.tell_seen()
            with gevent.Timeout(TIMEOUT_S):
                while not asked:
                    gevent.sleep(0.001)
        ((path, question),) = asked
        self.assertEqual(path, SEEN_PATH)
        self.assertEqual([told.name for told in question.seen.targets], ["i-1"])

    def test_without_a_doubt_nothing_is_told(self):
        self.member.fed = True
        self.member._feeder_address = "127.0.0.1:1"
        self.member.tell_seen()
        self.assertEqual(self.member._seen_told_s, float("-inf"))

    def test_one_that_does_not_feed_takes_no_word(self):
        question = ZoneQuestion("10.0.0.2:1", 0, 0, self.report(9.0))
        self.assertEqual(self.member.feeder.note_seen(question.query).status, 404)

    def test_a_question_of_the_build_before_has_seen_nothing(self):
        question = ZoneQuestion.read("from=a&config=1&registry=10")
        self.assertEqual(question.seen, FitnessReport([], []))

    def test_words_that_cannot_be_read_are_none(self):
        for seen in ("", "zz", "00", b'{"targets":3}'.hex()):
            question = ZoneQuestion.read(f"from=a&config=1&registry=10&seen={seen}")
            self.assertEqual(question.seen, FitnessReport([], []))

    def test_impossible_words_count_for_nothing(self):
        self.feed()
        for failed in (-5.0, 1e300):
            self.assertEqual(self.ask(failed).targets, [])
        self.core.fitness.take_told(self.report(-1.0, -5.0), steady_now_s())
        self.core.tick(steady_now_s())

    def test_an_answer_of_the_build_before_tells_nothing_seen(self):
        news = msgspec.to_builtins(ZoneNews("f", 1, None, NOTHING, 0.1, 0.1))
        del news["seen"]
        read = msgspec.convert(news, ZoneNews)
        self.assertEqual(read.seen, FitnessReport([], []))


class TestBeingFed(ZoneCase):
    """The answers are those of one feeder; the last one ends the following."""

    def follow(self, *answers, then=None, after_s=0.0):
        given = list(answers)
        last = Response(404) if then is None else then

        def answer(_path, _query):
            gevent.sleep(after_s)
            return given.pop(0) if given else last

        with http_server("127.0.0.1:0", answer) as address:
            with gevent.Timeout(TIMEOUT_S):
                self.member._follow(address)
            return address

    def news(
        self,
        config=1,
        registry=NOTHING,
        heard_before_s=0.1,
        registry_s=3.0,
        change=None,
    ):
        told = (config, change, registry, heard_before_s, registry_s)
        news = ZoneNews("front-9", *told)
        return Response(200, msgspec.json.encode(news), "application/json")

    def reasons(self):
        self.member._log.flush()
        lines = [json.loads(line) for line in b"".join(self.lines).splitlines()]
        return [line["reason"] for line in lines if line["event"] == "feeder_left"]

    def events(self):
        self.member._log.flush()
        lines = b"".join(self.lines).splitlines()
        return [json.loads(line)["event"] for line in lines]

    def done(self, kind):
        return self.feeds[kind].done

    def test_the_store_is_not_followed_meanwhile_and_afterwards_from_here(self):
        late = make_target("i-2", revision=40, created=40)
        change = RegistryNews([late], [], False, 44)
        self.follow(self.news(), self.news(registry=change))
        self.assertEqual(self.done(FeedKind.REGISTRY), ["suspend", "resume 44"])
        self.assertIs(self.core.registry.get("i-2").state, TargetState.READY)
        self.assertEqual(self.member._lost(), [])

    def test_the_registry_is_as_old_as_the_feeders_registry(self):
        self.follow(self.news(), self.news(heard_before_s=0.2, registry_s=3.0))
        now_s = steady_now_s()
        ages_s = {kind: now_s - feed.heard_s for kind, feed in self.feeds.items()}
        self.assertGreaterEqual(ages_s[FeedKind.REGISTRY], 3.0)
        self.assertLess(ages_s[FeedKind.CONFIGURATION], 3.0)

    def test_a_feeder_that_the_store_does_not_answer_is_left(self):
        stale_s = self.member._freshness.feeder_silent_s + 0.1
        self.follow(self.news(), self.news(heard_before_s=stale_s), self.news())
        self.assertEqual(self.reasons(), ["store silent there for 1.7 s"])
        self.assertEqual(self.member._lost(), [])

    def test_those_who_feed_or_are_fed_are_neighbours(self):
        address = self.follow(self.news())
        self.feed()
        self.member.feeder.answer("from=10.0.0.9:1&config=0&registry=1")
        later_s = steady_now_s() + 5.0
        self.assertEqual(self.neighbours.lost(later_s), [address, "10.0.0.9:1"])

    def test_one_that_had_a_long_watch_is_asked_again(self):
        stale = self.news(heard_before_s=9.0)
        address = self.follow(stale, stale, self.news(), self.news())
        self.assertEqual(self.done(FeedKind.REGISTRY), ["suspend", "resume 10"])
        self.assertNotIn(address, self.member._lost())

    def test_one_that_stays_stale_is_asked_now_and_then(self):
        """It has a newer configuration, so that it answers each question at once."""
        asked = []

        def answer(_path, query):
            asked.append(query)
            return self.news(config=7, heard_before_s=9.0)

        limit = gevent.Timeout(TIMEOUT_S)
        with http_server("127.0.0.1:0", answer) as address, limit:
            self.member._follow(address)
        limits = self.member._freshness
        asked_for_s = limits.feeding_wait_s + ANSWER_SLACK_S
        self.assertLessEqual(len(asked), asked_for_s / zone.ASK_AGAIN_S + 2)

    def test_one_that_stays_stale_is_not_followed(self):
        address = self.follow(then=self.news(heard_before_s=9.0), after_s=0.1)
        self.assertEqual(self.done(FeedKind.REGISTRY), [])
        self.assertEqual(self.member._lost(), [address])

    def test_a_new_configuration_is_read_from_the_store(self):
        self.follow(self.news(), self.news(config=7))
        expected = ["suspend", "list", "resume 1"]
        self.assertEqual(self.done(FeedKind.CONFIGURATION), expected)

    def test_a_change_that_is_told_needs_no_store(self):
        known = self.core.routes.configuration
        newer = make_configuration(revision=7, version=9, ports=(443,))
        told = self.news(config=7, change=change_between(known, newer))
        self.follow(self.news(), told)
        self.assertEqual(self.done(FeedKind.CONFIGURATION), ["suspend", "resume 7"])
        self.assertEqual(self.core.routes.configuration, newer)

    def test_one_that_starts_from_another_version_is_read_from_the_store(self):
        older = make_configuration(revision=0, version=1)
        newer = make_configuration(revision=7, version=9)
        told = self.news(config=7, change=change_between(older, newer))
        self.follow(self.news(), told)
        expected = ["suspend", "list", "resume 1"]
        self.assertEqual(self.done(FeedKind.CONFIGURATION), expected)
        self.assertIn("change_unfit", self.events())

    def test_a_configuration_that_was_not_there_yet_is_read_again(self):
        self.follow(self.news(), self.news(config=7), self.news(config=7))
        self.assertEqual(self.done(FeedKind.CONFIGURATION).count("list"), 2)

    def test_without_the_store_no_feeder_is_followed(self):
        self.feeds[FeedKind.REGISTRY].settled = False
        self.follow(self.news(), self.news())
        self.assertEqual(self.done(FeedKind.CONFIGURATION), [])

    def test_one_that_does_not_answer_counts_as_lost(self):
        def silent(_path, _query):
            gevent.sleep(TIMEOUT_S)
            return Response(404)

        slack = patch.object(zone, "POLL_WAIT_S", 0.1)
        with slack, http_server("127.0.0.1:0", silent) as address:
            self.member._follow(address)
        self.assertEqual(self.member._lost(), [address])

    def test_one_that_is_ahead_is_followed_later(self):
        ahead = Response(200, msgspec.json.encode(FeederAhead("f")), "application/json")
        self.follow(ahead)
        self.assertEqual(self.reasons(), ["it cannot tell what changed"])
        self.assertEqual((self.member._full(), self.member._lost()), ([], []))

    def test_one_that_is_full_is_remembered_but_not_lost(self):
        full = Response(200, msgspec.json.encode(FeederFull("f")), "application/json")
        address = self.follow(full)
        self.assertEqual(self.reasons(), ["it feeds as many as it can"])
        self.assertEqual(self.member._full(), [address])
        self.assertEqual(self.member._lost(), [])

    def test_one_that_cannot_be_read_counts_as_lost(self):
        address = self.follow(Response(200, b"[]", "application/json"))
        self.assertEqual(self.member._lost(), [address])

    def test_one_that_is_about_to_stop_is_not_lost(self):
        self.follow(self.news())
        self.assertEqual(self.reasons(), ["it does not feed"])
        self.assertEqual(self.member._lost(), [])


class TestLostHolders(ZoneCase):
    """Several feeders are lost at once; this instance was fed by one of them."""

    def setUp(self):
        super().setUp()
        zone_name = self.member._settings.zone
        self.names = [f"{zone_name}.0", f"{zone_name}.1"]

    def look(self, *holders, lost=()):
        """Greet the holders of claims; return whom the member takes for lost."""
        for address in lost:
            self.member._lost_s[address] = steady_now_s()
        claims = [
            FeederClaim(name, holder, 5)
            for name, holder in zip(self.names, holders, strict=True)
        ]
        with gevent.Timeout(TIMEOUT_S):
            self.member._greet_holders(claims)
        return self.member._lost()

    def test_a_place_whose_holder_nobody_follows_is_found(self):
        with http_server("127.0.0.1:0", lambda *_: Response(200)) as alive:
            lost = self.look(alive, "127.0.0.1:2", lost=["127.0.0.1:3"])
        self.assertEqual(lost, ["127.0.0.1:3", "127.0.0.1:2"])

    def test_one_that_is_about_to_stop_is_not_lost(self):
        with http_server("127.0.0.1:0", lambda *_: Response(503)) as stopping:
            lost = self.look(stopping, stopping, lost=["127.0.0.1:3"])
        self.assertEqual(lost, ["127.0.0.1:3"])

    def test_nobody_is_greeted_while_none_was_lost(self):
        self.assertEqual(self.look("127.0.0.1:2", "127.0.0.1:2"), [])

    def test_feeders_of_other_zones_and_itself_are_not_greeted(self):
        self.names = ["other.0", f"{self.member._settings.zone}.1"]
        own = self.member._settings.reached_at
        self.assertEqual(self.look("127.0.0.1:2", own, lost=["x:1"]), ["x:1"])


class TestConfigurationOfFed(ZoneCase):
    def test_what_is_in_force_is_what_is_asked_beyond(self):
        self.core.on_configuration(make_configuration(revision=9, version=9), 1.0)
        asked = []

        def answer(_path, query):
            asked.append(query)
            return Response(404)

        with http_server("127.0.0.1:0", answer) as address:
            self.member._follow(address)
        self.assertEqual(asked, ["from=127.0.0.1:1&config=9&registry=10"])


if __name__ == "__main__":
    unittest.main()
