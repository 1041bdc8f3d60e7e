import json
import random
import unittest
from contextlib import ExitStack, contextmanager

import gevent
import msgspec

from endivepick.clock import steady_now_s
from endivepick.forwarder import load_exchange
from endivepick.forwarder.freshness import POLL_WAIT_S
from endivepick.forwarder.http import Response, http_server
from endivepick.forwarder.load_exchange import FeederDirectory, LoadExchange
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.peers import LOAD_PATH
from endivepick.forwarder.ports import FeederClaim
from endivepick.forwarder.settings import decode_settings
from endivepick.forwarder.tests.test_settings import GOOD
from endivepick.forwarder.tests.zone_case import NOTHING, TIMEOUT_S, ZoneCase
from endivepick.forwarder.zone_messages import ZoneNews, ZoneQuestion
from endivepick.forwarding import ForwardingSettings
from endivepick.forwarding.flows import FlowTable
from endivepick.forwarding.load.reports import (
    MAX_REPORT_TARGETS,
    MAX_ZONE_TARGETS,
    LoadReport,
    ServiceLoad,
    TargetLoad,
    ZoneLoad,
    ZoneTotals,
)
from endivepick.forwarding.load.shared_load import (
    FEEDING_SETTLES_S,
    MERGE_PERIOD_S,
    SharedLoad,
)
from endivepick.forwarding.load.zone_sums import RELAYED_VALID_S
from endivepick.forwarding.registry import TargetRegistry
from endivepick.forwarding.tests.support import make_core, make_target

MAX_POLL_BYTES = 4096
CONTROL_BYTES_PER_S = 9000
"""What control may take of an instance's link."""


def make_full_load(targets):
    """Return a load of many targets and services with names of usual length."""
    rng = random.Random(1)

    def make_entry():
        born_ms = 1_764_800_000_000 + rng.randrange(10**9)
        busy = round(rng.random() * 9, 2)
        name = f"backend-{rng.randrange(16**8):08x}"
        return TargetLoad(name, born_ms, busy, rng.randrange(40))

    services = [
        ServiceLoad(f"service-{n}", zone, 1.23 * n, 45.67 + n, 0.89)
        for n in range(6)
        for zone in "abc"
    ]
    return LoadReport([make_entry() for _ in range(targets)], services)


def make_full_poll(targets):
    load = make_full_load(targets)
    return ZoneQuestion(FOLLOWER, 1, 1, load=load, load_number=1_764_800_000_000)


FOLLOWER = "10.0.0.2:1"


def make_load(busy=2.0, targets=1):
    return LoadReport(
        [TargetLoad(f"i-{n:x}", 0, busy, 3) for n in range(1, targets + 1)],
        [ServiceLoad("notes", "a", busy, 10.0, 1.0)],
    )


