"""An instance of a zone whose store and feeds are stand-ins."""

import json
import unittest

from endivepick.clock import steady_now_s
from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.metrics import ForwarderMetrics
from endivepick.forwarder.news_handler import NewsIntake
from endivepick.forwarder.peer_directory import Neighbours
from endivepick.forwarder.ports import FeedKind
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
