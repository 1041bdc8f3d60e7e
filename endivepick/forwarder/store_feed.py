"""Follows one kind of objects in the store: list, watch, list again."""

import random
from collections.abc import Callable, Iterable
from socket import socket as PlainSocket

import gevent
from msgspec import Struct

from endivepick.backoff import Backoff, BackoffSettings
from endivepick.clock import steady_now_s
from endivepick.errors import (
    PlatformAnswerError,
    PlatformUnavailableError,
    WatchExpiredError,
)
from endivepick.forwarder.circuit_breaker import CircuitBreaker
from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.freshness import ANSWER_SLACK_S, freshness_of
from endivepick.forwarder.logs import rounded
from endivepick.forwarder.ports import FeedKind, Item, StoreDialect
from endivepick.forwarder.settings import ForwarderSettings
from endivepick.forwarder.tasks import spawn_supervised
from endivepick.store import StoreConnection, store_connection

__all__ = ["FeedChanges", "FeedList", "StoreFeed", "heard_before_s"]

_CONFIRM_WAIT_S = 0.2
"""Wait of the first watch after a loss: its answer shows that the store is back."""


class FeedList(Struct, frozen=True):
    """All objects of a kind at one revision.

    Attributes
    ----------
    kind : FeedKind
        Their kind.
    items : tuple of Item
        The objects.
    revision : int
        Revision of the store.
    asked_s : float
        When the store was asked, in seconds; the list shows nothing older.
    """

    kind: FeedKind
    items: tuple[Item, ...]
    revision: int
    asked_s: float


class FeedChanges(Struct, frozen=True):
    """Changes since the last message of the same kind; none if time alone passed.

    Attributes
    ----------
    kind : FeedKind
        Kind of the objects.
    items : tuple of Item
        Objects and removals, oldest first.
    revision : int
        Revision of the store up to which these are all.
    """

    kind: FeedKind
    items: tuple[Item, ...]
    revision: int