class TestPollsWithLoad(unittest.TestCase):
    def test_round_trip(self):
        poll = ZoneQuestion(FOLLOWER, 7, 9, load=make_load(), load_number=12)
        self.assertEqual(ZoneQuestion.read(poll.query), poll)

    def test_poll_of_the_former_build_has_no_load(self):
        poll = ZoneQuestion.read("from=a&config=1&registry=10&wait=1")
        self.assertEqual((poll.load, poll.load_number), (None, 0))

    def test_poll_without_load_is_that_of_the_former_build(self):
        query = ZoneQuestion(FOLLOWER, 7, 9, may_wait=True).query
        self.assertEqual(query, f"from={FOLLOWER}&config=7&registry=9&wait=1")

    def test_unreadable_load_is_left_out(self):
        for load in ("", "zz", "AAAA", "é", "=", "eJwDAAAAAAE="):
            query = f"from=a&config=1&registry=10&number=3&load={load}"
            poll = ZoneQuestion.read(query)
            self.assertEqual((poll.asker, poll.load), ("a", None))

    def test_load_that_expands_without_bound_is_left_out(self):
        huge = LoadReport(make_load(targets=1).targets * 100_000)
        poll = ZoneQuestion(FOLLOWER, 1, 1, load=huge, load_number=1)
        self.assertIsNone(ZoneQuestion.read(poll.query).load)

    def test_poll_with_many_targets_is_small(self):
        self.assertLess(len(make_full_poll(75).query), MAX_POLL_BYTES)
        poll = make_full_poll(MAX_REPORT_TARGETS)
        self.assertEqual(ZoneQuestion.read(poll.query), poll)

    def test_load_takes_a_part_of_what_control_may_take(self):
        """Polls and news together stay below the bytes that control may take."""
        poll = make_full_poll(MAX_REPORT_TARGETS)
        own = make_full_load(MAX_ZONE_TARGETS)
        others = [ZoneTotals(zone, 0.5, own.services) for zone in "bc"]
        load = ZoneLoad(own, others, unlisted_busy=0.5)
        news = ZoneNews("f", 1, None, NOTHING, 0.1, 0.1, load=load)
        sent_bytes = len(poll.query) + len(msgspec.json.encode(news))
        self.assertLess(sent_bytes / POLL_WAIT_S, CONTROL_BYTES_PER_S)

    def test_news_of_the_former_build_have_no_load(self):
        news = msgspec.to_builtins(ZoneNews("f", 1, None, NOTHING, 0.1, 0.1))
        del news["load"]
        self.assertIsNone(msgspec.convert(news, ZoneNews).load)

    def test_former_build_reads_news_with_load(self):
        former = msgspec.defstruct(
            "ZoneNews",
            [("feeder", str), ("config_revision", int)],
            frozen=True,
            tag=True,
        )
        load = ZoneLoad(make_load())
        news = ZoneNews("f", 1, None, NOTHING, 0.1, 0.1, load=load)
        read = msgspec.json.decode(msgspec.json.encode(news), type=former)
        self.assertEqual(read.feeder, "f")


class LoadCase(ZoneCase):
    """A feeder that shares load."""

    def setUp(self):
        super().setUp()
        self.core = make_core([make_target("i-1", revision=5)], shares_load=True)
        self.member = self.make_member(self.core)

    def feed(self):
        super().feed()
        self.settle(self.core.load)

    def settle(self, load):
        """Let a feeder have begun long enough ago to tell its load."""
        load._feeding_since_s = steady_now_s() - FEEDING_SETTLES_S

    def ask(self, load=None, number=1, asker=FOLLOWER):
        poll = ZoneQuestion(asker, 0, 1, load=load, load_number=number)
        answer = self.member.feeder.answer_poll(poll.query)
        self.assertEqual(answer.status, 200)
        return msgspec.json.decode(answer.body, type=ZoneNews)


