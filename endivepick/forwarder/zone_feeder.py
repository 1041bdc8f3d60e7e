"""Feeds other instances of the zone: answers their questions with what is newer."""

from collections.abc import Mapping

import gevent
from gevent.event import Event

from endivepick.clock import steady_now_s
from endivepick.forwarder.feeder_election import Askers
from endivepick.forwarder.freshness import POLL_WAIT_S, freshness_of
from endivepick.forwarder.http import Response, json_response
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.peer_directory import Neighbours
from endivepick.forwarder.ports import FeedKind
from endivepick.forwarder.settings import ForwarderSettings
from endivepick.forwarder.store_feed import StoreFeed, heard_before_s
from endivepick.forwarder.zone_messages import (
    FeederAhead,
    FeederFull,
    ZoneNews,
    ZoneQuestion,
)
from endivepick.forwarding import (
    ConfigurationChange,
    FitnessReport,
    ForwardingCore,
    merge_reports,
)
from endivepick.forwarding.fault_confirmation import REPORT_VALID_S
from endivepick.forwarding.service_baselines import UsualCounts, merge_baselines

__all__ = ["ZoneFeeder"]

UNASKED_S = 10.0
"""A feeder that nobody has asked for so long keeps no short watch: the only instance of
a zone is its feeder, and short watches would cost the store calls for nothing."""
USUAL_EVERY_S = 0.5
"""How often it is added up what is usual in the zone: some milliseconds of work."""
TARGET_BYTES = 100
"""What an entry of the registry takes in an answer, with a long name of its zone."""
WHOLE_S = 1.0
"""How long the whole registry may keep the feeder's link, told to all whom it feeds:
packets wait behind it."""
_MBIT_BYTES = 125_000
_NOT_FEEDING = Response(404)


