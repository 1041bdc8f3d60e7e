"""Decides with the claims in the store who feeds the zone, and is fed by a feeder.

An instance that is fed keeps what it knows as fresh as its feeder's word: each answer
says how long ago the store answered there, and beyond a bound, or without an answer,
the instance follows the store by itself at once.  Of a new configuration it is told
what changed.  Where that is not known there, or too much for the feeder's link, which
is that of its packets, it is told that there is a new one and reads it from the store.
"""

import random
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager

import gevent
import msgspec

from endivepick.clock import steady_now_s
from endivepick.errors import EndivepickError, PlatformAnswerError
from endivepick.forwarder.feed import StoreFeed
from endivepick.forwarder.feeders import Feed, FollowFeeder, WriteClaim, choose_step
from endivepick.forwarder.feeding import ZoneFeeder
from endivepick.forwarder.freshness import (
    ANSWER_TIMEOUT_MARGIN_S,
    POLL_WAIT_S,
    compute_freshness,
)
from endivepick.forwarder.logs import BoundedLog, truncate_number
from endivepick.forwarder.peer_book import Neighbours
from endivepick.forwarder.peers import HELLO_PATH, NEWS_PATH, SEEN_PATH
from endivepick.forwarder.ports import FeederClaim, FeedKind, StoreDialect
from endivepick.forwarder.settings import ForwarderSettings
from endivepick.forwarder.zone_messages import (
    FeederAhead,
    FeederFull,
    ZoneNews,
    ZoneQuestion,
    read_feeder_answer,
)
from endivepick.forwarding import (
    ConfigurationChange,
    ForwardingCore,
    RegistryNews,
)
from endivepick.store import (
    AnswerLost,
    CallLimits,
    NotSent,
    StoreCall,
    StoreConnection,
    store_connection,
)

__all__ = ["ZoneMember"]

CLAIM_READ_DELAY_S = (0.1, 0.6)
"""Wait before claims are first read.  Within the pause that follows a list an instance
is fed before its first watches: two calls less a start."""
CLAIM_WRITE_DELAY_S = (0.0, 2.0)
"""Wait before a place found free at a start is claimed: instances that start at once
would all try, and all but one of them in vain."""
CLAIM_CHECK_PERIOD_S = (15.0, 25.0)
"""How often a feeder looks whether its claim still stands."""
RETRY_DELAY_S = (1.0, 4.0)
"""Wait after a feeder was left; meanwhile the store is followed."""
POLL_TIMEOUT_MARGIN_S = 0.5
"""An answer that comes later is none: the feeder is frozen or cut off."""
REPORT_PERIOD_S = 0.3
"""How often a feeder is told of targets that fail, between questions."""
FEEDER_STATE_TTL_S = 10.0
"""How long a feeder that did not answer is remembered as lost, or one that could feed
no more as full."""
POLL_RETRY_DELAY_S = 0.2
"""Pause before a feeder is asked again; one with news answers at once each time."""
MAX_CHECKED_HOLDERS = 4
"""Feeders that are greeted after one was lost, at most."""
MAX_FEEDERS = 64
"""Feeders that a zone may have; 64 feed 1,536 instances, three times the largest zone
that is expected."""


