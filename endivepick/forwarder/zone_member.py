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
from endivepick.forwarder.feeder_election import (
    Feed,
    FollowFeeder,
    WriteClaim,
    next_step,
)
from endivepick.forwarder.freshness import ANSWER_SLACK_S, POLL_WAIT_S, freshness_of
from endivepick.forwarder.logs import BoundedLog, rounded
from endivepick.forwarder.peer_directory import Neighbours
from endivepick.forwarder.peers import HELLO_PATH, NEWS_PATH, SEEN_PATH
from endivepick.forwarder.ports import FeederClaim, FeedKind, StoreDialect
from endivepick.forwarder.settings import ForwarderSettings
from endivepick.forwarder.store_feed import StoreFeed
from endivepick.forwarder.zone_feeder import ZoneFeeder
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

ENROL_S = (0.1, 0.6)
"""Wait before claims are first read.  Within the pause that follows a list an instance
is fed before its first watches: two calls less a start."""
SPREAD_S = (0.0, 2.0)
"""Wait before a place found free at a start is claimed: instances that start at once
would all try, and all but one of them in vain."""
REVIEW_S = (15.0, 25.0)
"""How often a feeder looks whether its claim still stands."""
RETRY_S = (1.0, 4.0)
"""Wait after a feeder was left; meanwhile the store is followed."""
POLL_SLACK_S = 0.5
"""An answer that comes later is none: the feeder is frozen or cut off."""
TELL_EVERY_S = 0.3
"""How often a feeder is told of targets that fail, between questions."""
LOST_MEMORY_S = 10.0
"""How long a feeder that did not answer is remembered as lost, or one that could feed
no more as full."""
ASK_AGAIN_S = 0.2
"""Pause before a feeder is asked again; one with news answers at once each time."""
GREETED_HOLDERS = 4
"""Feeders that are greeted after one was lost, at most."""
MOST_PLACES = 64
"""Feeders that a zone may have; 64 feed 1,536 instances, three times the largest zone
that is expected."""