class ZoneFeeder:
    """What an instance does for those whom it feeds.

    Parameters
    ----------
    settings : ForwarderSettings
        Name, and how many are fed at a time.
    core : ForwardingCore
        What is known here.
    feeds : mapping of FeedKind to StoreFeed
        How fresh that is.
    neighbours : Neighbours
        Told who is fed here.
    log : BoundedLog
        Where it says what it does.
    """

    def __init__(
        self,
        settings: ForwarderSettings,
        core: ForwardingCore,
        feeds: Mapping[FeedKind, StoreFeed],
        neighbours: Neighbours,
        log: BoundedLog,
    ) -> None:
        self._name = settings.name
        self._tells_changes = settings.mechanisms.told_changes
        self._core = core
        self._feeds = feeds
        self._neighbours = neighbours
        self._log = log
        self._askers = Askers(settings.fed_most)
        self._watch_wait_s = freshness_of(settings).feeding_wait_s
        told_bytes = TARGET_BYTES * settings.fed_most
        self._whole_targets = WHOLE_S * settings.link_mbps * _MBIT_BYTES / told_bytes
        self._seen: dict[str, tuple[float, FitnessReport]] = {}
        self._usual: list[UsualCounts] = []
        self._usual_s = float("-inf")
        self._alarming: frozenset[str] = frozenset()
        self._alarms = 0
        self._changed = Event()
        self._asked_s = float("-inf")
        self._stopping = False
        self.feeding = False
        """Whether others may be fed here."""

    def begin(self) -> None:
        """Feed others from now on, unless this instance is about to stop."""
        if not self.feeding and not self._stopping:
            self._log.event("zone", "feeding", "feeding others of the zone")
        self.feeding = not self._stopping
        self._set_watch_wait()

    def end(self) -> None:
        """Feed others no more: another does."""
        if self.feeding:
            self._log.event("zone", "feeding_ended", "another feeds in its place")
        self.feeding = False
        self._set_watch_wait()
        self.notify()

    def stop(self) -> None:
        """Let those who are fed here look for another feeder, for good."""
        self._stopping = True
        self.feeding = False
        self.notify()

    def notify(self) -> None:
        """Answer those who wait for news."""
        waiting, self._changed = self._changed, Event()
        waiting.set()

    def answer(self, query: str) -> Response:
        """Answer an instance that is fed: at once if there is news for it."""
        question = ZoneQuestion.read(query)
        if question is None:
            return _NOT_FEEDING
        self._asked_s = steady_now_s()
        if self.feeding and not self._askers.admit(question.asker, self._asked_s):
            return json_response(FeederFull(self._name))
        self._neighbours.heard(question.asker, self._asked_s)
        self._seen[question.asker] = (self._asked_s, question.seen)
        self._set_watch_wait()
        alarms = self._alarms
        with gevent.Timeout(POLL_WAIT_S, False):
            while self._may_wait(question, alarms):
                self._changed.wait()
        if not self.feeding or not self._core.ready:
            return _NOT_FEEDING
        if self._is_too_much(question):
            return json_response(FeederAhead(self._name))
        return json_response(self._news(question))

    def _may_wait(self, question: ZoneQuestion, alarms: int) -> bool:
        """Whether there is nothing to tell an instance yet."""
        return self.feeding and self._alarms == alarms and not self._has_news(question)

    def note_seen(self, query: str) -> Response:
        """Take in what an instance has seen of targets, between its questions."""
        question = ZoneQuestion.read(query)
        if question is None or not self.feeding:
            return _NOT_FEEDING
        self._seen[question.asker] = (steady_now_s(), question.seen)
        self.review_seen()
        return Response(200)

    def review_seen(self) -> None:
        """Tell all who are fed at once when one more target fails or is silent."""
        if not self.feeding:
            return
        together = self._seen_together()
        alarming = self._core.fitness.alarming(steady_now_s())
        alarming |= {told.name for told in together.silent}
        if not alarming <= self._alarming:
            self._alarms += 1
            self.notify()
        self._alarming = alarming

    def _is_too_much(self, question: ZoneQuestion) -> bool:
        """Whether all of a large registry would have to be told."""
        registry = self._core.registry
        if question.registry_revision >= registry.told_from:
            return False
        return len(registry) > self._whole_targets

    def _seen_together(self) -> FitnessReport:
        """Add up what instances of the zone see; a silent one tells nothing."""
        now_s = steady_now_s()
        oldest_s = now_s - REPORT_VALID_S
        self._seen = {a: seen for a, seen in self._seen.items() if seen[0] >= oldest_s}
        reports = [self._core.seen(now_s), *(seen for _, seen in self._seen.values())]
        if now_s - self._usual_s >= USUAL_EVERY_S:
            self._usual_s = now_s
            self._usual = merge_baselines(
                each for seen in reports for each in seen.usual
            )
        together = merge_reports(reports, self._usual)
        self._core.on_seen(together, now_s)
        return together

    def _news(self, question: ZoneQuestion) -> ZoneNews:
        return ZoneNews(
            self._name,
            self._core.routes.revision,
            self._change_since(question.config_revision),
            self._core.registry.news_since(question.registry_revision),
            heard_before_s(self._feeds.values()),
            heard_before_s([self._feeds[FeedKind.REGISTRY]]),
            self._seen_together(),
        )

    def _change_since(self, revision: int) -> ConfigurationChange | None:
        if not self._tells_changes:
            return None
        return self._core.routes.change_since(revision)

    def _has_news(self, question: ZoneQuestion) -> bool:
        return (
            self._core.routes.revision > question.config_revision
            or self._core.registry.revision > question.registry_revision
        )

    def _set_watch_wait(self) -> None:
        """Keep a short watch of the registry while others are fed.

        The registry changes more often than the configuration, so that the short wait
        costs fewer calls there.
        """
        asked = steady_now_s() - self._asked_s < UNASKED_S
        wait_s = self._watch_wait_s if self.feeding and asked else None
        self._feeds[FeedKind.REGISTRY].hold_watches(wait_s)
