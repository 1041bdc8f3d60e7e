import json
import unittest
from unittest.mock import patch

import gevent
import msgspec

from endivepick.clock import steady_now_s
from endivepick.forwarder import feeder_follower, followed_feeds, zone_member
from endivepick.forwarder.freshness import ANSWER_TIMEOUT_MARGIN_S
from endivepick.forwarder.http import Response, http_server
from endivepick.forwarder.ports import REQUIRED_KINDS, FeederClaim, FeedKind
from endivepick.forwarder.tests.zone_case import NOTHING, TIMEOUT_S, ZoneCase
from endivepick.forwarder.zone_messages import (
    FeederAhead,
    FeederFull,
    FeederMoved,
    ZoneNews,
)
from endivepick.forwarding import FitnessReport, RegistryNews, TargetState
from endivepick.forwarding.configuration_changes import compute_change
from endivepick.forwarding.tests.support import (
    make_configuration,
    make_target,
)


class TestFollowFeeder(ZoneCase):
    """A feeder gives the answers; the last one makes the member leave it."""

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

    def calls(self, kind):
        return self.feeds[kind].calls

    def test_feeds_are_suspended_and_resume_at_the_news_revision(self):
        late = make_target("i-2", revision=40, created=40)
        change = RegistryNews([late], [], False, 44)
        self.follow(self.news(), self.news(registry=change))
        self.assertEqual(self.calls(FeedKind.REGISTRY), ["suspend", "resume 44"])
        self.assertIs(self.core.registry.get("i-2").state, TargetState.READY)
        self.assertEqual(self.member._lost_feeders(), [])

    def test_registry_age_is_that_of_the_feeder(self):
        self.follow(self.news(), self.news(heard_before_s=0.2, registry_s=3.0))
        now_s = steady_now_s()
        ages_s = {kind: now_s - feed.last_answer_s for kind, feed in self.feeds.items()}
        self.assertGreaterEqual(ages_s[FeedKind.REGISTRY], 3.0)
        self.assertLess(ages_s[FeedKind.CONFIGURATION], 3.0)

    def follow_stale(self, store_answers):
        """Follow a feeder whose news turn stale and stay so; return its address."""
        stale_s = self.member.follower._freshness.feeder_silent_s + 0.1
        polls = []

        def answer(_path, _query):
            polls.append(steady_now_s())
            if len(polls) == 2 and store_answers:
                registry = self.feeds[FeedKind.REGISTRY]
                gevent.spawn_later(0.02, setattr, registry, "last_answer_s", 1e12)
            gevent.sleep(0.01)
            if len(polls) > 50:
                return Response(404)
            return self.news(heard_before_s=0.1 if len(polls) == 1 else stale_s)

        with (
            patch.object(followed_feeds, "FEEDER_RECOVERY_S", 0.1),
            http_server("127.0.0.1:0", answer) as address,
            gevent.Timeout(TIMEOUT_S),
        ):
            self.member._follow(address)
        return address

    def test_stale_feeder_is_left_if_the_store_answers_here(self):
        address = self.follow_stale(store_answers=True)
        self.assertEqual(self.reasons(), ["store silent there for 1.7 s"])
        self.assertEqual(self.member._lost_feeders(), [address])

    def test_store_is_called_at_the_first_stale_news(self):
        """All kinds are resumed, so changes are read as early as without the check."""
        stale_s = self.member.follower._freshness.feeder_silent_s + 0.1
        self.follow(self.news(), then=Response(404))
        for feed in self.feeds.values():
            feed.calls.clear()
        self.follow(self.news(), self.news(heard_before_s=stale_s))
        for kind in REQUIRED_KINDS:
            calls = self.calls(kind)
            self.assertEqual(len(calls), 2)
            self.assertEqual((calls[0], calls[1][-7:]), ("suspend", " silent"))

    def test_feeder_is_kept_while_the_store_answers_nobody(self):
        self.follow_stale(store_answers=False)
        self.assertEqual(self.reasons(), ["instance is no feeder"])
        self.assertEqual(self.member._lost_feeders(), [])

    def test_fresh_news_end_the_check(self):
        stale_s = self.member.follower._freshness.feeder_silent_s + 0.1
        self.follow(self.news(), self.news(heard_before_s=stale_s), self.news())
        expected = ["suspend", "resume 10 silent", "suspend", "resume 10"]
        self.assertEqual(self.calls(FeedKind.REGISTRY), expected)

    def test_feeders_and_fed_instances_are_neighbours(self):
        address = self.follow(self.news())
        self.feed()
        self.member.feeder.answer_poll("from=10.0.0.9:1&config=0&registry=1")
        later_s = steady_now_s() + 5.0
        self.assertEqual(self.neighbours.find_lost(later_s), [address, "10.0.0.9:1"])

    def test_feeder_with_a_long_watch_is_polled_again(self):
        stale = self.news(heard_before_s=9.0)
        address = self.follow(stale, stale, self.news(), self.news())
        self.assertEqual(self.calls(FeedKind.REGISTRY), ["suspend", "resume 10"])
        self.assertNotIn(address, self.member._lost_feeders())

    def test_stale_feeder_is_polled_at_a_limited_rate(self):
        """The feeder has a newer configuration, so it answers each poll at once."""
        asked = []

        def answer(_path, query):
            asked.append(query)
            return self.news(config=7, heard_before_s=9.0)

        limit = gevent.Timeout(TIMEOUT_S)
        with http_server("127.0.0.1:0", answer) as address, limit:
            self.member._follow(address)
        limits = self.member.follower._freshness
        asked_for_s = limits.feeding_wait_s + ANSWER_TIMEOUT_MARGIN_S
        self.assertLessEqual(
            len(asked), asked_for_s / feeder_follower.POLL_RETRY_DELAY_S + 2
        )

    def test_feeder_that_stays_stale_is_not_followed(self):
        address = self.follow(then=self.news(heard_before_s=9.0), after_s=0.1)
        self.assertEqual(self.calls(FeedKind.REGISTRY), [])
        self.assertEqual(self.member._lost_feeders(), [address])

    def test_a_new_configuration_is_read_from_the_store(self):
        self.follow(self.news(), self.news(config=7))
        expected = ["suspend", "list", "resume 1"]
        self.assertEqual(self.calls(FeedKind.CONFIGURATION), expected)

    def test_delta_is_applied_without_the_store(self):
        known = self.core.routes.configuration
        newer = make_configuration(revision=7, version=9, ports=(443,))
        told = self.news(config=7, change=compute_change(known, newer))
        self.follow(self.news(), told)
        self.assertEqual(self.calls(FeedKind.CONFIGURATION), ["suspend", "resume 7"])
        self.assertEqual(self.core.routes.configuration, newer)

    def test_delta_from_another_version_is_read_from_the_store(self):
        older = make_configuration(revision=0, version=1)
        newer = make_configuration(revision=7, version=9)
        told = self.news(config=7, change=compute_change(older, newer))
        self.follow(self.news(), told)
        expected = ["suspend", "list", "resume 1"]
        self.assertEqual(self.calls(FeedKind.CONFIGURATION), expected)
        self.assertIn("change_unfit", self.events())

    def test_configuration_not_yet_in_the_store_is_read_again(self):
        self.follow(self.news(), self.news(config=7), self.news(config=7))
        self.assertEqual(self.calls(FeedKind.CONFIGURATION).count("list"), 2)

    def test_no_feeder_is_followed_without_the_store(self):
        self.feeds[FeedKind.REGISTRY].settled = False
        self.follow(self.news(), self.news())
        self.assertEqual(self.calls(FeedKind.CONFIGURATION), [])

    def test_feeder_that_does_not_answer_is_lost(self):
        def silent(_path, _query):
            gevent.sleep(TIMEOUT_S)
            return Response(404)

        slack = patch.object(feeder_follower, "POLL_WAIT_S", 0.1)
        with slack, http_server("127.0.0.1:0", silent) as address:
            self.member._follow(address)
        self.assertEqual(self.member._lost_feeders(), [address])

    def test_feeder_that_is_ahead_is_neither_full_nor_lost(self):
        ahead = Response(200, msgspec.json.encode(FeederAhead("f")), "application/json")
        self.follow(ahead)
        self.assertEqual(self.reasons(), ["feeder cannot send the changes"])
        self.assertEqual(
            (self.member._full_feeders(), self.member._lost_feeders()), ([], [])
        )

    def test_full_feeder_is_not_lost(self):
        full = Response(200, msgspec.json.encode(FeederFull("f")), "application/json")
        address = self.follow(full)
        self.assertEqual(self.reasons(), ["feeder has reached its limit of instances"])
        self.assertEqual(self.member._full_feeders(), [address])
        self.assertEqual(self.member._lost_feeders(), [])

    def test_feeder_with_a_successor_that_has_no_address_is_lost(self):
        for successor in ("nobody", "10.0.0.2:70000", "10.0.0.2:" + "9" * 5000):
            moved = msgspec.json.encode(FeederMoved("f", successor))
            with self.subTest(successor[:20]):
                address = self.follow(Response(200, moved, "application/json"))
                self.assertEqual(
                    self.reasons()[-1], "feeder named no address of a successor"
                )
                self.assertIn(address, self.member._lost_feeders())

    def test_feeder_with_unreadable_answer_is_lost(self):
        address = self.follow(Response(200, b"[]", "application/json"))
        self.assertEqual(self.member._lost_feeders(), [address])

    def test_stopping_feeder_is_not_lost(self):
        self.follow(self.news())
        self.assertEqual(self.reasons(), ["instance is no feeder"])
        self.assertEqual(self.member._lost_feeders(), [])


