"""Elects the feeders of a zone by claims in the store.

A feeder is an instance that follows the store and serves the changes to other instances
of its zone; `endivepick.forwarder.feeder_follower` says how these follow it.  A feeder
that stops passes its claim to one of them.
"""

import random
import time
from collections.abc import Callable, Mapping, Sequence

import gevent

from endivepick.clock import steady_now_s
from endivepick.errors import EndivepickError
from endivepick.forwarder.feeder_election import (
    Feed,
    FollowFeeder,
    WriteClaim,
    bound_instances,
    choose_step,
)
from endivepick.forwarder.feeder_follower import (
    FeederFollower,
    FeederLeft,
    FeederRoleReceived,
    FeederState,
)
from endivepick.forwarder.freshness import POLL_TIMEOUT_MARGIN_S
from endivepick.forwarder.load_exchange import LoadExchange
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.object_lists import ListSource, read_stale_page
from endivepick.forwarder.peer_directory import Neighbours
from endivepick.forwarder.peers import HELLO_PATH
from endivepick.forwarder.ports import FeederClaim, FeedKind, StoreDialect
from endivepick.forwarder.settings import ForwarderSettings
from endivepick.forwarder.store_feed import StoreFeed
from endivepick.forwarder.zone_feeder import ZoneFeeder
from endivepick.forwarder.zone_messages import ZoneNews
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
CLAIM_WRITE_DELAY_S = (0.0, 1.0)
"""Range of the delay before a claim found free at a start is written. Without it, all
instances that start at once would try to write it, and all but one would fail. It lies
within the pause that follows the first list, like `CLAIM_READ_DELAY_S`."""
CLAIM_CHECK_PERIOD_S = (15.0, 25.0)
"""Range of the period at which a feeder checks that it still holds its claim."""
ROLE_CHECK_DELAY_S = (8.0, 12.0)
"""Range of the delay before an instance that received a claim reads the claims; it
exceeds the age of what the store returns at the lower price."""
RETRY_DELAY_S = (1.0, 4.0)
"""Range of the delay after a feeder was left; the store is followed meanwhile."""
REPORT_PERIOD_S = 0.3
"""Minimum time between two reports of failing targets to the zone, outside of polls."""
HAND_OVER_TIMEOUT_S = 0.5
"""Maximum time for which a stopping feeder waits for the store; afterwards its
followers look for another feeder by themselves."""
FEEDER_STATE_TTL_S = 10.0
"""How long a feeder that did not answer is regarded as lost, and one that refused for
lack of capacity as full."""
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
        self._dialect = dialect
        self._log = log
        number = MAX_FEEDERS if settings.zone_feeders else 0
        self._claim_names = [f"{settings.zone}.{n}" for n in range(number)]
        self._lost_at_s: dict[str, float] = {}
        self._full_at_s: dict[str, float] = {}
        self._claim: FeederClaim | None = None
        self._report_sent_s = float("-inf")
        self._stopping = False
        self.feeder = ZoneFeeder(settings, core, feeds, neighbours, log)
        """Serves the followers of this instance."""
        self.follower = FeederFollower(
            settings, core, feeds, apply_news, neighbours, log
        )
        """Follows the feeder of this instance."""
        self.load_exchange: LoadExchange | None = None
        """Exchanges load with other feeders, None if load is not shared."""
        if core.load is not None:
            own_address = settings.advertised_address
            core.load.begin(own_address, int(time.time() * 1000))
            self.load_exchange = LoadExchange(settings, core.load, log)

    def stop(self) -> None:
        """Make the followers of this instance follow another feeder."""
        self._stopping = True
        if self.feeder.feeding:
            gevent.spawn(self._hand_over)
            return
        self.feeder.stop()
        if self.follower.fed:
            self.follower.announce_stop()

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
        elif self.follower.fed:
            self.follower.report_observations()

    def run(self) -> None:
        """Serve as a feeder or follow one, as the claims say, until a planned stop."""
        if not self._claim_names or not self._settings.peer_address:
            return
        _sleep(CLAIM_READ_DELAY_S)
        claims = self._read_initial_claims() if self._core.ready else None
        while not self._stopping:
            if not self._core.ready or not self.follower.store_answers:
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
            case Feed(claim):
                self._serve_as_feeder(claim)
            case FollowFeeder(claim):
                self._follow(claim.holder)
                if not self.feeder.feeding:
                    _sleep(RETRY_DELAY_S)
            case _:
                _sleep(RETRY_DELAY_S)

    def _read_claims(self, store: StoreConnection) -> tuple[FeederClaim, ...]:
        timeout_s = self._settings.call_timeout_s
        source = ListSource(store, self._dialect, FeedKind.CLAIMS, timeout_s, True)
        items = read_stale_page(source).items
        claims = tuple(item for item in items if isinstance(item, FeederClaim))
        if self.load_exchange is not None:
            self.load_exchange.directory.set_claims(claims)
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

    def _serve_as_feeder(self, claim: FeederClaim) -> None:
        """Feed other instances until the claims are next read."""
        self._claim = claim
        self.feeder.start_feeding()
        _sleep(CLAIM_CHECK_PERIOD_S)

    def _follow(self, feeder: str) -> None:
        """Follow a feeder until it is unreliable, or makes this instance a feeder."""
        self.feeder.end_feeding()
        match self.follower.follow(feeder):
            case FeederLeft(address, _, state):
                if state is FeederState.LOST:
                    self._lost_at_s[address] = steady_now_s()
                elif state is FeederState.FULL:
                    self._full_at_s[address] = steady_now_s()
            case FeederRoleReceived():
                self.feeder.start_feeding()
                # Until then the claims, which may be out of date, name the predecessor.
                _sleep(ROLE_CHECK_DELAY_S)

    def _hand_over(self) -> None:
        """Pass the claim to a follower before a planned stop, then stop feeding.

        Otherwise all followers would follow the store until one of them has found the
        claim's holder lost and replaced it.
        """
        successor = ""
        try:
            chosen = self.feeder.choose_successor()
            if self._claim and chosen and self._pass_claim(self._claim, chosen):
                successor = chosen
        finally:
            self.feeder.stop(successor)

    def _pass_claim(self, claim: FeederClaim, successor: str) -> bool:
        """Write a successor into the claim; return whether it was written."""
        passed = FeederClaim(claim.name, successor, claim.revision)
        try:
            with store_connection(self._settings.store_address) as store:
                written = store.write(
                    self._dialect.write_claim(passed), HAND_OVER_TIMEOUT_S
                )
        except EndivepickError as error:
            self._log_unknown_claims(error)
            return False
        self._log.event(
            "zone",
            "feeder_passed_on" if written else "claim_lost",
            "place of a feeder passed on" if written else "place taken by another",
            claim=claim.name,
            before_revision=claim.revision,
            successor=successor,
        )
        return written


def _drop_expired(noted_s: Mapping[str, float]) -> dict[str, float]:
    limit_s = steady_now_s() - FEEDER_STATE_TTL_S
    return {address: at_s for address, at_s in noted_s.items() if at_s > limit_s}


def _sleep(bounds_s: tuple[float, float]) -> None:
    gevent.sleep(random.uniform(*bounds_s))
