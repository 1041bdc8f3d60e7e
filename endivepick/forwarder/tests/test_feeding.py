import json
import unittest
from unittest.mock import patch

import gevent
import msgspec

from endivepick.clock import steady_now_s
from endivepick.forwarder.http import Response, http_server
from endivepick.forwarder.peers import SEEN_PATH
from endivepick.forwarder.ports import FeedKind
from endivepick.forwarder.settings import decode_settings
from endivepick.forwarder.tests.test_settings import GOOD
from endivepick.forwarder.tests.zone_case import NOTHING, TIMEOUT_S, ZoneCase
from endivepick.forwarder.zone_feeder import ZoneFeeder
from endivepick.forwarder.zone_messages import (
    FeederAhead,
    FeederFull,
    ZoneNews,
    ZoneQuestion,
)
from endivepick.forwarding import FitnessReport
from endivepick.forwarding.fitness_reports import (
    ServiceCounts,
    SilentTarget,
    TargetCounts,
)
from endivepick.forwarding.tests.support import (
    make_configuration,
    make_target,
)


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

    def test_a_target_that_fell_silent_is_told_at_once(self):
        self.feed()
        waiting = gevent.spawn(self.member.feeder.answer, "from=a&config=1&registry=10")
        gevent.sleep(0)
        silent = FitnessReport([], [], silent=[SilentTarget("i-1", 0)])
        question = ZoneQuestion("10.0.0.2:1", 0, 0, silent)
        self.assertEqual(self.member.feeder.note_seen(question.query).status, 200)
        news = waiting.get(timeout=TIMEOUT_S)
        seen = msgspec.json.decode(news.body, type=ZoneNews).seen
        self.assertEqual(seen.silent, silent.silent)

    def test_a_new_doubt_is_told_to_the_feeder_between_questions(self):
        asked = []

        def answer(path, query):
            asked.append((path, ZoneQuestion.read(query)))
            return Response(200)

        self.core.fitness.receive_zone_report(self.report(5.0), steady_now_s())
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
        self.core.fitness.receive_zone_report(self.report(-1.0, -5.0), steady_now_s())
        self.core.tick(steady_now_s())

    def test_an_answer_of_the_build_before_tells_nothing_seen(self):
        news = msgspec.to_builtins(ZoneNews("f", 1, None, NOTHING, 0.1, 0.1))
        del news["seen"]
        read = msgspec.convert(news, ZoneNews)
        self.assertEqual(read.seen, FitnessReport([], []))


if __name__ == "__main__":
    unittest.main()