class TestInitialClaims(ZoneCase):
    """Hundreds of instances start at once, so that each call of the store counts."""

    def read_at_start(self, *claims):
        """Return the number of reads before the first step, and the feeder."""
        reads, followed = [], []

        def read(_store):
            reads.append(claims)
            return claims

        def follow(holder):
            followed.append(holder)
            self.member._stopping = True

        self.core.on_configuration(make_configuration(revision=9, version=9), 1.0)
        with (
            patch.object(zone_member, "_sleep", lambda _bounds_s: gevent.sleep(0)),
            patch.object(self.member, "_read_claims", read),
            patch.object(self.member, "_follow", follow),
            patch.object(self.member, "_write_claim", lambda *_: follow("")),
            gevent.Timeout(TIMEOUT_S),
        ):
            self.member.run()
        return len(reads), followed

    def test_claims_are_read_once_if_a_feeder_exists(self):
        place = FeederClaim(self.member._claim_names[0], "127.0.0.1:2", 5)
        self.assertEqual(self.read_at_start(place), (1, ["127.0.0.1:2"]))

    def test_claims_are_read_again_after_a_wait_for_the_store(self):
        place = FeederClaim(self.member._claim_names[0], "127.0.0.1:2", 5)
        feed = self.feeds[FeedKind.REGISTRY]
        feed.settled = False
        gevent.spawn_later(0.01, setattr, feed, "settled", True)
        self.assertEqual(self.read_at_start(place), (2, ["127.0.0.1:2"]))

    def test_claims_are_read_again_if_one_is_free(self):
        self.assertEqual(self.read_at_start(), (2, [""]))


