"""Follows a feeder of the zone: polls it for news and reports failing targets to it.

While an instance follows a feeder, it does not watch the store, so its knowledge is as
fresh as its feeder's.  If the feeder does not answer, the instance follows the store
itself at once; `endivepick.forwarder.followed_feeds` treats feeders that are cut off.

A feeder that stops names its successor, and its followers poll that one at once, with
their feeds still suspended.

The feeder sends a new configuration as a delta.  If it does not know the delta, or the
delta is too large for its link, which also carries packets, it sends only the new
revision, and the instance reads the configuration from the store.
"""

from collections.abc import Callable, Mapping
from enum import Enum

import gevent
from msgspec import Struct

from endivepick.addresses import is_address
from endivepick.clock import steady_now_s
from endivepick.errors import EndivepickError, PlatformAnswerError
from endivepick.forwarder.followed_feeds import FollowedFeeds
from endivepick.forwarder.freshness import (
    ANSWER_TIMEOUT_MARGIN_S,
    POLL_TIMEOUT_MARGIN_S,
    POLL_WAIT_S,
    compute_freshness,
)
from endivepick.forwarder.logs import BoundedLog, truncate_number
from endivepick.forwarder.peer_directory import Neighbours
from endivepick.forwarder.peers import NEWS_PATH, SEEN_PATH
from endivepick.forwarder.ports import FeedKind
from endivepick.forwarder.settings import ForwarderSettings
from endivepick.forwarder.store_feed import StoreFeed
from endivepick.forwarder.zone_messages import (
    FeederAhead,
    FeederFull,
    FeederMoved,
    ZoneNews,
    ZoneQuestion,
    read_feeder_answer,
)
from endivepick.forwarding import FitnessReport, ForwardingCore
from endivepick.store import StoreConnection, store_connection

__all__ = ["FeederFollower", "FeederLeft", "FeederRoleReceived", "FeederState"]

POLL_RETRY_DELAY_S = 0.2
"""Delay before a feeder is polled again that is stale or not yet feeding; a feeder that
has news answers each poll at once."""
FEEDER_START_S = 1.0
"""Time for which an instance that is no feeder yet is polled again: the holder of a
claim may be starting as well, and a successor learns of its role within a poll."""


class FeederState(Enum):
    """State of a feeder that was left.

    Attributes
    ----------
    USABLE
        Its claim stands, and it may be followed again.
    FULL
        It has reached its maximum number of instances.
    LOST
        It does not answer or is cut off; its claim may be replaced.
    """

    USABLE = "usable"
    FULL = "full"
    LOST = "lost"


class FeederLeft(Struct, frozen=True):
    """A feeder was left; the store is followed again.

    Attributes
    ----------
    feeder : str
        Address of the feeder.
    reason : str
        Reason for the log.
    state : FeederState
        What is known of the feeder.
    """

    feeder: str
    reason: str
    state: FeederState


class FeederRoleReceived(Struct, frozen=True):
    """The feeder stopped and passed its claim to this instance."""


class _FeederUnreliable(Exception):
    """Raised when the current feeder can no longer be relied on."""

    def __init__(self, reason: str, state: FeederState) -> None:
        super().__init__(reason)
        self.reason = reason
        self.state = state


class _NoFeeder(_FeederUnreliable):
    """Raised when an instance does not feed others, not yet or not any more."""


