"""Odd values in messages of other instances neither end a task nor mislead it."""

import unittest
import zlib
from base64 import urlsafe_b64encode
from contextlib import contextmanager
from unittest.mock import patch

import msgspec

from endivepick.addresses import is_address
from endivepick.errors import PlatformAnswerError
from endivepick.forwarder import feeder_follower, load_exchange, zone_feeder
from endivepick.forwarder.load_exchange import LoadAnswer
from endivepick.forwarder.peers import HELLO_PATH, SNAPSHOT_PATH, PeerSnapshot
from endivepick.forwarder.ports import FeedKind
from endivepick.forwarder.store_feed import FeedChanges
from endivepick.forwarder.tests.odd_values import ODD_VALUES, Reader, list_variants
from endivepick.forwarder.tests.test_peers import make_feed
from endivepick.forwarder.tests.zone_case import ZoneCase
from endivepick.forwarder.zone_messages import (
    FeederMoved,
    ZoneNews,
    ZoneQuestion,
    read_feeder_answer,
)
from endivepick.forwarding import (
    ColdStart,
    Configuration,
    EvacuatedZone,
    EvacuationSnapshot,
    FitnessReport,
    RegistryNews,
    RemovedTarget,
    Route,
    RouteKind,
    ServiceShare,
)
from endivepick.forwarding.configuration_changes import compute_change
from endivepick.forwarding.fitness_reports import (
    ServiceCounts,
    SilentTarget,
    TargetCounts,
)
from endivepick.forwarding.load.reports import (
    LoadReport,
    ReportedLoad,
    ServiceLoad,
    TargetLoad,
    ZoneLoad,
    ZoneTotals,
)
from endivepick.forwarding.request_baseline import Bucket
from endivepick.forwarding.service_baselines import UsualCounts
from endivepick.forwarding.tests.support import (
    SERVICE_HOST,
    make_configuration,
    make_core,
    make_target,
)

ADDRESS = "10.0.0.9:7000"
MAX_REVISION = (1 << 63) - 1
CONFIGURATION = Configuration(
    8,
    20,
    (
        Route(
            "r8080",
            SERVICE_HOST,
            8080,
            (ServiceShare("notes", 1.0),),
            RouteKind.IDEMPOTENT,
            (),
            1,
            5.0,
            1.0,
        ),
    ),
    {"notes": "/health"},
    60.0,
    {"notes": ColdStart(60.0, 1.0)},
)
EVACUATIONS = EvacuationSnapshot([EvacuatedZone("yard", 21)], 22)
NEW_TARGET = make_target("i-2", cold_s=9.0, created=21, revision=21, born_ms=7)
REPORT = FitnessReport(
    [TargetCounts("i-1", 5, 1.0, 2.0, 3.0, 1, 1, 1, 1.0, 1.0, 1.0, 1)],
    [ServiceCounts("notes", 9.0, 5.0, 3.0)],
    2,
    [UsualCounts("notes", RouteKind.IDEMPOTENT, [Bucket(3, 40)], [Bucket(3, 40)])],
    [SilentTarget("i-1", 5)],
)
LOAD = LoadReport(
    [TargetLoad("i-1", 5, 1.0, 2)], [ServiceLoad("notes", "a", 1.0, 2.0, 0.5)], 2
)
TOTALS = ZoneTotals("yard", 0.1, [ServiceLoad("notes", "a", 1.0, 2.0, 0.5)])
SNAPSHOT = PeerSnapshot(
    "front-9",
    CONFIGURATION,
    [NEW_TARGET],
    22,
    0.1,
    False,
    [ADDRESS],
    ["i-3"],
    EVACUATIONS,
)
NEWS = ZoneNews(
    "front-9",
    20,
    compute_change(make_configuration(), CONFIGURATION),
    RegistryNews([NEW_TARGET], [RemovedTarget("i-3", 22, True)], False, 22),
    0.1,
    0.1,
    REPORT,
    EVACUATIONS,
    0.1,
    75,
    ZoneLoad(LOAD, [TOTALS], 1.0),
)


def encode_load(body):
    return urlsafe_b64encode(zlib.compress(body)).decode()


class MessageCase(unittest.TestCase):
    def assert_follows(self, reader):
        """Check that a later change of the store is used, and what is known."""
        core = reader.core
        for revision in (
            core.registry.revision,
            core.routes.revision,
            core.evacuations.zones.revision,
        ):
            self.assertLessEqual(0, revision)
            self.assertLessEqual(revision, MAX_REVISION)
        reader.exercise()
        first = core.registry.revision + 1
        later = tuple(
            make_target(name, revision=revision)
            for revision, name in enumerate(("i-1", "i-2", "i-abc"), first)
        )
        changes = FeedChanges(FeedKind.REGISTRY, later, later[-1].revision)
        reader.news.on_store_update(changes)
        for each in later:
            self.assertEqual(core.registry.get(each.name).revision, each.revision)