class TestHandOver(ZoneCase):
    """A feeder that stops names its successor, so its followers need no store."""

    SUCCESSOR = "10.0.0.2:1"

    def setUp(self):
        super().setUp()
        self.pauses = []

    def ask(self, asker=SUCCESSOR, query="&wait=1"):
        return gevent.spawn(
            self.member.feeder.answer_poll,
            f"from={asker}&config=1&registry=10{query}",
        )

    def stop(self, written=True):
        """Stop the feeder; return the claims that it tried to write."""
        claims = []

        def write(claim, successor):
            claims.append((claim, successor))
            return written

        self.member._claim = FeederClaim(self.member._claim_names[0], "own", 7)
        with patch.object(self.member, "_pass_claim", write):
            self.member.stop()
            gevent.sleep(0)
        return claims

    def moved(self, asked):
        answer = asked.get(timeout=TIMEOUT_S)
        return msgspec.json.decode(answer.body, type=FeederMoved).successor

    def test_pending_polls_name_the_successor(self):
        self.feed()
        asked = self.ask()
        older = self.ask("10.0.0.3:1", query="")
        gevent.sleep(0)
        self.assertEqual(len(self.stop()), 1)
        self.assertEqual(self.moved(asked), self.SUCCESSOR)
        self.assertEqual(self.moved(self.ask("10.0.0.4:1")), self.SUCCESSOR)
        self.assertEqual(older.get(timeout=TIMEOUT_S).status, 404)

    def test_claim_that_another_instance_replaced_is_not_passed_on(self):
        self.feed()
        asked = self.ask()
        gevent.sleep(0)
        self.stop(written=False)
        self.assertEqual(asked.get(timeout=TIMEOUT_S).status, 404)

    def test_instance_without_followers_passes_nothing_on(self):
        self.feed()
        self.assertEqual(self.stop(), [])
        self.assertFalse(self.member.feeder.feeding)

    def test_follower_of_an_older_build_is_no_successor(self):
        self.feed()
        self.ask(query="")
        gevent.sleep(0)
        self.assertEqual(self.stop(), [])

    def follow_moved(self, successor):
        """Follow a feeder that names a successor with its second answer."""
        news = ZoneNews("front-9", 1, None, NOTHING, 0.1, 0.1)
        answers = [news, FeederMoved("front-9", successor)]

        def answer(_path, _query):
            body = msgspec.json.encode(answers.pop(0))
            return Response(200, body, "application/json")

        limit = gevent.Timeout(TIMEOUT_S)
        waits = patch.object(zone_member, "_sleep", self.pauses.append)
        with http_server("127.0.0.1:0", answer) as address, limit, waits:
            self.member._follow(address)

    def test_successor_starts_feeding(self):
        self.follow_moved(self.member._settings.advertised_address)
        self.assertTrue(self.member.feeder.feeding)
        self.assertEqual(self.pauses, [zone_member.ROLE_CHECK_DELAY_S])
        calls = self.feeds[FeedKind.REGISTRY].calls
        self.assertEqual(calls, ["suspend", "resume 10"])

    def test_others_follow_the_successor_without_the_store(self):
        polls = []

        def answer(_path, _query):
            polls.append(list(self.feeds[FeedKind.REGISTRY].calls))
            if len(polls) > 3:
                return Response(404)
            news = ZoneNews("front-8", 1, None, NOTHING, 0.1, 0.1)
            return Response(200, msgspec.json.encode(news), "application/json")

        with http_server("127.0.0.1:0", answer) as successor:
            self.follow_moved(successor)
        self.assertEqual(polls[:3], [["suspend"]] * 3)
        self.assertFalse(self.member.feeder.feeding)