class _FeederUnreliable(Exception):
    """The feeder cannot be relied on.

    Parameters
    ----------
    reason : str
        Why.
    lost : bool
        Whether another has to take its place: it does not answer, or is cut off.
    """

    def __init__(self, reason: str, lost: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.lost = lost


class ZoneMember:
    """Task of an instance among those of its zone.

    Parameters
    ----------
    settings : ForwarderSettings
        Zone, addresses, number of feeders.
    core : ForwardingCore
        What is known here.
    feeds : mapping of FeedKind to StoreFeed
        Suspended while the instance is fed.
    dialect : StoreDialect
        Claims in the store.
    take : callable
        Called with what a feeder tells of the registry and the configuration.
    neighbours : Neighbours
        Told who feeds or is fed here.
    log : BoundedLog
        Where it says what it does.
    """

    def __init__(
        self,
        settings: ForwarderSettings,
        core: ForwardingCore,
        feeds: Mapping[FeedKind, StoreFeed],
        dialect: StoreDialect,
        apply_news: Callable[[RegistryNews, ConfigurationChange | None], None],
        neighbours: Neighbours,
        log: BoundedLog,
    ) -> None:
        self._settings = settings
        self._core = core
        self._feeds = feeds
        self._dialect = dialect
        self._apply_news = apply_news
        self._neighbours = neighbours
        self._log = log
        self._freshness = compute_freshness(settings)
        number = MAX_FEEDERS if settings.zone_feeders else 0
        self._claim_names = [f"{settings.zone}.{n}" for n in range(number)]
        self._lost_at_s: dict[str, float] = {}
        self._full_at_s: dict[str, float] = {}
        self._requested_config_revision = 0
        self._feeder_address = ""
        self._report_sent_s = float("-inf")
        self._stopping = False
        self.feeder = ZoneFeeder(settings, core, feeds, neighbours, log)
        """What this instance does for others of its zone."""
        self.fed = False
        """Whether a feeder is followed instead of the store."""

    def stop(self) -> None:
        """Let those who are fed here look for another feeder."""
        self._stopping = True
        self.feeder.stop()

    def run(self) -> None:
        """Feed others or be fed, as the claims say, until a planned stop."""
        if not self._claim_names or not self._settings.peer_address:
            return
        _sleep(CLAIM_READ_DELAY_S)
        claims = self._read_initial_claims() if self._core.ready else None
        while not self._stopping:
            if not self._core.ready or not self._all_feeds_settled:
                _sleep(RETRY_DELAY_S)
                claims = None
                continue
            try:
                self._act_on_claims(claims)
            except EndivepickError as error:
                self._log_unknown_claims(error)
                _sleep(RETRY_DELAY_S)
            claims = None

    def _read_initial_claims(self) -> tuple[FeederClaim, ...] | None:
        """Read the claims; None if they are to be read again after a while.

        Others that start at the same time claim a free place.
        """
        try:
            with store_connection(self._settings.store_address) as store:
                claims = self._read_claims(store)
        except EndivepickError as error:
            self._log_unknown_claims(error)
            claims = ()
        held = {claim.name for claim in claims}
        if held.issuperset(self._claim_names[: self._settings.zone_feeders]):
            return claims
        _sleep(CLAIM_WRITE_DELAY_S)
        return None

    def _log_unknown_claims(self, error: EndivepickError) -> None:
        self._log.warning("zone", "claims_unknown", "claims not read", error=str(error))

    @property
    def _all_feeds_settled(self) -> bool:
        return all(feed.settled for feed in self._feeds.values())

    def _act_on_claims(self, claims: tuple[FeederClaim, ...] | None = None) -> None:
        """Do what the claims say; they are read unless that was done just before."""
        with store_connection(self._settings.store_address) as store:
            if claims is None:
                claims = self._read_claims(store)
            self._check_holders(claims)
            step = choose_step(
                self._settings.reached_at,
                self._claim_names,
                self._settings.zone_feeders,
                claims,
                self._lost_feeders(),
                self._full_feeders(),
                random.random,
            )
            if isinstance(step, WriteClaim):
                self._write_claim(store, step.claim)
        match step:
            case Feed():
                self._serve_as_feeder()
            case FollowFeeder(claim):
                self._follow(claim.holder)
                _sleep(RETRY_DELAY_S)
            case _:
                _sleep(RETRY_DELAY_S)

    def _read_claims(self, store: StoreConnection) -> tuple[FeederClaim, ...]:
        path = self._dialect.claims_path()
        return self._dialect.read_claims(store.get(path, self._settings.call_timeout_s))

    def _check_holders(self, claims: Sequence[FeederClaim]) -> None:
        """Look for other feeders that are lost as well, once one was.

        What took one may have taken several.  A lost one whom nobody follows any more
        would keep its place for good.
        """
        lost = self._lost_feeders()
        if not lost:
            return
        passed_over = ("", self._settings.reached_at, *lost)
        holders = [
            claim.holder
            for claim in claims
            if claim.name in self._claim_names and claim.holder not in passed_over
        ]
        for holder in random.sample(holders, min(len(holders), MAX_CHECKED_HOLDERS)):
            self._check_holder(holder)

    def _check_holder(self, holder: str) -> None:
        """Any answer is a sign of life, also that of one that is about to stop."""
        call = StoreCall("GET", f"{HELLO_PATH}?from={self._settings.reached_at}")
        try:
            with store_connection(holder) as connection:
                outcome = connection.call(call, CallLimits(POLL_TIMEOUT_MARGIN_S))
        except ValueError as error:
            # The claim names no address.
            outcome = NotSent(str(error))
        match outcome:
            case NotSent(reason=reason) | AnswerLost(reason=reason):
                self._lost_at_s[holder] = steady_now_s()
                self._log.event(
                    "zone",
                    "holder_lost",
                    "another feeder does not answer either",
                    feeder=holder,
                    error=reason,
                )

    def _write_claim(self, store: StoreConnection, claim: FeederClaim) -> None:
        call = self._dialect.write_claim(claim)
        written = store.write(call, self._settings.call_timeout_s)
        self._log.event(
            "zone",
            "feeder_claimed" if written else "claim_lost",
            "place of a feeder " + ("taken" if written else "taken by another"),
            claim=claim.name,
            before_revision=claim.revision,
        )
        if written:
            self.feeder.begin()

    def _lost_feeders(self) -> list[str]:
        self._lost_at_s = _drop_expired(self._lost_at_s)
        return list(self._lost_at_s)

    def _full_feeders(self) -> list[str]:
        self._full_at_s = _drop_expired(self._full_at_s)
        return list(self._full_at_s)

    def _serve_as_feeder(self) -> None:
        """Feed others until the claim is read again."""
        self.feeder.begin()
        _sleep(CLAIM_CHECK_PERIOD_S)

    def _follow(self, feeder: str) -> None:
        """Be fed until the feeder cannot be relied on."""
        self.feeder.end()
        began_s = steady_now_s()
        try:
            with store_connection(feeder) as connection:
                self._check_initial(self._poll_until_fresh(feeder, connection))
                with self._following(feeder):
                    while True:
                        self._check_freshness(self._poll(feeder, connection))
        except _FeederUnreliable as left:
            if left.lost:
                self._lost_at_s[feeder] = steady_now_s()
            self._log.event(
                "zone",
                "feeder_left",
                "following the store instead of a feeder",
                feeder=feeder,
                reason=left.reason,
                fed_for_s=truncate_number(steady_now_s() - began_s),
            )

    @contextmanager
    def _following(self, feeder: str) -> Iterator[None]:
        if not self._all_feeds_settled:
            raise _FeederUnreliable("store lost here meanwhile", lost=False)
        self._log.event("zone", "feeder_followed", "fed by a peer", feeder=feeder)
        self.fed = True
        self._feeder_address = feeder
        for feed in self._feeds.values():
            feed.suspend()
        try:
            yield
        finally:
            self.fed = False
            self._feeds[FeedKind.REGISTRY].resume(self._core.registry.revision)
            self._feeds[FeedKind.CONFIGURATION].resume(self._core.routes.revision)

    def _poll(self, feeder: str, connection: StoreConnection) -> ZoneNews:
        """Ask for news, and take them in."""
        config = self._core.routes.revision
        if not self._feeds[FeedKind.CONFIGURATION].settled:
            # It is being read; once that has ended, an older one is asked for again.
            config = max(config, self._requested_config_revision)
        registry = self._core.registry.revision
        seen = self._core.seen(steady_now_s())
        question = ZoneQuestion(self._settings.reached_at, config, registry, seen)
        try:
            path = f"{NEWS_PATH}?{question.query}"
            body = connection.get(path, POLL_WAIT_S + POLL_TIMEOUT_MARGIN_S)
            answer = read_feeder_answer(body)
        except PlatformAnswerError:
            # It lives: it has just started, or is about to stop.
            raise _FeederUnreliable("it does not feed", lost=False) from None
        except (EndivepickError, msgspec.MsgspecError) as error:
            raise _FeederUnreliable(str(error), lost=True) from None
        match answer:
            case FeederFull():
                self._full_at_s[feeder] = steady_now_s()
                raise _FeederUnreliable("it feeds as many as it can", lost=False)
            case FeederAhead():
                raise _FeederUnreliable("it cannot tell what changed", lost=False)
            case ZoneNews():
                self._neighbours.mark_alive(feeder, steady_now_s())
                self._core.on_seen(answer.seen, steady_now_s())
                self._apply_news(answer.registry, answer.config_change)
                return answer

    def report_observations(self) -> None:
        """Tell the zone what speaks against targets here; never waits.

        A question is held for most of a second, in which each instance would go on to
        lose requests to a target that others know to be bad.
        """
        now_s = steady_now_s()
        if now_s - self._report_sent_s < REPORT_PERIOD_S or not self._core.doubts(
            now_s
        ):
            return
        self._report_sent_s = now_s
        if self.feeder.feeding:
            self.feeder.notify_new_outliers()
        elif self.fed:
            gevent.spawn(self._send_report, self._feeder_address)

    def _send_report(self, feeder: str) -> None:
        seen = self._core.seen(steady_now_s())
        if not seen.urgent:
            return
        question = ZoneQuestion(self._settings.reached_at, 0, 0, seen)
        try:
            with store_connection(feeder) as connection:
                connection.get(f"{SEEN_PATH}?{question.query}", POLL_TIMEOUT_MARGIN_S)
        except (EndivepickError, ValueError) as error:
            # The next question brings the same, and shows whether the feeder is lost.
            self._log.event("zone", "seen_untold", "feeder not told", error=str(error))

    def _poll_until_fresh(self, feeder: str, connection: StoreConnection) -> ZoneNews:
        """Ask a feeder until it may have heard of the store since the first question.

        Nobody may have asked it before, so that it kept a long watch.  Taken for lost,
        it would lose its place to one that does no better, and so on.
        """
        until_s = (
            steady_now_s() + self._freshness.feeding_wait_s + ANSWER_TIMEOUT_MARGIN_S
        )
        news = self._poll(feeder, connection)
        while self._is_stale(news) and steady_now_s() < until_s:
            gevent.sleep(POLL_RETRY_DELAY_S)
            news = self._poll(feeder, connection)
        return news

    def _is_stale(self, news: ZoneNews) -> bool:
        return news.heard_before_s > self._freshness.feeder_silent_s

    def _check_initial(self, news: ZoneNews) -> None:
        """Take a feeder for lost that the store does not answer, though it does us.

        The claims have just been read here.  Otherwise those whom it fed would come
        back to it every few seconds until its partition ends.
        """
        try:
            self._check_freshness(news)
        except _FeederUnreliable as left:
            raise _FeederUnreliable(left.reason, lost=True) from None

    def _check_freshness(self, news: ZoneNews) -> None:
        """Rely on a feeder only while the store answers it."""
        if self._is_stale(news):
            reason = f"store silent there for {news.heard_before_s:.1f} s"
            raise _FeederUnreliable(reason, lost=False)
        self._update_heard(FeedKind.CONFIGURATION, news.heard_before_s)
        # Lapsed entries are given up on the registry's own word only.
        self._update_heard(FeedKind.REGISTRY, news.registry_before_s)
        if news.config_revision > self._core.routes.revision:
            self._requested_config_revision = news.config_revision
            self._feeds[FeedKind.CONFIGURATION].list_again()

    def _update_heard(self, kind: FeedKind, before_s: float) -> None:
        feed = self._feeds[kind]
        feed.heard_s = max(feed.heard_s, steady_now_s() - before_s)


def _drop_expired(noted_s: Mapping[str, float]) -> dict[str, float]:
    limit_s = steady_now_s() - FEEDER_STATE_TTL_S
    return {address: at_s for address, at_s in noted_s.items() if at_s > limit_s}


def _sleep(bounds_s: tuple[float, float]) -> None:
    gevent.sleep(random.uniform(*bounds_s))
