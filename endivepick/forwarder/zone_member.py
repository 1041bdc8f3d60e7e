"""Elects the feeders of a zone by claims in the store, and follows a feeder.

A feeder is an instance that follows the store and serves the changes to other instances
of its zone. While an instance follows a feeder, it does not watch the store, so its
knowledge is as fresh as its feeder's: each answer carries the time since the store last
answered the feeder. If that time exceeds a limit, or the feeder does not answer, the
instance follows the store itself at once.

The feeder sends a new configuration as a delta. If the feeder does not know the delta,
or the delta is too large for its link, which also carries packets, it sends only the
new revision, and the instance reads the configuration from the store.
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
    bound_instances,
    choose_step,
)
from endivepick.forwarder.followed_feeds import FeederUnreliable, FollowedFeeds
from endivepick.forwarder.freshness import (
    ANSWER_TIMEOUT_MARGIN_S,
    POLL_WAIT_S,
    compute_freshness,
)
from endivepick.forwarder.logs import BoundedLog, truncate_number
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
from endivepick.forwarding import ForwardingCore
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
"""Range of the delay before claims are first read. It lies within the pause that
follows a list, so that an instance follows a feeder before it starts its first watches,
which saves two calls for each start."""
CLAIM_WRITE_DELAY_S = (0.0, 2.0)
"""Range of the delay before a claim found free at a start is written. Without it, all
instances that start at once would try to write it, and all but one would fail."""
CLAIM_CHECK_PERIOD_S = (15.0, 25.0)
"""Range of the period at which a feeder checks that it still holds its claim."""
RETRY_DELAY_S = (1.0, 4.0)
"""Range of the delay after a feeder was left; the store is followed meanwhile."""
POLL_TIMEOUT_MARGIN_S = 0.5
"""Margin added to the hold time of a poll; a feeder that answers later is considered
frozen or cut off."""
REPORT_PERIOD_S = 0.3
"""Minimum time between two reports of failing targets to a feeder, outside of polls."""
FEEDER_STATE_TTL_S = 10.0
"""How long a feeder that did not answer is regarded as lost, and one that refused for
lack of capacity as full."""
POLL_RETRY_DELAY_S = 0.2
"""Delay before a stale feeder is polled again; a feeder that has news answers each poll
at once."""
MAX_CHECKED_HOLDERS = 4
"""Maximum number of other feeders that are checked after one was lost."""
MAX_FEEDERS = 64
"""Maximum number of feeders of a zone; 64 feed 1,536 instances, three times the largest
expected zone."""


class ZoneMember:
    """Task that makes an instance a feeder of its zone or a follower of one.

    Parameters
    ----------
    settings : ForwarderSettings
        Zone, addresses, number of feeders.
    core : ForwardingCore
        Registry, routes and fitness reports of this instance.
    feeds : mapping of FeedKind to StoreFeed
        Suspended while the instance follows a feeder.
    dialect : StoreDialect
        Encodes and decodes the claims in the store.
    apply_news : callable
        Called with the news that a feeder sends.
    neighbours : Neighbours
        Records the feeders and the fed instances of this instance.
    log : BoundedLog
        Log of the zone events.
    """

    def __init__(
        self,
        settings: ForwarderSettings,
        core: ForwardingCore,
        feeds: Mapping[FeedKind, StoreFeed],
        dialect: StoreDialect,
        apply_news: Callable[[ZoneNews], None],
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
        self._followed = FollowedFeeds(core, feeds, self._freshness)
        number = MAX_FEEDERS if settings.zone_feeders else 0
        self._claim_names = [f"{settings.zone}.{n}" for n in range(number)]
        self._lost_at_s: dict[str, float] = {}
        self._full_at_s: dict[str, float] = {}
        self._requested_config_revision = 0
        self._feeder_address = ""
        self._report_sent_s = float("-inf")
        self._stopping = False
        self.feeder = ZoneFeeder(settings, core, feeds, neighbours, log)
        """Serves the followers of this instance."""
        self.fed = False
        """Whether this instance follows a feeder instead of the store."""

    def stop(self) -> None:
        """Make the followers of this instance look for another feeder."""
        self._stopping = True
        self.feeder.stop()

    def run(self) -> None:
        """Serve as a feeder or follow one, as the claims say, until a planned stop."""
        if not self._claim_names or not self._settings.peer_address:
            return
        _sleep(CLAIM_READ_DELAY_S)
        claims = self._read_initial_claims() if self._core.ready else None
        while not self._stopping:
            if not self._core.ready or not self._followed.all_settled:
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
        """Read the claims; None, after a random delay, if they must be read again.

        This is so if a claim was free: another instance that starts at the same time is
        likely to have written it during the delay.
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
        self._log.warning(
            "zone",
            "claims_unknown",
            "failed to read or write the feeder claims",
            error=str(error),
        )

    def _act_on_claims(self, claims: tuple[FeederClaim, ...] | None = None) -> None:
        """Act on the claims; read them first unless they have just been read."""
        with store_connection(self._settings.store_address) as store:
            if claims is None:
                claims = self._read_claims(store)
            self._check_holders(claims)
            step = choose_step(
                self._settings.advertised_address,
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
        body = store.get(path, self._settings.call_timeout_s)
        claims = self._dialect.read_claims(body)
        self._core.set_instance_bound(
            bound_instances(claims, len(self._settings.zones), self._settings.fed_most)
        )
        return claims

    def _check_holders(self, claims: Sequence[FeederClaim]) -> None:
        """Check whether other feeders are lost too, after one was lost.

        One fault may affect several feeders. A lost feeder that no instance follows any
        more would keep its claim forever.
        """
        lost = self._lost_feeders()
        if not lost:
            return
        excluded = ("", self._settings.advertised_address, *lost)
        holders = [
            claim.holder
            for claim in claims
            if claim.name in self._claim_names and claim.holder not in excluded
        ]
        for holder in random.sample(holders, min(len(holders), MAX_CHECKED_HOLDERS)):
            self._check_holder(holder)

    def _check_holder(self, holder: str) -> None:
        """Mark a holder as lost if it does not answer; any status counts as an answer.

        This includes an instance that is about to stop.
        """
        call = StoreCall(
            "GET", f"{HELLO_PATH}?from={self._settings.advertised_address}"
        )
        try:
            with store_connection(holder) as connection:
                outcome = connection.call(call, CallLimits(POLL_TIMEOUT_MARGIN_S))
        except ValueError as error:
            # The claim contains no valid address.
            outcome = NotSent(str(error))
        match outcome:
            case NotSent(reason=reason) | AnswerLost(reason=reason):
                self._lost_at_s[holder] = steady_now_s()
                self._log.event(
                    "zone",
                    "holder_lost",
                    "another feeder does not answer",
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
            self.feeder.start_feeding()

    def _lost_feeders(self) -> list[str]:
        self._lost_at_s = _drop_expired(self._lost_at_s)
        return list(self._lost_at_s)

    def _full_feeders(self) -> list[str]:
        self._full_at_s = _drop_expired(self._full_at_s)
        return list(self._full_at_s)

    def _serve_as_feeder(self) -> None:
        """Feed other instances until the claims are next read."""
        self.feeder.start_feeding()
        _sleep(CLAIM_CHECK_PERIOD_S)

    def _follow(self, feeder: str) -> None:
        """Follow a feeder until it is unreliable."""
        self.feeder.end_feeding()
        began_s = steady_now_s()
        try:
            with store_connection(feeder) as connection:
                news = self._poll_until_fresh(feeder, connection)
                self._check_initial(news)
                with self._following(feeder):
                    while True:
                        self._followed.on_news(news)
                        self._read_unsent_configuration(news)
                        news = self._poll(feeder, connection)
        except FeederUnreliable as failure:
            if failure.lost:
                self._lost_at_s[feeder] = steady_now_s()
            self._log.event(
                "zone",
                "feeder_left",
                "left the feeder; following the store",
                feeder=feeder,
                reason=failure.reason,
                fed_for_s=truncate_number(steady_now_s() - began_s),
            )

    @contextmanager
    def _following(self, feeder: str) -> Iterator[None]:
        self._log.event("zone", "feeder_followed", "following a feeder", feeder=feeder)
        self.fed = True
        self._feeder_address = feeder
        try:
            with self._followed.following():
                yield
        finally:
            self.fed = False

    def _read_unsent_configuration(self, news: ZoneNews) -> None:
        """Read a configuration from the store whose change the feeder did not send."""
        if news.config_revision > self._core.routes.revision:
            self._requested_config_revision = news.config_revision
            self._feeds[FeedKind.CONFIGURATION].request_list()

    def _poll(self, feeder: str, connection: StoreConnection) -> ZoneNews:
        """Poll the feeder for news and apply them."""
        config = self._core.routes.revision
        if not self._feeds[FeedKind.CONFIGURATION].settled:
            # The configuration is being read. Polling with the requested revision
            # avoids an immediate answer; when the read ends with an older revision, it
            # is requested again.
            config = max(config, self._requested_config_revision)
        poll = ZoneQuestion(
            self._settings.advertised_address,
            config,
            self._core.registry.revision,
            self._core.build_report(steady_now_s()),
            self._evacuation_revision,
        )
        try:
            path = f"{NEWS_PATH}?{poll.query}"
            body = connection.get(path, POLL_WAIT_S + POLL_TIMEOUT_MARGIN_S)
            answer = read_feeder_answer(body)
        except PlatformAnswerError:
            # The feeder is alive; it has just started or is about to stop.
            raise FeederUnreliable("instance is no feeder", lost=False) from None
        except (EndivepickError, msgspec.MsgspecError) as error:
            raise FeederUnreliable(str(error), lost=True) from None
        match answer:
            case FeederFull():
                self._full_at_s[feeder] = steady_now_s()
                raise FeederUnreliable(
                    "feeder has reached its limit of instances", lost=False
                )
            case FeederAhead():
                raise FeederUnreliable("feeder cannot send the changes", lost=False)
            case ZoneNews():
                self._apply(feeder, answer)
                return answer

    def _apply(self, feeder: str, news: ZoneNews) -> None:
        self._neighbours.mark_alive(feeder, steady_now_s())
        self._core.on_zone_report(news.seen, steady_now_s())
        if news.instances is not None:
            self._core.set_instance_bound(news.instances)
        self._apply_news(news)

    @property
    def _evacuation_revision(self) -> int | None:
        """Revision up to which the evacuated zones are known, None if not read."""
        if FeedKind.EVACUATIONS not in self._feeds:
            return None
        return self._core.evacuated.revision

    def report_observations(self) -> None:
        """Report suspected targets to the zone without blocking.

        A poll is held for most of a second. Without a report in between, each instance
        would lose requests to a target that others already know to be failing.
        """
        now_s = steady_now_s()
        if now_s - self._report_sent_s < REPORT_PERIOD_S or not self._core.has_suspects(
            now_s
        ):
            return
        self._report_sent_s = now_s
        if self.feeder.feeding:
            self.feeder.notify_new_outliers()
        elif self.fed:
            gevent.spawn(self._send_report, self._feeder_address)

    def _send_report(self, feeder: str) -> None:
        report = self._core.build_report(steady_now_s())
        if not report.is_urgent:
            return
        poll = ZoneQuestion(self._settings.advertised_address, 0, 0, report)
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

    def _poll_until_fresh(self, feeder: str, connection: StoreConnection) -> ZoneNews:
        """Poll until the news is fresh or a short watch must have been answered.

        If nobody has polled the feeder before, its watch of the store is a long one, so
        its first answers may be stale. If it were considered lost for that, its claim
        would pass to another instance in the same state, and so on.
        """
        until_s = (
            steady_now_s() + self._freshness.feeding_wait_s + ANSWER_TIMEOUT_MARGIN_S
        )
        news = self._poll(feeder, connection)
        while self._followed.is_stale(news) and steady_now_s() < until_s:
            gevent.sleep(POLL_RETRY_DELAY_S)
            news = self._poll(feeder, connection)
        return news

    def _check_initial(self, news: ZoneNews) -> None:
        """Consider a feeder lost if its news are stale although the store answers here.

        The claims have just been read here, so the store is reachable. If the feeder
        kept its claim, its followers would return to it every few seconds until its
        partition ends.
        """
        if not self._followed.all_settled:
            raise FeederUnreliable(
                "store became unreachable from this instance", lost=False
            )
        if self._followed.is_stale(news):
            reason = f"store silent there for {news.heard_before_s:.1f} s"
            raise FeederUnreliable(reason, lost=True)


def _drop_expired(noted_s: Mapping[str, float]) -> dict[str, float]:
    limit_s = steady_now_s() - FEEDER_STATE_TTL_S
    return {address: at_s for address, at_s in noted_s.items() if at_s > limit_s}


def _sleep(bounds_s: tuple[float, float]) -> None:
    gevent.sleep(random.uniform(*bounds_s))