class TestLostHolders(ZoneCase):
    """Several feeders are lost at once; this instance followed one of them."""

    def setUp(self):
        super().setUp()
        zone_name = self.member._settings.zone
        self.names = [f"{zone_name}.0", f"{zone_name}.1"]

    def find_lost_holders(self, *holders, lost=()):
        """Check the holders of claims; return the feeders considered lost."""
        for address in lost:
            self.member._lost_at_s[address] = steady_now_s()
        claims = [
            FeederClaim(name, holder, 5)
            for name, holder in zip(self.names, holders, strict=True)
        ]
        with gevent.Timeout(TIMEOUT_S):
            self.member._check_holders(claims)
        return self.member._lost_feeders()

    def test_lost_holder_without_followers_is_detected(self):
        with http_server("127.0.0.1:0", lambda *_: Response(200)) as alive:
            lost = self.find_lost_holders(alive, "127.0.0.1:2", lost=["127.0.0.1:3"])
        self.assertEqual(lost, ["127.0.0.1:3", "127.0.0.1:2"])

    def test_stopping_feeder_is_not_lost(self):
        with http_server("127.0.0.1:0", lambda *_: Response(503)) as stopping:
            lost = self.find_lost_holders(stopping, stopping, lost=["127.0.0.1:3"])
        self.assertEqual(lost, ["127.0.0.1:3"])

    def test_holders_are_not_checked_unless_one_was_lost(self):
        self.assertEqual(self.find_lost_holders("127.0.0.1:2", "127.0.0.1:2"), [])

    def test_own_claim_and_other_zones_are_not_checked(self):
        self.names = ["other.0", f"{self.member._settings.zone}.1"]
        own = self.member._settings.advertised_address
        self.assertEqual(
            self.find_lost_holders("127.0.0.1:2", own, lost=["x:1"]), ["x:1"]
        )


class TestConfigurationOfFollower(ZoneCase):
    def test_poll_contains_the_revision_in_force(self):
        self.core.on_configuration(make_configuration(revision=9, version=9), 1.0)
        asked = []

        def answer(_path, query):
            asked.append(query)
            return Response(404)

        with http_server("127.0.0.1:0", answer) as address:
            self.member._follow(address)
        (query,) = asked
        query, _, seen = query.partition("&seen=")
        self.assertEqual(query, "from=127.0.0.1:1&config=9&registry=10&wait=0")
        # An instance that has just started reports only that.
        report = msgspec.json.decode(bytes.fromhex(seen), type=FitnessReport)
        self.assertEqual(report, FitnessReport([], [], moving=1))


if __name__ == "__main__":
    unittest.main()
