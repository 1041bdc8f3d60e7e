import json
import unittest
from unittest.mock import patch

import gevent
import msgspec

from endivepick.clock import steady_now_s
from endivepick.forwarder import zone_feeder
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
    MAX_COUNT,
    ServiceCounts,
    SilentTarget,
    TargetCounts,
    sanitize_report,
)
from endivepick.forwarding.tests.support import (
    make_configuration,
    make_target,
)


class TestFeeding(ZoneCase):
    def ask(self, config=1, registry=10, asker="10.0.0.2:1"):
        response = self.member.feeder.answer_poll(
            f"from={asker}&config={config}&registry={registry}"
        )
        self.assertEqual(response.status, 200)
        return msgspec.json.decode(response.body, type=ZoneNews)

    def test_poll_of_an_instance_that_does_not_feed(self):
        query = "from=a&config=1&registry=1"
        self.assertEqual(self.member.feeder.answer_poll(query).status, 404)

    def test_invalid_poll_is_refused(self):
        self.feed()
        for query in (
            "",
            "from=a&config=1",
            "from=a&config=x&registry=1",
            "config=1&registry=1",
        ):
            self.assertEqual(self.member.feeder.answer_poll(query).status, 404)

    def test_an_asker_without_an_address_is_no_successor(self):
        self.feed()
        for asker in ("nobody", "10.0.0.2:70000", "10.0.0.2:" + "9" * 5000):
            self.member.feeder.answer_poll(f"from={asker}&config=0&registry=0&wait=0")
            with self.subTest(asker[:20]):
                self.assertEqual(self.member.feeder.choose_successor(), "")

    def test_newer_state_is_answered_at_once(self):
        self.feed()
        self.core.on_target(make_target("i-2", revision=20, created=20), 1.0)
        news = self.ask()
        self.assertEqual([t.name for t in news.registry.targets], ["i-2"])
        self.assertLess(news.heard_before_s, 1.0)

    def test_instances_above_the_limit_are_refused(self):
        self.feed()
        most = self.member._settings.fed_most
        for number in range(most):
            self.ask(registry=1, asker=f"10.0.0.{number}:1")
        query = "from=10.0.1.1:1&config=1&registry=1"
        answer = self.member.feeder.answer_poll(query)
        self.assertEqual(
            msgspec.json.decode(answer.body, type=FeederFull), FeederFull("front-1")
        )
        self.ask(registry=1, asker="10.0.0.1:1")

    def test_large_registry_is_not_sent_in_full(self):
        self.feed()
        for number in range(2, 400):
            target = make_target(f"i-{number:x}", revision=20 + number)
            self.core.on_target(target, 1.0)
        self.core.on_target_list([b.target for b in self.core.registry], 900, 1.0)
        self.assertTrue(self.ask(registry=899).registry.whole)
        self.member.feeder._max_full_targets = 300
        query = "from=a&config=1&registry=899"
        answer = self.member.feeder.answer_poll(query)
        self.assertEqual(
            msgspec.json.decode(answer.body, type=FeederAhead), FeederAhead("front-1")
        )
        self.core.on_target(make_target("i-ffff", revision=901), 1.0)
        self.assertEqual(len(self.ask(registry=900).registry.targets), 1)

    def test_full_registry_limit_follows_from_the_link(self):
        settings = decode_settings(
            json.dumps(GOOD | {"link_mbps": 10, "fed_most": 24}).encode()
        )
        feeder = ZoneFeeder(settings, self.core, self.feeds, self.neighbours, None)
        self.assertAlmostEqual(feeder._max_full_targets, 520, delta=1)

    def test_new_configuration_is_sent_as_a_delta(self):
        self.feed()
        self.core.on_configuration(make_configuration(7, 9, ports=(443,)), 1.0)
        change = self.ask().config_change
        self.assertEqual((change.version, change.removed_routes), (9, ("r8080",)))
        self.assertIsNone(self.ask(config=7, registry=1).config_change)

    def test_only_the_revision_is_sent_without_told_changes(self):
        self.member = self.make_member(self.core, mechanisms={"told_changes": False})
        self.feed()
        self.core.on_configuration(make_configuration(7, 9, ports=(443,)), 1.0)
        news = self.ask()
        self.assertEqual((news.config_revision, news.config_change), (7, None))

    def test_only_a_polled_feeder_holds_short_watches(self):
        feed = self.feeds[FeedKind.REGISTRY]
        self.feed()
        self.assertIsNone(feed.wait_s)
        self.ask(config=0)
        self.assertEqual(feed.wait_s, self.member.follower._freshness.feeding_wait_s)
        with patch.object(zone_feeder, "REQUEST_IDLE_S", 0.0):
            self.member.feeder.start_feeding()
        self.assertIsNone(feed.wait_s)
        self.assertIsNone(self.feeds[FeedKind.CONFIGURATION].wait_s)

    def test_poll_waits_for_news(self):
        self.feed()
        asked = gevent.spawn(self.ask)
        gevent.sleep(0)
        self.assertFalse(asked.ready())
        self.core.on_target_removed("i-1", 30, 1.0)
        self.member.feeder.wake_polls()
        news = asked.get(timeout=TIMEOUT_S)
        self.assertEqual([r.name for r in news.registry.removed], ["i-1"])

    def test_planned_stop_refuses_pending_polls(self):
        self.feed()
        asked = gevent.spawn(
            self.member.feeder.answer_poll, "from=a&config=1&registry=10"
        )
        gevent.sleep(0)
        self.member.stop()
        self.assertEqual(asked.get(timeout=TIMEOUT_S).status, 404)
        self.member.feeder.start_feeding()
        self.assertFalse(self.member.feeder.feeding)