class TestFeederWithLoad(LoadCase):
    def test_load_of_a_follower_arrives_in_the_news(self):
        self.feed()
        news = self.ask(make_load(2.0))
        self.assertEqual(news.load.own.targets, make_load(2.0).targets)
        self.assertEqual(news.load.own.instances, 2)

    def test_loads_of_all_followers_are_summed(self):
        self.feed()
        self.ask(make_load(2.0))
        self.core.load._merged_s = steady_now_s() - MERGE_PERIOD_S
        news = self.ask(make_load(1.0), asker="10.0.0.3:1")
        self.assertEqual(news.load.own.targets[0].busy, 3.0)

    def test_follower_of_the_former_build_is_not_counted(self):
        self.feed()
        self.assertIsNone(self.ask().load)
        self.assertEqual(self.ask(make_load(), 1, "10.0.0.3:1").load.own.instances, 2)

    def test_feeder_without_shared_load_ignores_reports(self):
        self.core = make_core([make_target("i-1", revision=5)])
        self.member = self.make_member(self.core)
        ZoneCase.feed(self)
        self.assertIsNone(self.ask(make_load()).load)
        self.assertIsNone(self.member.load_exchange)

    def test_news_about_many_targets_are_cut_to_the_link(self):
        self.member = self.make_member(self.core, link_mbps=5.0)
        self.feed()
        numbers = range(MAX_REPORT_TARGETS)
        many = [TargetLoad(f"i-{n:x}", 0, 1.0 + n, 1) for n in numbers]
        load = self.ask(LoadReport(many)).load
        self.assertLess(len(load.own.targets), MAX_ZONE_TARGETS)
        self.assertEqual(load.own.targets[0].busy, MAX_REPORT_TARGETS)
        self.assertEqual(load.unlisted_busy, load.own.targets[-1].busy - 1.0)

    def test_new_feeder_tells_nothing_until_its_followers_have_polled(self):
        ZoneCase.feed(self)
        self.core.load._feeding_since_s += TIMEOUT_S
        self.assertIsNone(self.ask(make_load()).load)
        self.settle(self.core.load)
        self.assertEqual(self.ask(make_load(), 2).load.own.instances, 2)

    def test_feeder_places_by_its_own_sums(self):
        self.feed()
        self.ask(make_load(2.0))
        now_s = steady_now_s()
        self.core.tick(now_s)
        belief = self.core.registry.get("i-1")
        self.assertGreater(self.core.load.view.target_load(belief, now_s), 2.0)
        self.member.feeder.end_feeding()
        self.core.tick(now_s + 10.0)
        self.assertIsNone(self.core.load.view.target_load(belief, now_s + 10.0))

    def test_instance_without_a_feeder_knows_no_load(self):
        now_s = steady_now_s()
        self.core.tick(now_s)
        belief = self.core.registry.get("i-1")
        self.assertIsNone(self.core.load.view.target_load(belief, now_s))


class TestFollowerWithLoad(LoadCase):
    def follow(self, news):
        """Follow a feeder that answers once; return the polls that it received."""
        polls, given = [], [news]

        def answer(_path, query):
            polls.append(ZoneQuestion.read(query))
            if not given:
                return Response(404)
            return Response(200, msgspec.json.encode(given.pop()))

        with http_server("127.0.0.1:0", answer) as address, gevent.Timeout(TIMEOUT_S):
            self.member._follow(address)
        return polls

    def test_reports_are_sent_with_rising_numbers(self):
        polls = self.follow(ZoneNews("f", 1, None, NOTHING, 0.1, 0.1))
        self.assertEqual([each.load for each in polls], [LoadReport()] * 2)
        self.assertLess(polls[0].load_number, polls[1].load_number)
        self.assertGreater(polls[0].load_number, 1_600_000_000_000)

    def test_news_of_a_feeder_update_the_view(self):
        load = ZoneLoad(make_load(2.0), [ZoneTotals("yard", 0.1, make_load().services)])
        self.follow(ZoneNews("f", 1, None, NOTHING, 0.1, 0.1, load=load))
        view, now_s = self.core.load.view, steady_now_s()
        self.assertEqual(view.zone_busy("notes", "a", now_s), 4.0)
        self.assertGreater(view.target_load(self.core.registry.get("i-1"), now_s), 2.0)

    def test_news_of_a_feeder_of_the_former_build_leave_the_view_unknown(self):
        self.follow(ZoneNews("f", 1, None, NOTHING, 0.1, 0.1))
        self.assertIsNone(self.core.load.view.zone_busy("notes", "a", steady_now_s()))

    def test_instance_that_does_not_share_load_sends_none(self):
        self.core = make_core([make_target("i-1", revision=5)])
        self.member = self.make_member(self.core)
        load = ZoneLoad(make_load(2.0))
        polls = self.follow(ZoneNews("f", 1, None, NOTHING, 0.1, 0.1, load=load))
        self.assertEqual({each.load for each in polls}, {None})