class StoreFeed:
    """Task that follows one kind and hands over what it reads.

    Parameters
    ----------
    settings : ForwarderSettings
        Address and times.
    kind : FeedKind
        What it follows.
    dialect : StoreDialect
        Paths and bodies.
    deliver : callable
        Called with ``FeedList`` and ``FeedChanges``.
    decisions : DecisionLog
        Where it says what it does.
    breaker : CircuitBreaker
        Shared with the other feeds of this instance.
    asked : socket, default=None
        Connection on which the first list was asked for already.
    """

    def __init__(
        self,
        settings: ForwarderSettings,
        kind: FeedKind,
        dialect: StoreDialect,
        deliver: Callable[[FeedList | FeedChanges], None],
        decisions: DecisionLog,
        breaker: CircuitBreaker,
        asked: PlainSocket | None = None,
    ) -> None:
        self._asked = asked
        self._settings = settings
        self._kind = kind
        self._dialect = dialect
        self._deliver = deliver
        self._decisions = decisions
        self._log = decisions.log
        self._breaker = breaker
        self._revision = 0
        self._list_wanted = True
        self._suspended = False
        self._task: gevent.Greenlet | None = None
        self._connection: StoreConnection | None = None
        self.heard_s = steady_now_s()
        """When the store last answered, here or to a feeder, in seconds."""
        self._freshness = freshness_of(settings)
        self._watch_wait_s = self._freshness.watch_wait_s
        self._lost_since_s: float | None = None

    @property
    def lost(self) -> bool:
        """Whether the last call failed."""
        return self._lost_since_s is not None

    def arriving(self, within_s: float) -> bool:
        """Whether a list is under way, of which some came within that time.

        Parameters
        ----------
        within_s : float
            The time, in seconds.
        """
        if self._connection is None or not self._list_wanted:
            return False
        return steady_now_s() - self._connection.received_s <= within_s

    def start(self) -> None:
        """Begin to follow."""
        self._task = spawn_supervised(self._kind.value, self._run, self._decisions)

    def stop(self) -> None:
        """End the task."""
        if self._task is not None:
            self._task.kill(block=False)

    @property
    def settled(self) -> bool:
        """Whether the last call was answered and no list is under way."""
        return not self._list_wanted and not self.lost

    def suspend(self) -> None:
        """Follow the store no more: a feeder does."""
        self._suspended = True
        self.stop()

    def resume(self, revision: int) -> None:
        """Follow the store again, from a revision that is known by now."""
        self._suspended = False
        self._revision = max(self._revision, revision)
        self._restart()

    def hold_watches(self, wait_s: float | None = None) -> None:
        """Let the store hold each watch that long from now on.

        A longer one under way is given up: until the store answered it, those who are
        fed would take their feeder for cut off.

        Parameters
        ----------
        wait_s : float or None
            Longest wait, in seconds; None: as the settings say.
        """
        longest_s = self._freshness.watch_wait_s
        wait_s = longest_s if wait_s is None else min(wait_s, longest_s)
        shorter = wait_s < self._watch_wait_s
        self._watch_wait_s = wait_s
        if shorter and self.settled and not self._suspended:
            self._restart()

    def list_again(self) -> None:
        """Read the whole list now, unless that is under way; never waits.

        A suspended feed reads it once and is suspended again.
        """
        if self._list_wanted:
            return
        self._list_wanted = True
        self._restart()

    def _restart(self) -> None:
        """Give up the call under way, and make the next one now."""
        self.stop()
        self.start()

    def _run(self) -> None:
        bounds = BackoffSettings(
            self._settings.retry_base_s, self._settings.retry_cap_s
        )
        backoff = Backoff(bounds)
        asked, self._asked = self._asked, None
        with (
            store_connection(self._settings.store_address, asked) as connection,
            self._breaker.caller() as caller,
        ):
            self._connection = connection
            while True:
                try:
                    changed = self._step(connection)
                except WatchExpiredError:
                    self._count("expired")
                    self._log.warning(
                        "store",
                        "history_lost",
                        "history lost, listing again",
                        kind=self._kind.value,
                        revision=self._revision,
                    )
                    self._list_wanted = True
                except (PlatformUnavailableError, PlatformAnswerError) as error:
                    backoff = backoff.failed(random.random(), _wait_asked(error))
                    self._on_failure(error, backoff.wait_s)
                    connection.close()
                    if self._breaker.failed(caller):
                        gevent.sleep(backoff.wait_s)
                    else:
                        self._breaker.wait()
                else:
                    backoff = backoff.succeeded()
                    self._on_success()
                    if self._suspended:
                        return
                    if changed:
                        gevent.sleep(self._freshness.gather_s)

    def _step(self, connection: StoreConnection) -> bool:
        """Make one call, or one list; returns whether something changed."""
        if self._list_wanted:
            self._list(connection)
            return True
        return self._watch(connection)

    def _list(self, connection: StoreConnection) -> None:
        items: list[Item] = []
        after, revision = "", None
        asked_s = steady_now_s()
        while True:
            path = self._dialect.list_path(self._kind, after)
            body = connection.get(path, self._settings.call_timeout_s)
            page = self._dialect.read_page(self._kind, body)
            items += page.items
            # Changes between two pages are found again by watching from the first.
            revision = page.revision if revision is None else revision
            if after and page.next_after == after:
                raise PlatformAnswerError("A list does not go on after a name.")
            after = page.next_after
            if not after:
                break
        self._revision = revision
        self._list_wanted = False
        self._deliver(FeedList(self._kind, tuple(items), revision, asked_s))

    def _watch(self, connection: StoreConnection) -> bool:
        wait_s = _CONFIRM_WAIT_S if self.lost else self._watch_wait_s
        path = self._dialect.watch_path(self._kind, self._revision, wait_s)
        body = connection.get(path, wait_s + ANSWER_SLACK_S)
        batch = self._dialect.read_changes(self._kind, body)
        if batch.items or batch.revision > self._revision:
            self._deliver(FeedChanges(self._kind, batch.items, batch.revision))
        self._revision = max(self._revision, batch.revision)
        return bool(batch.items)

    def _on_failure(
        self, error: PlatformUnavailableError | PlatformAnswerError, wait_s: float
    ) -> None:
        self._count("failed")
        if self._lost_since_s is not None:
            return
        self._lost_since_s = steady_now_s()
        self._log.warning(
            "store",
            "store_lost",
            "store lost",
            kind=self._kind.value,
            revision=self._revision,
            heard_before_s=rounded(self._lost_since_s - self.heard_s),
            retry_in_s=rounded(wait_s),
            error=str(error),
        )

    def _on_success(self) -> None:
        self._count("answered")
        self._breaker.answered()
        self.heard_s = steady_now_s()
        if self._lost_since_s is None:
            return
        lost_s = self.heard_s - self._lost_since_s
        self._lost_since_s = None
        self._log.event(
            "store",
            "store_regained",
            "store regained",
            kind=self._kind.value,
            revision=self._revision,
            lost_for_s=rounded(lost_s),
        )

    def _count(self, answer: str) -> None:
        self._decisions.metrics.count("store_calls", f"{self._kind.value} {answer}")


def heard_before_s(feeds: Iterable[StoreFeed]) -> float:
    """Return how long ago the store answered any of some feeds, in seconds."""
    return steady_now_s() - max(feed.heard_s for feed in feeds)


def _wait_asked(error: PlatformUnavailableError | PlatformAnswerError) -> float:
    match error:
        case PlatformUnavailableError(retry_after_s=float(seconds)):
            return seconds
        case _:
            return 0.0