class TestZoneReports(ZoneCase):
    """Instances report failing targets to each other through their feeder."""

    def report(self, failed, total=40.0, born_ms=0):
        counts = TargetCounts("i-1", born_ms, 1.0, failed, 0.0, fresh=1)
        return FitnessReport([counts], [ServiceCounts("notes", total, failed)])

    def ask(self, failed=None, asker="10.0.0.2:1"):
        seen = FitnessReport([], []) if failed is None else self.report(failed)
        question = ZoneQuestion(asker, 0, 1, seen)
        answer = self.member.feeder.answer_poll(question.query)
        return msgspec.json.decode(answer.body, type=ZoneNews).seen

    def test_reports_of_all_instances_are_merged(self):
        self.feed()
        self.ask(3.0)
        merged = self.ask(2.0, "10.0.0.3:1")
        (told,) = merged.targets
        self.assertEqual((told.failed, told.instances), (5.0, 2))
        self.assertEqual(merged.instances, 3)
        self.assertEqual(merged.services[0].total, 80.0)

    def test_newer_report_replaces_the_former(self):
        self.feed()
        self.ask(3.0)
        self.assertEqual(self.ask(1.0).targets[0].failed, 1.0)
        self.assertEqual(self.ask().targets, [])

    def test_expired_report_is_ignored(self):
        self.feed()
        self.ask(3.0)
        with patch.object(zone_feeder, "REPORT_VALID_S", -1.0):
            self.assertEqual(self.ask(2.0, "10.0.0.3:1").targets, [])

    def test_new_outlier_is_reported_at_once(self):
        self.feed()
        waiting = gevent.spawn(
            self.member.feeder.answer_poll, "from=a&config=1&registry=10"
        )
        gevent.sleep(0)
        question = ZoneQuestion("10.0.0.2:1", 0, 0, self.report(1.0, 400.0))
        self.member.feeder.receive_report(question.query)
        gevent.sleep(0)
        self.assertFalse(waiting.ready())
        question = ZoneQuestion("10.0.0.2:1", 0, 0, self.report(9.0, 400.0))
        self.assertEqual(self.member.feeder.receive_report(question.query).status, 200)
        news = waiting.get(timeout=TIMEOUT_S)
        seen = msgspec.json.decode(news.body, type=ZoneNews).seen
        self.assertEqual(seen.targets[0].failed, 9.0)

    def test_silent_target_is_reported_at_once(self):
        self.feed()
        waiting = gevent.spawn(
            self.member.feeder.answer_poll, "from=a&config=1&registry=10"
        )
        gevent.sleep(0)
        silent = FitnessReport([], [], silent=[SilentTarget("i-1", 0)])
        question = ZoneQuestion("10.0.0.2:1", 0, 0, silent)
        self.assertEqual(self.member.feeder.receive_report(question.query).status, 200)
        news = waiting.get(timeout=TIMEOUT_S)
        seen = msgspec.json.decode(news.body, type=ZoneNews).seen
        self.assertEqual(seen.silent, silent.silent)

    def test_reports_with_impossible_numbers_are_left_out(self):
        # They would be sent to all followers of this instance.
        self.feed()
        for born_ms in (-1, 10**30, 10**400):
            counts = TargetCounts("i-1", born_ms, 0.0, 9.0, 0.0)
            report = FitnessReport([counts], [], silent=[SilentTarget("i-1", born_ms)])
            question = ZoneQuestion("10.0.0.2:1", 0, 0, report)
            with self.subTest(born_ms):
                self.member.feeder.receive_report(question.query)
                seen = self.ask(asker="10.0.0.3:1")
                self.assertEqual((seen.targets, seen.silent), ([], []))

    def test_news_with_impossible_reports(self):
        report = FitnessReport(
            [TargetCounts("i-1", 10**400, 0.0, 9.0, 0.0)],
            [],
            10**400,
            silent=[SilentTarget("i-1", 10**400)],
        )
        left = sanitize_report(report)
        self.assertEqual((left.targets, left.silent), ([], []))
        self.assertEqual(left.instances, MAX_COUNT)

    def test_new_suspicion_is_reported_between_polls(self):
        asked = []

        def answer(path, query):
            asked.append((path, ZoneQuestion.read(query)))
            return Response(200)

        self.core.outlier_detector.receive_zone_report(self.report(5.0), steady_now_s())
        self.core.registry.get("i-1").requests.failed = 5.0
        self.core.registry.get("i-1").requests.at_s = steady_now_s()
        with http_server("127.0.0.1:0", answer) as address:
            self.member.follower.feeder_address = address
            for _ in range(3):
                self.member.report_observations()
            with gevent.Timeout(TIMEOUT_S):
                while not asked:
                    gevent.sleep(0.001)
        ((path, question),) = asked
        self.assertEqual(path, SEEN_PATH)
        self.assertEqual([told.name for told in question.seen.targets], ["i-1"])

    def test_planned_stop_is_reported_at_once(self):
        asked = []

        def answer(path, query):
            asked.append((path, ZoneQuestion.read(query)))
            return Response(200)

        self.core.tick(steady_now_s() - 60.0)
        self.core.begin_stop()
        with http_server("127.0.0.1:0", answer) as address:
            self.member.follower.feeder_address = address
            self.member.stop()
            with gevent.Timeout(TIMEOUT_S):
                while not asked:
                    gevent.sleep(0.001)
        ((path, question),) = asked
        self.assertEqual(path, SEEN_PATH)
        self.assertEqual(question.seen.moving, 1)

    def test_feeder_merges_reports_at_a_limited_rate(self):
        self.feed()
        with (
            patch.object(self.core, "has_suspects", lambda _now_s: True),
            patch.object(self.member.feeder, "notify_new_outliers") as notify,
        ):
            for _ in range(5):
                self.member.report_observations()
        notify.assert_called_once()

    def test_nothing_is_reported_without_suspicion(self):
        self.member.follower.feeder_address = "127.0.0.1:1"
        self.member.report_observations()
        self.assertEqual(self.member._report_sent_s, float("-inf"))

    def test_report_to_an_instance_that_does_not_feed(self):
        question = ZoneQuestion("10.0.0.2:1", 0, 0, self.report(9.0))
        self.assertEqual(self.member.feeder.receive_report(question.query).status, 404)

    def test_poll_of_an_older_build_has_an_empty_report(self):
        question = ZoneQuestion.read("from=a&config=1&registry=10")
        self.assertEqual(question.seen, FitnessReport([], []))

    def test_unreadable_report_is_empty(self):
        for seen in ("", "zz", "00", b'{"targets":3}'.hex()):
            question = ZoneQuestion.read(f"from=a&config=1&registry=10&seen={seen}")
            self.assertEqual(question.seen, FitnessReport([], []))

    def test_impossible_counts_are_ignored(self):
        self.feed()
        for failed in (-5.0, 1e300):
            self.assertEqual(self.ask(failed).targets, [])
        self.core.outlier_detector.receive_zone_report(
            self.report(-1.0, -5.0), steady_now_s()
        )
        self.core.tick(steady_now_s())

    def test_answer_of_an_older_build_has_an_empty_report(self):
        news = msgspec.to_builtins(ZoneNews("f", 1, None, NOTHING, 0.1, 0.1))
        del news["seen"]
        read = msgspec.convert(news, ZoneNews)
        self.assertEqual(read.seen, FitnessReport([], []))


if __name__ == "__main__":
    unittest.main()
