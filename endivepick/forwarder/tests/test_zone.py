import json
import unittest
from unittest.mock import patch

import gevent
import msgspec

from endivepick.clock import steady_now_s
from endivepick.forwarder.freshness import ANSWER_SLACK_S
from endivepick.forwarder.http import Response, http_server
from endivepick.forwarder.ports import FeederClaim, FeedKind
from endivepick.forwarder.tests.zone_case import NOTHING, TIMEOUT_S, ZoneCase
from endivepick.forwarder.zone_messages import (
    FeederAhead,
    FeederFull,
    ZoneNews,
)
from endivepick.forwarding import RegistryNews, TargetState
from endivepick.forwarding.configuration_changes import compute_change
from endivepick.forwarding.tests.support import (
    make_configuration,
    make_target,
)


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
        told = self.news(config=7, change=compute_change(known, newer))
        self.follow(self.news(), told)
        self.assertEqual(self.done(FeedKind.CONFIGURATION), ["suspend", "resume 7"])
        self.assertEqual(self.core.routes.configuration, newer)

    def test_one_that_starts_from_another_version_is_read_from_the_store(self):
        older = make_configuration(revision=0, version=1)
        newer = make_configuration(revision=7, version=9)
        told = self.news(config=7, change=compute_change(older, newer))
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


class TestFirstClaims(ZoneCase):
    """Hundreds of instances start at once; each call of the store counts."""

    def read_at_start(self, *claims):
        """Return how often the claims are read until the first step is taken."""
        reads, followed = [], []

        def read(_store):
            reads.append(claims)
            return claims

        def follow(holder):
            followed.append(holder)
            self.member._stopping = True

        self.core.on_configuration(make_configuration(revision=9, version=9), 1.0)
        with (
            patch.object(zone, "_sleep", lambda _bounds_s: gevent.sleep(0)),
            patch.object(self.member, "_claims", read),
            patch.object(self.member, "_follow", follow),
            patch.object(self.member, "_write", lambda *_: follow("")),
            gevent.Timeout(TIMEOUT_S),
        ):
            self.member.run()
        return len(reads), followed

    def test_they_are_read_once_where_a_feeder_is_there(self):
        place = FeederClaim(self.member._places[0], "127.0.0.1:2", 5)
        self.assertEqual(self.read_at_start(place), (1, ["127.0.0.1:2"]))

    def test_they_are_read_again_after_a_wait_for_the_store(self):
        place = FeederClaim(self.member._places[0], "127.0.0.1:2", 5)
        feed = self.feeds[FeedKind.REGISTRY]
        feed.settled = False
        gevent.spawn_later(0.01, setattr, feed, "settled", True)
        self.assertEqual(self.read_at_start(place), (2, ["127.0.0.1:2"]))

    def test_they_are_read_again_after_the_spread_where_a_place_is_free(self):
        self.assertEqual(self.read_at_start(), (2, [""]))


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