class _FeederLeft(Exception):
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
        take: Callable[[RegistryNews, ConfigurationChange | None], None],
        neighbours: Neighbours,
        log: BoundedLog,
    ) -> None:
        self._settings = settings
        self._core = core
        self._feeds = feeds
        self._dialect = dialect
        self._take = take
        self._neighbours = neighbours
        self._log = log
        self._freshness = freshness_of(settings)
        number = MOST_PLACES if settings.zone_feeders else 0
        self._places = [f"{settings.zone}.{n}" for n in range(number)]
        self._lost_s: dict[str, float] = {}
        self._full_s: dict[str, float] = {}
        self._asked_config = 0
        self._feeder_address = ""
        self._seen_told_s = float("-inf")
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
        if not self._places or not self._settings.peer_address:
            return
        _sleep(ENROL_S)
        claims = self._first_claims() if self._core.ready else None
        while not self._stopping:
            if not self._core.ready or not self._all_settled:
                _sleep(RETRY_S)
                claims = None
                continue
            try:
                self._step(claims)
            except EndivepickError as error:
                self._say_unknown(error)
                _sleep(RETRY_S)
            claims = None

    def _first_claims(self) -> tuple[FeederClaim, ...] | None:
        """Read the claims; None if they are to be read again after a while.

        Others that start at the same time claim a free place.
        """
        try:
            with store_connection(self._settings.store_address) as store:
                claims = self._claims(store)
        except EndivepickError as error:
            self._say_unknown(error)
            claims = ()
        held = {claim.name for claim in claims}
        if held.issuperset(self._places[: self._settings.zone_feeders]):
            return claims
        _sleep(SPREAD_S)
        return None

    def _say_unknown(self, error: EndivepickError) -> None:
        self._log.warning("zone", "claims_unknown", "claims not read", error=str(error))

    @property
    def _all_settled(self) -> bool:
        return all(feed.settled for feed in self._feeds.values())

    def _step(self, claims: tuple[FeederClaim, ...] | None = None) -> None:
        """Do what the claims say; they are read unless that was done just before."""
        with store_connection(self._settings.store_address) as store:
            if claims is None:
                claims = self._claims(store)
            self._greet_holders(claims)
            step = next_step(
                self._settings.reached_at,
                self._places,
                self._settings.zone_feeders,
                claims,
                self._lost(),
                self._full(),
                random.random,
            )
            if isinstance(step, WriteClaim):
                self._write(store, step.claim)
        match step:
            case Feed():
                self._feed()
            case FollowFeeder(claim):
                self._follow(claim.holder)
                _sleep(RETRY_S)
            case _:
                _sleep(RETRY_S)

    def _claims(self, store: StoreConnection) -> tuple[FeederClaim, ...]:
        path = self._dialect.claims_path()
        return self._dialect.read_claims(store.get(path, self._settings.call_timeout_s))

    def _greet_holders(self, claims: Sequence[FeederClaim]) -> None:
        """Look for other feeders that are lost as well, once one was.

        What took one may have taken several.  A lost one whom nobody follows any more
        would keep its place for good.
        """
        lost = self._lost()
        if not lost:
            return
        passed_over = ("", self._settings.reached_at, *lost)
        holders = [
            claim.holder
            for claim in claims
            if claim.name in self._places and claim.holder not in passed_over
        ]
        for holder in random.sample(holders, min(len(holders), GREETED_HOLDERS)):
            self._greet(holder)

    def _greet(self, holder: str) -> None:
        """Any answer is a sign of life, also that of one that is about to stop."""
        call = StoreCall("GET", f"{HELLO_PATH}?from={self._settings.reached_at}")
        try:
            with store_connection(holder) as connection:
                outcome = connection.call(call, CallLimits(POLL_SLACK_S))
        except ValueError as error:
            # The claim names no address.
            outcome = NotSent(str(error))
        match outcome:
            case NotSent(reason=reason) | AnswerLost(reason=reason):
                self._lost_s[holder] = steady_now_s()
                self._log.event(
                    "zone",
                    "holder_lost",
                    "another feeder does not answer either",
                    feeder=holder,
                    error=reason,
                )

    def _write(self, store: StoreConnection, claim: FeederClaim) -> None:
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

    def _lost(self) -> list[str]:
        self._lost_s = _recent(self._lost_s)
        return list(self._lost_s)

    def _full(self) -> list[str]:
        self._full_s = _recent(self._full_s)
        return list(self._full_s)

    def _feed(self) -> None:
        """Feed others until the claim is read again."""
        self.feeder.begin()
        _sleep(REVIEW_S)

    def _follow(self, feeder: str) -> None:
        """Be fed until the feeder cannot be relied on."""
        self.feeder.end()
        began_s = steady_now_s()
        try:
            with store_connection(feeder) as connection:
                self._check_first(self._first_news(feeder, connection))
                with self._fed(feeder):
                    while True:
                        self._check(self._poll(feeder, connection))
        except _FeederLeft as left:
            if left.lost:
                self._lost_s[feeder] = steady_now_s()
            self._log.event(
                "zone",
                "feeder_left",
                "following the store instead of a feeder",
                feeder=feeder,
                reason=left.reason,
                fed_for_s=rounded(steady_now_s() - began_s),
            )

    @contextmanager
    def _fed(self, feeder: str) -> Iterator[None]:
        if not self._all_settled:
            raise _FeederLeft("store lost here meanwhile", lost=False)
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
            config = max(config, self._asked_config)
        registry = self._core.registry.revision
        seen = self._core.seen(steady_now_s())
        question = ZoneQuestion(self._settings.reached_at, config, registry, seen)
        try:
            path = f"{NEWS_PATH}?{question.query}"
            body = connection.get(path, POLL_WAIT_S + POLL_SLACK_S)
            answer = read_feeder_answer(body)
        except PlatformAnswerError:
            # It lives: it has just started, or is about to stop.
            raise _FeederLeft("it does not feed", lost=False) from None
        except (EndivepickError, msgspec.MsgspecError) as error:
            raise _FeederLeft(str(error), lost=True) from None
        match answer:
            case FeederFull():
                self._full_s[feeder] = steady_now_s()
                raise _FeederLeft("it feeds as many as it can", lost=False)
            case FeederAhead():
                raise _FeederLeft("it cannot tell what changed", lost=False)
            case ZoneNews():
                self._neighbours.heard(feeder, steady_now_s())
                self._core.on_seen(answer.seen, steady_now_s())
                self._take(answer.registry, answer.config_change)
                return answer

    def tell_seen(self) -> None:
        """Tell the zone what speaks against targets here; never waits.

        A question is held for most of a second, in which each instance would go on to
        lose requests to a target that others know to be bad.
        """
        now_s = steady_now_s()
        if now_s - self._seen_told_s < TELL_EVERY_S or not self._core.doubts(now_s):
            return
        self._seen_told_s = now_s
        if self.feeder.feeding:
            self.feeder.review_seen()
        elif self.fed:
            gevent.spawn(self._tell_feeder, self._feeder_address)

    def _tell_feeder(self, feeder: str) -> None:
        seen = self._core.seen(steady_now_s())
        if not seen.urgent:
            return
        question = ZoneQuestion(self._settings.reached_at, 0, 0, seen)
        try:
            with store_connection(feeder) as connection:
                connection.get(f"{SEEN_PATH}?{question.query}", POLL_SLACK_S)
        except (EndivepickError, ValueError) as error:
            # The next question brings the same, and shows whether the feeder is lost.
            self._log.event("zone", "seen_untold", "feeder not told", error=str(error))

    def _first_news(self, feeder: str, connection: StoreConnection) -> ZoneNews:
        """Ask a feeder until it may have heard of the store since the first question.

        Nobody may have asked it before, so that it kept a long watch.  Taken for lost,
        it would lose its place to one that does no better, and so on.
        """
        until_s = steady_now_s() + self._freshness.feeding_wait_s + ANSWER_SLACK_S
        news = self._poll(feeder, connection)
        while self._is_stale(news) and steady_now_s() < until_s:
            gevent.sleep(ASK_AGAIN_S)
            news = self._poll(feeder, connection)
        return news

    def _is_stale(self, news: ZoneNews) -> bool:
        return news.heard_before_s > self._freshness.feeder_silent_s

    def _check_first(self, news: ZoneNews) -> None:
        """Take a feeder for lost that the store does not answer, though it does us.

        The claims have just been read here.  Otherwise those whom it fed would come
        back to it every few seconds until its partition ends.
        """
        try:
            self._check(news)
        except _FeederLeft as left:
            raise _FeederLeft(left.reason, lost=True) from None

    def _check(self, news: ZoneNews) -> None:
        """Rely on a feeder only while the store answers it."""
        if self._is_stale(news):
            reason = f"store silent there for {news.heard_before_s:.1f} s"
            raise _FeederLeft(reason, lost=False)
        self._note_heard(FeedKind.CONFIGURATION, news.heard_before_s)
        # Lapsed entries are given up on the registry's own word only.
        self._note_heard(FeedKind.REGISTRY, news.registry_before_s)
        if news.config_revision > self._core.routes.revision:
            self._asked_config = news.config_revision
            self._feeds[FeedKind.CONFIGURATION].list_again()

    def _note_heard(self, kind: FeedKind, before_s: float) -> None:
        feed = self._feeds[kind]
        feed.heard_s = max(feed.heard_s, steady_now_s() - before_s)


def _recent(noted_s: Mapping[str, float]) -> dict[str, float]:
    limit_s = steady_now_s() - LOST_MEMORY_S
    return {address: at_s for address, at_s in noted_s.items() if at_s > limit_s}


def _sleep(bounds_s: tuple[float, float]) -> None:
    gevent.sleep(random.uniform(*bounds_s))
