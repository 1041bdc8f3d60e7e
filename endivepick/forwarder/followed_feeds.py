"""Suspends the feeds of an instance while the news of its feeder are fresh.

Each answer of a feeder carries the time since the store last answered it.  Beyond a
limit, either the feeder alone is cut off from the store, or the store answers nobody.
The instance finds out by one call of its own and keeps polling the feeder meanwhile:

- The store answers the instance: it follows the store at once, and leaves the feeder if
  its news stay stale.
- The store does not answer either: the feeder retries as often as the instance, so the
  first of both to get an answer ends the check.  Without this, every instance would
  read all kinds, and the claims, again after each outage of the store.
"""

from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager

from endivepick.clock import steady_now_s
from endivepick.forwarder.freshness import Freshness
from endivepick.forwarder.ports import REQUIRED_KINDS, FeedKind
from endivepick.forwarder.store_feed import StoreFeed
from endivepick.forwarder.zone_messages import ZoneNews
from endivepick.forwarding import ForwardingCore

__all__ = ["FollowedFeeds"]

FEEDER_RECOVERY_S = 1.5
"""Time for which a stale feeder is still polled after the store has answered here; a
feeder retries an unavailable store about once a second."""


class FollowedFeeds:
    """The feeds of an instance that follows a feeder.

    Parameters
    ----------
    core : ForwardingCore
        Revisions that this instance knows.
    feeds : mapping of FeedKind to StoreFeed
        Suspended while the feeder's news replace them.
    freshness : Freshness
        Limits on the time since the store last answered the feeder.
    """

    def __init__(
        self,
        core: ForwardingCore,
        feeds: Mapping[FeedKind, StoreFeed],
        freshness: Freshness,
    ) -> None:
        self._core = core
        self._feeds = feeds
        self._freshness = freshness
        self._suspended: set[FeedKind] = set()
        self._check_began_s: float | None = None

    @property
    def all_settled(self) -> bool:
        """Whether all required kinds are known and the store answers for them."""
        return all(self._feeds[kind].settled for kind in REQUIRED_KINDS)

    @contextmanager
    def following(self) -> Iterator[None]:
        """Resume all suspended feeds at the end of the context."""
        try:
            yield
        finally:
            self._resume(list(self._suspended))
            self._check_began_s = None

    def is_stale(self, news: ZoneNews) -> bool:
        """Whether the store has not answered the feeder for too long."""
        return news.heard_before_s > self._freshness.feeder_silent_s

    def on_news(self, news: ZoneNews) -> bool:
        """Suspend or resume feeds according to a feeder's answer.

        Returns
        -------
        bool
            False if the feeder is cut off: the store answers this instance and has not
            answered the feeder.
        """
        if self.is_stale(news):
            return self._check_store()
        self._check_began_s = None
        self._suspend(REQUIRED_KINDS)
        self._update_heard(FeedKind.CONFIGURATION, news.heard_before_s)
        # Tracked per kind: lapsed entries are removed only after an answer about the
        # registry itself.
        self._update_heard(FeedKind.REGISTRY, news.registry_before_s)
        self._follow_evacuations(news)
        return True

    def _follow_evacuations(self, news: ZoneNews) -> None:
        """Follow the evacuated zones at the feeder, or else at the store.

        The feeder may be of a build without them, or its reads of this kind may fail
        while those of the other kinds succeed.
        """
        if FeedKind.EVACUATIONS not in self._feeds:
            return
        fresh = news.evacuations_before_s <= self._freshness.evacuations_silent_s
        if news.evacuations is not None and fresh:
            self._suspend([FeedKind.EVACUATIONS])
            self._update_heard(FeedKind.EVACUATIONS, news.evacuations_before_s)
        elif FeedKind.EVACUATIONS in self._suspended:
            self._resume([FeedKind.EVACUATIONS])

    def _check_store(self) -> bool:
        """Find out whether the store answers this instance; False if it does so."""
        now_s = steady_now_s()
        if self._check_began_s is None:
            self._check_began_s = now_s
            self._resume(list(self._suspended), store_silent=True)
            return True
        answered_s = self._feeds[FeedKind.REGISTRY].last_answer_s
        checked_for_s = now_s - self._check_began_s
        answers_here = answered_s > self._check_began_s
        return not (answers_here and checked_for_s >= FEEDER_RECOVERY_S)

    def _suspend(self, kinds: Iterable[FeedKind]) -> None:
        for kind in kinds:
            if kind not in self._suspended:
                self._feeds[kind].suspend()
                self._suspended.add(kind)

    def _resume(self, kinds: list[FeedKind], store_silent: bool = False) -> None:
        # The registry is resumed first: while the store is silent, the first feed
        # calls it and the others wait for an answer.
        for kind in sorted(kinds, key=list(FeedKind).index):
            self._feeds[kind].resume(self._get_revision(kind), store_silent)
            self._suspended.discard(kind)

    def _get_revision(self, kind: FeedKind) -> int:
        match kind:
            case FeedKind.REGISTRY:
                return self._core.registry.revision
            case FeedKind.CONFIGURATION:
                return self._core.routes.revision
            case FeedKind.EVACUATIONS:
                return self._core.evacuations.zones.revision
            case FeedKind.CLAIMS:
                raise ValueError("claims are not followed; read them when needed")

    def _update_heard(self, kind: FeedKind, before_s: float) -> None:
        feed = self._feeds[kind]
        feed.last_answer_s = max(feed.last_answer_s, steady_now_s() - before_s)