class FeederFollower:
    """Follows one feeder after the other, as long as each names its successor.

    Parameters
    ----------
    settings : ForwarderSettings
        Addresses and time limits.
    core : ForwardingCore
        Registry, routes and fitness reports of this instance.
    feeds : mapping of FeedKind to StoreFeed
        Suspended while the instance follows a feeder.
    apply_news : callable
        Called with the news that a feeder sends.
    neighbours : Neighbours
        Records the feeders of this instance.
    log : BoundedLog
        Log of the feeders that were followed and left.
    """

    def __init__(
        self,
        settings: ForwarderSettings,
        core: ForwardingCore,
        feeds: Mapping[FeedKind, StoreFeed],
        apply_news: Callable[[ZoneNews], None],
        neighbours: Neighbours,
        log: BoundedLog,
    ) -> None:
        self._own_address = settings.advertised_address
        self._core = core
        self._feeds = feeds
        self._apply_news = apply_news
        self._neighbours = neighbours
        self._log = log
        self._freshness = compute_freshness(settings)
        self._followed = FollowedFeeds(core, feeds, self._freshness)
        self._requested_config_revision = 0
        self.feeder_address = ""
        """Address of the feeder that is followed, "" if the store is followed."""

    @property
    def fed(self) -> bool:
        """Whether this instance follows a feeder instead of the store."""
        return bool(self.feeder_address)

    @property
    def store_answers(self) -> bool:
        """Whether all required kinds are known and the store answers for them."""
        return self._followed.all_settled

    def follow(self, feeder: str) -> FeederLeft | FeederRoleReceived:
        """Follow a feeder and its successors until one of them is unreliable."""
        began_s = steady_now_s()
        try:
            with self._followed.following():
                while feeder != self._own_address:
                    feeder = self._follow_one(feeder)
        except _FeederUnreliable as failure:
            self._log.event(
                "zone",
                "feeder_left",
                "left the feeder; following the store",
                feeder=feeder,
                reason=failure.reason,
                fed_for_s=truncate_number(steady_now_s() - began_s),
            )
            return FeederLeft(feeder, failure.reason, failure.state)
        finally:
            self.feeder_address = ""
        return FeederRoleReceived()

    def _follow_one(self, feeder: str) -> str:
        """Follow a feeder until it names its successor; return its address."""
        with store_connection(feeder) as connection:
            answer = self._poll_until_fresh(feeder, connection)
            self._check_initial(answer)
            while isinstance(answer, ZoneNews):
                self._on_news(feeder, answer)
                answer = self._poll(feeder, connection)
            return answer.successor

    def _on_news(self, feeder: str, news: ZoneNews) -> None:
        """Rely on a feeder's news, or find out why they are stale."""
        if self.feeder_address != feeder:
            self.feeder_address = feeder
            self._log.event(
                "zone", "feeder_followed", "following a feeder", feeder=feeder
            )
        if not self._followed.on_news(news):
            raise _FeederUnreliable(_describe_silence(news), FeederState.LOST)
        if news.config_revision > self._core.routes.revision:
            # The feeder did not send the change.
            self._requested_config_revision = news.config_revision
            self._feeds[FeedKind.CONFIGURATION].request_list()

    def _poll_until_fresh(
        self, feeder: str, connection: StoreConnection
    ) -> ZoneNews | FeederMoved:
        """Poll until the news is fresh or a short watch must have been answered.

        If nobody has polled the feeder before, its watch of the store is a long one, so
        its first answers may be stale.  If it were considered lost for that, its claim
        would pass to another instance in the same state, and so on.
        """
        began_s = steady_now_s()
        fresh_by_s = began_s + self._freshness.feeding_wait_s + ANSWER_TIMEOUT_MARGIN_S
        while True:
            try:
                answer = self._poll(feeder, connection, may_wait=False)
            except _NoFeeder:
                if steady_now_s() - began_s >= FEEDER_START_S:
                    raise
            else:
                if isinstance(answer, FeederMoved):
                    return answer
                if not self._followed.is_stale(answer) or steady_now_s() >= fresh_by_s:
                    return answer
            gevent.sleep(POLL_RETRY_DELAY_S)

    def _check_initial(self, answer: ZoneNews | FeederMoved) -> None:
        """Check whether to follow a feeder after the first polls.

        A feeder is lost if its news are stale although the store answers here: the
        claims have just been read.  If it kept its claim, its followers would return to
        it every few seconds until its partition ends.
        """
        if not self.fed and not self._followed.all_settled:
            reason = "store became unreachable from this instance"
            raise _FeederUnreliable(reason, FeederState.USABLE)
        if isinstance(answer, ZoneNews) and self._followed.is_stale(answer):
            raise _FeederUnreliable(_describe_silence(answer), FeederState.LOST)

    def _poll(
        self, feeder: str, connection: StoreConnection, may_wait: bool = True
    ) -> ZoneNews | FeederMoved:
        """Poll the feeder for news and apply them."""
        path = f"{NEWS_PATH}?{self._make_question(may_wait).query}"
        try:
            body = connection.get(path, POLL_WAIT_S + POLL_TIMEOUT_MARGIN_S)
            answer = read_feeder_answer(body)
        except PlatformAnswerError:
            # The feeder is alive; it has just started or is about to stop.
            raise _NoFeeder("instance is no feeder", FeederState.USABLE) from None
        except EndivepickError as error:
            raise _FeederUnreliable(str(error), FeederState.LOST) from None
        match answer:
            case FeederFull():
                raise _FeederUnreliable(
                    "feeder has reached its limit of instances", FeederState.FULL
                )
            case FeederAhead():
                raise _FeederUnreliable(
                    "feeder cannot send the changes", FeederState.USABLE
                )
            case FeederMoved(successor=successor) if not is_address(successor):
                raise _FeederUnreliable(
                    "feeder named no address of a successor", FeederState.LOST
                )
            case ZoneNews():
                self._apply(feeder, answer)
        return answer

    def _make_question(self, may_wait: bool) -> ZoneQuestion:
        config = self._core.routes.revision
        if not self._feeds[FeedKind.CONFIGURATION].settled:
            # The configuration is being read. Polling with the requested revision
            # avoids an immediate answer; when the read ends with an older revision, it
            # is requested again.
            config = max(config, self._requested_config_revision)
        evacuations = None
        if FeedKind.EVACUATIONS in self._feeds:
            evacuations = self._core.evacuations.zones.revision
        load, number = None, 0
        if self._core.load is not None:
            number, load = self._core.load.make_report(steady_now_s())
        return ZoneQuestion(
            self._own_address,
            config,
            self._core.registry.revision,
            self._core.build_report(steady_now_s()),
            evacuations,
            may_wait,
            load,
            number,
        )

    def _apply(self, feeder: str, news: ZoneNews) -> None:
        self._neighbours.mark_alive(feeder, steady_now_s())
        self._core.on_zone_report(news.seen, steady_now_s())
        if news.instances is not None:
            self._core.set_instance_bound(news.instances)
        if self._core.load is not None and news.load is not None:
            self._core.load.receive(news.load, steady_now_s())
        self._apply_news(news)

    def report_observations(self) -> None:
        """Report suspected targets to the feeder without blocking."""
        gevent.spawn(self._send_urgent_report, self.feeder_address)

    def announce_stop(self) -> None:
        """Report to the feeder, without blocking, that this instance stops.

        The fabric may move its flows before the next poll.
        """
        report = self._core.build_report(steady_now_s())
        gevent.spawn(self._send_report, self.feeder_address, report)

    def _send_urgent_report(self, feeder: str) -> None:
        report = self._core.build_report(steady_now_s())
        if report.is_urgent:
            self._send_report(feeder, report)

    def _send_report(self, feeder: str, report: FitnessReport) -> None:
        poll = ZoneQuestion(self._own_address, 0, 0, report)
        try:
            with store_connection(feeder) as connection:
                connection.get(f"{SEEN_PATH}?{poll.query}", POLL_TIMEOUT_MARGIN_S)
        except (EndivepickError, ValueError) as error:
            # The next poll carries the same report and detects a lost feeder.
            self._log.event(
                "zone",
                "seen_untold",
                "failed to send a report to the feeder",
                error=str(error),
            )


def _describe_silence(news: ZoneNews) -> str:
    return f"store silent there for {news.heard_before_s:.1f} s"
