"""Fixture of a zone member with fake feeds and without a store."""

import json
import unittest
from unittest.mock import patch

from endivepick.clock import steady_now_s
from endivepick.forwarder import feeder_follower
from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.metrics import ForwarderMetrics
from endivepick.forwarder.news_handler import NewsHandler
from endivepick.forwarder.peer_directory import Neighbours
from endivepick.forwarder.ports import REQUIRED_KINDS
from endivepick.forwarder.settings import decode_settings
from endivepick.forwarder.tests.test_settings import GOOD
from endivepick.forwarder.zone_member import ZoneMember
from endivepick.forwarding import RegistryNews
from endivepick.forwarding.tests.support import (
    make_core,
    make_target,
)

TIMEOUT_S = 20.0
NOTHING = RegistryNews([], [], False, 0)


class FakeFeed:
    """Records the calls that it receives."""

    lost = False
    settled = True
    last_answer_s = 0.0
    wait_s = None

    def __init__(self):
        self.calls = []

    def set_watch_wait(self, wait_s):
        self.wait_s = wait_s

    def suspend(self):
        self.calls.append("suspend")

    def resume(self, revision, store_silent=False):
        self.calls.append(f"resume {revision}" + " silent" * store_silent)

    def request_list(self):
        self.calls.append("list")

    def call_now(self):
        self.calls.append("call now")


class ZoneCase(unittest.TestCase):
    kinds = REQUIRED_KINDS
    """Kinds of objects that the instance reads."""

    def setUp(self):
        # A feeder of these tests that refuses a poll does so for good.
        starting = patch.object(feeder_follower, "FEEDER_START_S", 0.0)
        self.enterContext(starting)
        self.core = make_core([make_target("i-1", revision=5)])
        self.feeds = {kind: FakeFeed() for kind in self.kinds}
        self.lines = []
        self.member = self.make_member(self.core)

    def make_member(self, core, **fields):
        fields = {"peer_address": "127.0.0.1:1"} | fields
        settings = decode_settings(json.dumps(GOOD | fields).encode())
        log = BoundedLog("a", lambda data: self.lines.append(bytes(data)) or len(data))

        decisions = DecisionLog(log, ForwarderMetrics())
        apply_news = NewsHandler(core, decisions, lambda: None).on_zone_news
        self.neighbours = Neighbours()
        return ZoneMember(
            settings, core, self.feeds, None, apply_news, self.neighbours, log
        )

    def feed(self):
        """Make the member a feeder whose store has just answered."""
        self.member.feeder.start_feeding()
        for feed in self.feeds.values():
            feed.last_answer_s = steady_now_s()