class TestPeers(MessageCase):
    def test_snapshots(self):
        for case, body in list_variants(SNAPSHOT):
            with self.subTest(case):
                reader = Reader()
                exchange = make_feed(reader.core, [ADDRESS])
                exchange._apply_snapshot = reader.news.on_snapshot
                with patch.object(exchange, "_call", lambda *_, body=body: body):
                    exchange._query_peers()
                self.assert_follows(reader)

    def test_lists_of_peers(self):
        for case, body in list_variants([ADDRESS]):
            with self.subTest(case):
                exchange = make_feed(make_core(), [ADDRESS])
                with patch.object(exchange, "_call", lambda *_, body=body: body):
                    self.assertTrue(exchange._send_hello(ADDRESS))

    def test_queries(self):
        exchange = make_feed(make_core([make_target("i-1")]))
        for case, value in ODD_VALUES.items():
            text = value.decode(errors="replace").strip('"')
            with self.subTest(case):
                for path in (SNAPSHOT_PATH, HELLO_PATH):
                    query = f"from={text}&config={text}&registry={text}"
                    self.assertEqual(exchange.answer(path, query).status, 200)
        self.assertTrue(all(map(is_address, exchange.directory.list_recent(9))))


class FakeFeeder:
    """Connection to a feeder that answers once and feeds no longer then."""

    def __init__(self, body):
        self._bodies = [body]

    def get(self, _path, _timeout_s):
        if not self._bodies:
            raise PlatformAnswerError("Instance is no feeder. Try another.")
        return self._bodies.pop()


class TestFollowers(ZoneCase, MessageCase):
    def setUp(self):
        super().setUp()
        self.enterContext(patch.object(feeder_follower, "POLL_RETRY_DELAY_S", 0.0))

    def follow(self, body, shares_load):
        """Poll a feeder that gives one answer; return the reader of its news."""
        reader = Reader(shares_load)
        self.feeds = {kind: type(feed)() for kind, feed in self.feeds.items()}
        member = self.make_member(reader.core)
        feeder = FakeFeeder(body)

        @contextmanager
        def connect(_address):
            yield feeder

        with patch.object(feeder_follower, "store_connection", connect):
            member.follower.follow(ADDRESS)
        return reader

    def test_news(self):
        for case, body in list_variants(NEWS):
            for shares_load in (False, True):
                with self.subTest(case, shares_load=shares_load):
                    self.assert_follows(self.follow(body, shares_load))

    def test_successors(self):
        for case, body in list_variants(FeederMoved("front-9", ADDRESS)):
            with self.subTest(case):
                self.assert_follows(self.follow(body, False))


class TestFeeders(ZoneCase):
    def setUp(self):
        super().setUp()
        self.enterContext(patch.object(zone_feeder, "POLL_WAIT_S", 0.001))
        self.core = make_core([make_target("i-1", revision=5)], shares_load=True)
        self.member = self.make_member(self.core)
        self.feed()

    def assert_feeds(self):
        """Check that another follower is answered."""
        self.member.feeder._reports.pop("10.0.0.3:1", None)
        question = ZoneQuestion("10.0.0.3:1", 0, 0, may_wait=False, load=LOAD)
        answer = self.member.feeder.answer_poll(question.query)
        self.assertEqual(answer.status, 200)
        news = read_feeder_answer(answer.body)
        self.assertIsInstance(news, ZoneNews)
        for reported in (*news.seen.targets, *news.seen.silent):
            self.assertIn(reported.born_ms, range(1 << 53))

    def test_reports(self):
        for case, body in list_variants(REPORT):
            with self.subTest(case):
                query = f"from=10.0.0.2:1&config=0&registry=0&wait=0&seen={body.hex()}"
                self.assertEqual(self.member.feeder.receive_report(query).status, 200)
                self.assertEqual(self.member.feeder.answer_poll(query).status, 200)
                self.assert_feeds()

    def test_loads(self):
        for case, body in list_variants(LOAD):
            with self.subTest(case):
                query = "from=10.0.0.2:1&config=0&registry=0&wait=0&number=1"
                query += f"&load={encode_load(body)}"
                self.assertEqual(self.member.feeder.answer_poll(query).status, 200)
                self.assert_feeds()

    def test_numbers(self):
        for case, value in ODD_VALUES.items():
            text = value.decode(errors="replace")
            for name in ("config", "registry", "evacuations", "wait", "number"):
                fields = {"config": 0, "registry": 0, "wait": 0, "number": 1}
                fields |= {"load": encode_load(msgspec.json.encode(LOAD)), name: text}
                query = "&".join(f"{key}={each}" for key, each in fields.items())
                with self.subTest(case, name=name):
                    self.member.feeder.receive_report(f"from=10.0.0.2:1&{query}")
                    if name in ("config", "registry", "evacuations"):
                        query += "&wait=0"
                    self.member.feeder.answer_poll(f"from=10.0.0.2:1&{query}")
                    self.assert_feeds()

    def test_load_of_other_feeders(self):
        exchange = self.member.load_exchange
        for answer in (
            LoadAnswer(TOTALS),
            LoadAnswer(reports=[ReportedLoad("10.0.0.2:1", 3, 0.1, LOAD)]),
        ):
            for case, body in list_variants(answer):
                for zone in ("hall", "yard"):
                    with self.subTest(case, zone=zone):
                        self.ask(exchange, zone, zlib.compress(body))
                        self.assert_feeds()
                        self.assertEqual(exchange.answer("zone=hall").status, 200)
                        self.assertEqual(exchange.answer("zone=yard").status, 200)

    def ask(self, exchange, zone, body):
        @contextmanager
        def connect(_address):
            yield FakeFeeder(body)

        with patch.object(load_exchange, "store_connection", connect):
            exchange._ask(zone, ADDRESS)