class TestFeederDirectory(unittest.TestCase):
    OWN = "10.0.0.1:1"

    def setUp(self):
        self.directory = FeederDirectory("a", self.OWN, ["a", "b", "c"])

    def choose(self, now_s=1.0, share=0.0):
        return self.directory.choose_feeders(now_s, lambda: share)

    def claim(self, *holders):
        claims = [FeederClaim(name, holder, 5) for name, holder in holders]
        self.directory.set_claims(claims)

    def test_all_feeders_of_the_own_zone_and_one_of_each_other_are_asked(self):
        self.claim(
            ("a.0", self.OWN),
            ("a.1", "10.0.0.2:1"),
            ("b.0", "10.0.1.1:1"),
            ("b.1", "10.0.1.2:1"),
            ("c.0", ""),
            ("x.0", "10.0.9.1:1"),
        )
        own = ("a", "10.0.0.2:1")
        self.assertEqual(self.choose(), [own, ("b", "10.0.1.1:1")])
        self.assertEqual(self.choose(share=0.9), [own, ("b", "10.0.1.2:1")])

    def test_feeder_that_did_not_answer_is_passed_over(self):
        self.claim(("b.0", "10.0.1.1:1"), ("b.1", "10.0.1.2:1"))
        self.assertTrue(self.directory.mark_failed("10.0.1.1:1", 1.0))
        self.assertFalse(self.directory.mark_failed("10.0.1.1:1", 1.5))
        self.assertEqual(self.choose(2.0), [("b", "10.0.1.2:1")])
        self.directory.mark_failed("10.0.1.2:1", 2.0)
        self.assertEqual(self.choose(2.0), [("b", "10.0.1.1:1")])
        self.directory.mark_answered("10.0.1.2:1")
        self.assertEqual(self.choose(3.0), [("b", "10.0.1.2:1")])

    def test_successor_of_a_lost_feeder_is_learnt_from_its_call(self):
        self.claim(("b.0", "10.0.1.1:1"))
        self.directory.mark_failed("10.0.1.1:1", 1.0)
        self.directory.mark_caller("b", "10.0.1.7:1", 1.5)
        self.assertEqual(self.choose(2.0), [("b", "10.0.1.7:1")])
        self.assertEqual(self.choose(9.0), [("b", "10.0.1.1:1")])

    def test_callers_of_no_zone_or_without_an_address_are_ignored(self):
        self.directory.mark_caller("x", "10.0.1.7:1", 1.0)
        self.directory.mark_caller("b", "nobody", 1.0)
        self.directory.mark_caller("a", self.OWN, 1.0)
        self.assertEqual(self.choose(), [])

    def test_number_of_callers_is_bounded(self):
        for number in range(1000):
            self.directory.mark_caller("a", f"10.0.0.9:{number + 1}", 1.0)
        self.assertEqual(len(self.choose()), load_exchange.MAX_CALLERS)


