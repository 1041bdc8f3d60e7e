"""Feeds other instances of the zone: answers their polls with newer state."""

import random
from collections.abc import Mapping

import gevent
from gevent.event import Event

from endivepick.addresses import is_address
from endivepick.clock import steady_now_s
from endivepick.forwarder.feeder_election import FedInstances
from endivepick.forwarder.freshness import POLL_WAIT_S, compute_freshness
from endivepick.forwarder.http import Response, json_response
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.peer_directory import Neighbours
from endivepick.forwarder.ports import REQUIRED_KINDS, FeedKind
from endivepick.forwarder.settings import ForwarderSettings
from endivepick.forwarder.store_feed import StoreFeed, get_time_since_answer_s
from endivepick.forwarder.zone_messages import (
    FeederAhead,
    FeederFull,
    FeederMoved,
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
from endivepick.forwarding.load.reports import ZoneLoad
from endivepick.forwarding.service_baselines import UsualCounts, merge_baselines

__all__ = ["ZoneFeeder"]

REQUEST_IDLE_S = 10.0
"""Time without polls after which a feeder returns to long watches: without
followers, as in a zone of one instance, short watches cost store calls without
benefit."""
BASELINE_PERIOD_S = 0.5
"""Period at which the request baselines of the zone are merged, which takes some
milliseconds of CPU time."""
ENTRY_BYTES = 100
"""Size of a registry entry in an answer, with a long name of its zone."""
FULL_REGISTRY_SEND_S = 1.0
"""Maximum time for which the full registry, sent to all fed instances, may occupy the
feeder's link; packets queue behind it."""
SUCCESSOR_MARGIN_S = 0.3
"""Time after the longest poll within which a follower has to poll again to be chosen as
successor: one that is silent for longer may have stopped."""
LOAD_ENTRY_BYTES = 45
"""Size of a target's load in an answer, with a name of usual length."""
LOAD_LINK_SHARE = 0.1
"""Maximum share of the feeder's link that the load of targets may take in its
answers."""
MIN_LOAD_TARGETS = 16
"""Number of targets whose load is sent over any link."""
MAX_AGE_S = 1e9
"""Age of what was never read, a number that JSON can represent."""
_MBIT_BYTES = 125_000
_NOT_FOUND = Response(404)


class ZoneFeeder:
    """Feeder role of an instance.

    Parameters
    ----------
    settings : ForwarderSettings
        Name, and maximum number of fed instances.
    core : ForwardingCore
        Routes, registry and fitness reports of this instance.
    feeds : mapping of FeedKind to StoreFeed
        Times of the store's last answers.
    neighbours : Neighbours
        Records the fed instances.
    log : BoundedLog
        Log of the start and the end of feeding.
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
        self._sends_deltas = settings.mechanisms.told_changes
        self._core = core
        self._feeds = feeds
        self._neighbours = neighbours
        self._log = log
        self._fed_instances = FedInstances(settings.fed_most)
        self._watch_wait_s = compute_freshness(settings).feeding_wait_s
        sent_bytes = ENTRY_BYTES * settings.fed_most
        self._max_full_targets = (
            FULL_REGISTRY_SEND_S * settings.link_mbps * _MBIT_BYTES / sent_bytes
        )
        self._max_load_targets = _compute_load_targets(settings)
        self._reports: dict[str, tuple[float, FitnessReport]] = {}
        self._baselines: list[UsualCounts] = []
        self._baselines_at_s = float("-inf")
        self._known_outliers: frozenset[str] = frozenset()
        self._alert_number = 0
        self._news_event = Event()
        self._last_request_s = float("-inf")
        self._stopping = False
        self._successor = ""
        self._possible_successors: set[str] = set()
        self.feeding = False
        """Whether other instances may be fed here."""

    def start_feeding(self) -> None:
        """Start feeding other instances unless a planned stop has begun."""
        if not self.feeding and not self._stopping:
            self._log.event("zone", "feeding", "feeding other instances of the zone")
        if self.feeding:
            self._set_watch_wait()
            return
        self.feeding = not self._stopping
        self._share_role()
        self._set_watch_wait()
        if FeedKind.EVACUATIONS in self._feeds:
            self._feeds[FeedKind.EVACUATIONS].call_now()

    def end_feeding(self) -> None:
        """Stop feeding: another instance holds the claim."""
        if self.feeding:
            self._log.event("zone", "feeding_ended", "another instance feeds the zone")
        self.feeding = False
        self._share_role()
        self._set_watch_wait()
        self.wake_polls()

    def stop(self, successor: str = "") -> None:
        """Stop feeding for good, so that the fed instances look for another feeder."""
        self._stopping = True
        self._successor = successor
        self.feeding = False
        self._share_role()
        self.wake_polls()

    def choose_successor(self) -> str:
        """Return the address of a follower that can take the role over, "" if none."""
        oldest_s = steady_now_s() - POLL_WAIT_S - SUCCESSOR_MARGIN_S
        recent = [
            asker
            for asker in self._possible_successors
            if asker in self._reports and self._reports[asker][0] >= oldest_s
        ]
        return random.choice(recent) if recent else ""

    def wake_polls(self) -> None:
        """Wake the pending polls; each answers if there is news for it."""
        waiting, self._news_event = self._news_event, Event()
        waiting.set()

    def answer_poll(self, query: str) -> Response:
        """Answer the poll of a fed instance, at once if there is news for it."""
        poll = ZoneQuestion.read(query)
        if poll is None:
            return _NOT_FOUND
        self._last_request_s = steady_now_s()
        if poll.may_wait is not None and is_address(poll.asker):
            self._possible_successors.add(poll.asker)
        if self.feeding and not self._fed_instances.admit(
            poll.asker, self._last_request_s
        ):
            return json_response(FeederFull(self._name))
        self._neighbours.mark_alive(poll.asker, self._last_request_s)
        self._reports[poll.asker] = (self._last_request_s, poll.seen)
        self._record_load(poll)
        self._set_watch_wait()
        alert_number = self._alert_number
        with gevent.Timeout(POLL_WAIT_S, False):
            while self._should_wait(poll, alert_number):
                self._news_event.wait()
        if self._successor and poll.may_wait is not None:
            return json_response(FeederMoved(self._name, self._successor))
        if not self.feeding or not self._core.ready:
            return _NOT_FOUND
        if self._exceeds_link(poll):
            return json_response(FeederAhead(self._name))
        return json_response(self._make_news(poll))

    def _share_role(self) -> None:
        """Tell the shared load whether this instance feeds others."""
        if self._core.load is not None:
            self._core.load.set_feeding(self.feeding, steady_now_s())

    def _record_load(self, poll: ZoneQuestion) -> None:
        if self._core.load is None or poll.load is None or not self.feeding:
            return
        self._core.load.sums.record(
            poll.asker, poll.load_number, poll.load, steady_now_s()
        )

    def _get_load(self, poll: ZoneQuestion) -> ZoneLoad | None:
        if self._core.load is None or poll.load is None:
            return None
        load = self._core.load.zone_load(steady_now_s())
        return None if load is None else load.shortened(self._max_load_targets)

    def _should_wait(self, poll: ZoneQuestion, alert_number: int) -> bool:
        """Return whether there is no news for an instance yet."""
        return (
            self.feeding
            and poll.may_wait is not False
            and self._alert_number == alert_number
            and not self._has_news(poll)
        )

    def receive_report(self, query: str) -> Response:
        """Receive an instance's report about targets between its polls."""
        poll = ZoneQuestion.read(query)
        if poll is None or not self.feeding:
            return _NOT_FOUND
        self._reports[poll.asker] = (steady_now_s(), poll.seen)
        self.notify_new_outliers()
        return Response(200)

    def notify_new_outliers(self) -> None:
        """Wake the pending polls when a further target fails or is silent."""
        if not self.feeding:
            return
        merged = self._merge_zone_reports()
        outliers = self._core.outlier_detector.outlier_names(steady_now_s())
        outliers |= {target.name for target in merged.silent}
        if not outliers <= self._known_outliers:
            self._alert_number += 1
            self.wake_polls()
        self._known_outliers = outliers

    def _exceeds_link(self, poll: ZoneQuestion) -> bool:
        """Return whether the full registry would have to be sent and is too large."""
        registry = self._core.registry
        if poll.registry_revision >= registry.oldest_delta_revision:
            return False
        return len(registry) > self._max_full_targets

    def _merge_zone_reports(self) -> FitnessReport:
        """Merge the recent reports of the zone's instances and apply the result."""
        now_s = steady_now_s()
        oldest_s = now_s - REPORT_VALID_S
        self._reports = {
            a: entry for a, entry in self._reports.items() if entry[0] >= oldest_s
        }
        self._possible_successors &= self._reports.keys()
        reports = [
            self._core.build_report(now_s),
            *(report for _, report in self._reports.values()),
        ]
        if now_s - self._baselines_at_s >= BASELINE_PERIOD_S:
            self._baselines_at_s = now_s
            self._baselines = merge_baselines(
                each for report in reports for each in report.usual
            )
        merged = merge_reports(reports, self._baselines)
        self._core.on_zone_report(merged, now_s)
        return merged

    def _make_news(self, poll: ZoneQuestion) -> ZoneNews:
        asks_evacuations = poll.evacuation_revision is not None
        return ZoneNews(
            self._name,
            self._core.routes.revision,
            self._change_since(poll.config_revision),
            self._core.registry.news_since(poll.registry_revision),
            self._get_age_s(*REQUIRED_KINDS),
            self._get_age_s(FeedKind.REGISTRY),
            self._merge_zone_reports(),
            self._core.evacuations.zones.make_snapshot() if asks_evacuations else None,
            self._get_age_s(FeedKind.EVACUATIONS) if asks_evacuations else 0.0,
            self._core.instance_bound,
            self._get_load(poll),
        )

    def _get_age_s(self, *kinds: FeedKind) -> float:
        """Return the time since the store last answered for some kinds, in seconds.

        It is `MAX_AGE_S` for kinds that this instance does not read.
        """
        feeds = [self._feeds[kind] for kind in kinds if kind in self._feeds]
        return get_time_since_answer_s(feeds) if feeds else MAX_AGE_S

    def _change_since(self, revision: int) -> ConfigurationChange | None:
        if not self._sends_deltas:
            return None
        return self._core.routes.change_since(revision)

    def _has_news(self, poll: ZoneQuestion) -> bool:
        return (
            self._core.routes.revision > poll.config_revision
            or self._core.registry.revision > poll.registry_revision
            or self._has_evacuation_news(poll)
        )

    def _has_evacuation_news(self, poll: ZoneQuestion) -> bool:
        known = poll.evacuation_revision
        return (
            known is not None and self._core.evacuations.zones.changed_revision > known
        )

    def _set_watch_wait(self) -> None:
        """Hold short watches of the registry while other instances are fed.

        The registry changes more often than the configuration, so that the short wait
        costs fewer extra calls there.
        """
        polled = steady_now_s() - self._last_request_s < REQUEST_IDLE_S
        wait_s = self._watch_wait_s if self.feeding and polled else None
        self._feeds[FeedKind.REGISTRY].set_watch_wait(wait_s)


def _compute_load_targets(settings: ForwarderSettings) -> int:
    """Return the number of targets whose load each answer may tell."""
    link_bytes_per_s = LOAD_LINK_SHARE * settings.link_mbps * _MBIT_BYTES
    answer_bytes = link_bytes_per_s * POLL_WAIT_S / settings.fed_most
    return max(MIN_LOAD_TARGETS, int(answer_bytes / LOAD_ENTRY_BYTES))