class TestExchange(unittest.TestCase):
    """Feeders of two zones ask each other over HTTP."""

    def setUp(self):
        self.servers = self.enterContext(ExitStack())
        self.logs = []

    def make_feeder(self, zone, begun=True):
        """Start a feeder; returns its shared load and its exchange."""
        core_settings = ForwardingSettings(zone)
        registry = TargetRegistry(core_settings)
        load = SharedLoad(zone, FlowTable(core_settings), registry)
        address = self.servers.enter_context(self.serve(lambda: exchange.answer))
        fields = {"zone": zone, "zones": ["a", "b"], "peer_address": address}
        settings = decode_settings(json.dumps(GOOD | fields).encode())
        log = BoundedLog("a", lambda line: self.logs.append(bytes(line)) or len(line))
        exchange = LoadExchange(settings, load, log)
        load.begin(address, 1000)
        if begun:
            load.set_feeding(True, steady_now_s() - FEEDING_SETTLES_S)
        return load, exchange, address

    @contextmanager
    def serve(self, find_answer):
        def answer(path, query):
            self.assertEqual(path, LOAD_PATH)
            return find_answer()(query)

        with http_server("127.0.0.1:0", answer) as address:
            yield address

    def ask(self, exchange, *claims):
        exchange.directory.set_claims([FeederClaim(*claim) for claim in claims])
        with gevent.Timeout(TIMEOUT_S):
            exchange.ask_feeders()
            exchange._pending.join()

    def test_other_zones_get_totals_and_no_targets(self):
        first, exchange, _ = self.make_feeder("a")
        other, _, address = self.make_feeder("b")
        other.sums.record(FOLLOWER, 1, make_load(2.0), steady_now_s())
        self.ask(exchange, ("b.0", address))
        load = first.zone_load(steady_now_s())
        (totals,) = load.others
        self.assertEqual((totals.zone, totals.services), ("b", make_load(2.0).services))
        self.assertEqual((load.own.targets, load.own.instances), ([], 1))

    def test_feeders_of_a_zone_tell_each_other_their_reports(self):
        first, exchange, _ = self.make_feeder("a")
        second, _, address = self.make_feeder("a")
        now_s = steady_now_s()
        first.sums.record(FOLLOWER, 1, make_load(9.0), now_s)
        second.sums.record(FOLLOWER, 2, make_load(2.0), now_s)
        self.ask(exchange, ("a.1", address))
        own = first.zone_load(steady_now_s()).own
        self.assertEqual((own.targets[0].busy, own.instances), (2.0, 3))

    def test_asked_feeder_learns_of_the_asking_one(self):
        _, exchange, own_address = self.make_feeder("a")
        _, other_exchange, address = self.make_feeder("b")
        self.ask(exchange, ("b.0", address))
        asked = other_exchange.directory.choose_feeders(steady_now_s(), lambda: 0.0)
        self.assertEqual(asked, [("a", own_address)])

    def test_silent_feeder_of_one_zone_delays_no_other(self):
        first, exchange, _ = self.make_feeder("a")
        other, _, address = self.make_feeder("b")
        other.sums.record(FOLLOWER, 1, make_load(2.0), steady_now_s())

        def stay_silent(_query):
            gevent.sleep(TIMEOUT_S)

        silent = self.servers.enter_context(self.serve(lambda: stay_silent))
        claims = [FeederClaim("a.1", silent, 5), FeederClaim("b.0", address, 5)]
        exchange.directory.set_claims(claims)
        with gevent.Timeout(TIMEOUT_S):
            exchange.ask_feeders()
            while not first.sums.zone_load(LoadReport(), steady_now_s()).others:
                gevent.sleep(0.001)
            self.assertEqual(len(exchange._pending), 1)
            exchange._pending.join()
        self.assertIn(silent, exchange.directory._failed_s)

    def test_instance_that_does_not_feed_tells_nothing(self):
        first, exchange, _ = self.make_feeder("a")
        _, _, address = self.make_feeder("b", begun=False)
        self.ask(exchange, ("b.0", address))
        self.assertEqual(first.zone_load(steady_now_s()).others, [])
        self.assertIn(address, exchange.directory._failed_s)

    def test_invalid_answers_are_ignored(self):
        first, exchange, _ = self.make_feeder("a")
        wrong = load_exchange.LoadAnswer(ZoneTotals("c", 0.0, make_load().services))
        bodies = [b"", b"{}", b"\x78\x9c", load_exchange._encode(wrong).body]
        for body in bodies:
            response = Response(200, body)
            with self.serve(lambda response=response: lambda _query: response) as told:
                self.ask(exchange, ("b.0", told))
        self.assertEqual(first.zone_load(steady_now_s()).others, [])

    def test_reports_of_a_lost_feeder_expire(self):
        first, exchange, _ = self.make_feeder("a")
        second, _, address = self.make_feeder("a")
        second.sums.record(FOLLOWER, 2, make_load(2.0), steady_now_s())
        self.ask(exchange, ("a.1", address))
        later_s = steady_now_s() + RELAYED_VALID_S + 0.1
        self.assertEqual(first.zone_load(later_s).own.instances, 1)


if __name__ == "__main__":
    unittest.main()
