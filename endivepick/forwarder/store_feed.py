"""Follows one kind of objects in the store by lists and watches."""

import random
from collections.abc import Callable, Hashable, Iterable
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
from endivepick.forwarder.freshness import ANSWER_TIMEOUT_MARGIN_S, compute_freshness
from endivepick.forwarder.logs import truncate_number
from endivepick.forwarder.object_lists import (
    ListSource,
    read_changes,
    read_list,
    read_stale_page,
)
from endivepick.forwarder.ports import (
    REQUIRED_KINDS,
    FeedKind,
    Item,
    StoreDialect,
)
from endivepick.forwarder.settings import ForwarderSettings
from endivepick.forwarder.store_revision import StoreRevision
from endivepick.forwarder.tasks import spawn_supervised
from endivepick.store import StoreConnection, store_connection

__all__ = ["FeedChanges", "FeedList", "StoreFeed", "get_time_since_answer_s"]

_FIRST_WATCH_WAIT_S = 0.02
"""Wait of the first watch after a loss; its answer shows that the store is back, and
the other feeds of the instance wait for it."""


class FeedList(Struct, frozen=True):
    """All objects of a kind at one revision.

    Attributes
    ----------
    kind : FeedKind
        Kind of the objects.
    items : tuple of Item
        The objects.
    revision : int
        Revision of the store.
    requested_s : float
        Time of the request, in seconds; the list shows no older state.
    """

    kind: FeedKind
    items: tuple[Item, ...]
    revision: int
    requested_s: float


class FeedChanges(Struct, frozen=True):
    """Changes since the last message of the same kind; empty if only time has passed.

    Attributes
    ----------
    kind : FeedKind
        Kind of the objects.
    items : tuple of Item
        Objects and removals, oldest first.
    revision : int
        Revision of the store up to which the changes are complete.
    """

    kind: FeedKind
    items: tuple[Item, ...]
    revision: int


class StoreFeed:
    """Task that follows one kind of objects and delivers what it reads.

    Parameters
    ----------
    settings : ForwarderSettings
        Address and time limits.
    kind : FeedKind
        Kind of the objects.
    dialect : StoreDialect
        Paths and bodies of the store's API.
    deliver : callable
        Called with ``FeedList`` and ``FeedChanges``.
    decisions : DecisionLog
        Log and metrics of the calls.
    breaker : CircuitBreaker
        Shared with the other feeds of this instance.
    pending_socket : socket, default=None
        Connection on which the first list was already requested.
    store_revision : StoreRevision, default=None
        Shared with the other feeds of this instance; None if this is the only one.
    stale_first : bool, default=False
        The first list may be seconds old, and a complete one follows unless the feed is
        suspended by then.  An instance that starts learns the objects at once, and at a
        tenth of the price, and the rest from its feeder.
    """

    def __init__(
        self,
        settings: ForwarderSettings,
        kind: FeedKind,
        dialect: StoreDialect,
        deliver: Callable[[FeedList | FeedChanges], None],
        decisions: DecisionLog,
        breaker: CircuitBreaker,
        pending_socket: PlainSocket | None = None,
        stale_first: bool = False,
        store_revision: StoreRevision | None = None,
    ) -> None:
        self._pending_socket = pending_socket
        self._stale_first = stale_first
        self._required = kind in REQUIRED_KINDS
        # Set by `resume` until the task has made its first call.
        self._check_wanted = False
        self._resumed = False
        # Set by `resume` until a call has succeeded.
        self._presumed_lost = False
        # Whether the pause after the first list has passed.
        self._started = False
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
        self.last_answer_s = steady_now_s()
        """Time of the store's last answer, here or to the feeder, in seconds."""
        self._freshness = compute_freshness(settings)
        self._longest_wait_s = (
            self._freshness.watch_wait_s
            if kind is FeedKind.REGISTRY
            else self._freshness.long_wait_s
        )
        self._watch_wait_s = self._longest_wait_s
        # Wait of the watch in progress, 0 if there is none.
        self._pending_wait_s = 0.0
        self._store_revision = store_revision or StoreRevision()
        self._store_revision.subscribe(self._on_store_revision)
        self._lost_since_s: float | None = None

    @property
    def lost(self) -> bool:
        """Whether the last call failed, or no call has succeeded since a resumption."""
        return self._lost_since_s is not None or self._presumed_lost

    def is_receiving_list(self, within_s: float) -> bool:
        """Whether a list is being read and its data arrived recently.

        Parameters
        ----------
        within_s : float
            Maximum time since data last arrived, in seconds.
        """
        if self._connection is None or not self._list_wanted:
            return False
        return steady_now_s() - self._connection.received_s <= within_s

    def start(self) -> None:
        """Start the task."""
        self._task = spawn_supervised(self._kind.value, self._run, self._decisions)

    def stop(self) -> None:
        """Stop the task."""
        if self._task is not None:
            self._task.kill(block=False)

    @property
    def settled(self) -> bool:
        """Whether the last call was answered and no list is pending."""
        return not self._list_wanted and not self.lost

    def suspend(self) -> None:
        """Stop following the store while a feeder is followed.

        The feeder sends what a pending list would show.
        """
        self._suspended = True
        self._stale_first = False
        self._list_wanted = False
        self._check_wanted = False
        self._presumed_lost = False
        self._lost_since_s = None
        self.stop()

    def resume(self, revision: int, store_silent: bool = False) -> None:
        """Follow the store again, from a revision that is known by now.

        Parameters
        ----------
        revision : int
            Revision of the store; 0 if nothing is known.
        store_silent : bool, default=False
            The store did not answer the feeder.  The call then counts as a retry: one
            feed makes it, the others wait, and the first watch is short, since the
            store may be down and never answer it.
        """
        self._suspended = False
        self._revision = max(self._revision, revision)
        self._check_wanted = self._presumed_lost = store_silent
        self._resumed = not store_silent
        self._restart()

    def call_now(self) -> None:
        """Make the next call at once: other instances wait for its objects."""
        if not self._stale_first and not self._suspended:
            self._resumed = False
            self._restart()

    def _renew_watch(self) -> None:
        """Replace a watch that was sent before the store failed to answer."""
        if self.settled and not self._suspended:
            self._restart()

    def _on_store_revision(self) -> None:
        """Replace a long watch when the store has changed since it was sent.

        The store answers a watch at once if the change is of this kind.  If it has lost
        the watch, only another one shows the change in time.
        """
        is_long = self._pending_wait_s > self._freshness.watch_wait_s
        if is_long and self._store_revision.newest > self._revision:
            self._renew_watch()

    def set_watch_wait(self, wait_s: float | None = None) -> None:
        """Set the wait of the following watches.

        A longer watch in progress is cancelled: until the store answered it, the
        followers of this instance would consider their feeder cut off.

        Parameters
        ----------
        wait_s : float or None
            Maximum wait, in seconds; None for the one of the settings.
        """
        longest_s = self._longest_wait_s
        wait_s = longest_s if wait_s is None else min(wait_s, longest_s)
        shorter = wait_s < self._watch_wait_s
        self._watch_wait_s = wait_s
        if shorter and self.settled and not self._suspended:
            self._restart()

    def request_list(self) -> None:
        """Read the whole list now unless a list is in progress; never blocks.

        A suspended feed reads it once and is then suspended again.
        """
        if self._list_wanted:
            return
        self._list_wanted = True
        self._restart()

    def _restart(self) -> None:
        """Cancel the call in progress and make the next one now."""
        self.stop()
        self.start()

    def _run(self) -> None:
        backoff = Backoff(self._choose_backoff())
        pending_socket, self._pending_socket = self._pending_socket, None
        with (
            store_connection(
                self._settings.store_address, pending_socket
            ) as connection,
            self._breaker.register(self._renew_watch) as feed,
        ):
            self._connection = connection
            self._await_first_call(feed)
            while True:
                try:
                    changed = self._step(connection)
                except WatchExpiredError:
                    self._count("expired")
                    self._log.warning(
                        "store",
                        "history_lost",
                        "store discarded the changes since this revision; "
                        "reading the full list",
                        kind=self._kind.value,
                        revision=self._revision,
                    )
                    self._list_wanted = True
                except (PlatformUnavailableError, PlatformAnswerError) as error:
                    backoff = backoff.failed(random.random(), _get_retry_after(error))
                    self._on_failure(error, backoff.wait_s)
                    connection.close()
                    if self._breaker.record_failure(feed, self._required):
                        gevent.sleep(backoff.wait_s)
                    else:
                        self._breaker.wait()
                else:
                    backoff = Backoff(self._choose_backoff())
                    self._on_success(feed)
                    if self._suspended:
                        return
                    if changed:
                        gevent.sleep(self._take_pause_s())

    def _choose_backoff(self) -> BackoffSettings:
        """Return the bounds of the delay before retries.

        While a feeder is followed, it retries as often as all others together would.
        """
        base_s, cap_s = self._settings.retry_base_s, self._settings.retry_cap_s
        if self._check_wanted:
            base_s, cap_s = cap_s, max(cap_s, self._freshness.check_retry_s)
        return BackoffSettings(base_s, cap_s)

    def _await_first_call(self, feed: Hashable) -> None:
        """Wait until a resumed feed may call the store."""
        resumed, self._resumed = self._resumed, False
        if resumed and not self._required:
            gevent.sleep(self._freshness.resume_pause_s)
        check_wanted, self._check_wanted = self._check_wanted, False
        if check_wanted and not self._breaker.record_failure(feed, self._required):
            self._breaker.wait()

    def _take_pause_s(self) -> float:
        """Return the pause after a list or changes, in seconds."""
        if self._started:
            return self._freshness.gather_s
        self._started = True
        if self._required:
            return self._freshness.start_pause_s
        return self._freshness.resume_pause_s

    def _step(self, connection: StoreConnection) -> bool:
        """Make one call or read one list; return whether anything changed."""
        if self._stale_first:
            self._read_stale_list(connection)
            return True
        if self._list_wanted:
            self._list(connection)
            return True
        return self._watch(connection)

    def _read_stale_list(self, connection: StoreConnection) -> None:
        listed = read_stale_page(self._get_source(connection, stale=True))
        self._stale_first = False
        if listed.damaged:
            self._log_damage()
        self._deliver(FeedChanges(self._kind, tuple(listed.items), 0))

    def _list(self, connection: StoreConnection) -> None:
        requested_s = steady_now_s()
        listed = read_list(self._get_source(connection))
        self._revision = listed.revision or 0
        self._list_wanted = False
        if listed.damaged:
            self._log_damage()
        self._deliver(
            FeedList(self._kind, tuple(listed.items), self._revision, requested_s)
        )

    def _get_source(
        self, connection: StoreConnection, stale: bool = False
    ) -> ListSource:
        timeout_s = self._settings.call_timeout_s
        return ListSource(connection, self._dialect, self._kind, timeout_s, stale)

    def _log_damage(self) -> None:
        self._count("damaged")
        self._log.warning(
            "store",
            "answer_damaged",
            "an object of another writer damaged the store's answer; "
            "read the others around it",
            kind=self._kind.value,
            revision=self._revision,
        )

    def _choose_watch_wait_s(self) -> float:
        """Return the wait of the next watch; short while a change may be missed."""
        if self.lost:
            return _FIRST_WATCH_WAIT_S
        if self._store_revision.newest > self._revision:
            return min(self._watch_wait_s, self._freshness.watch_wait_s)
        return self._watch_wait_s

    def _watch(self, connection: StoreConnection) -> bool:
        wait_s = self._choose_watch_wait_s()
        path = self._dialect.watch_path(self._kind, self._revision, wait_s)
        self._pending_wait_s = wait_s
        try:
            body = connection.get(path, wait_s + ANSWER_TIMEOUT_MARGIN_S)
        finally:
            self._pending_wait_s = 0.0
        batch = read_changes(self._get_source(connection), body)
        if batch is None or batch.recovered:
            self._log_damage()
        if batch is None:
            # The next call reads the list, which has the changes.
            self._list_wanted = True
            return True
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
            "store does not answer",
            kind=self._kind.value,
            revision=self._revision,
            heard_before_s=truncate_number(self._lost_since_s - self.last_answer_s),
            retry_in_s=truncate_number(wait_s),
            error=str(error),
        )

    def _on_success(self, feed: Hashable) -> None:
        self._count("answered")
        self._breaker.record_success(feed)
        self.last_answer_s = steady_now_s()
        self._presumed_lost = False
        self._store_revision.advance(self._revision)
        if self._lost_since_s is None:
            return
        lost_s = self.last_answer_s - self._lost_since_s
        self._lost_since_s = None
        self._log.event(
            "store",
            "store_regained",
            "store answers again",
            kind=self._kind.value,
            revision=self._revision,
            lost_for_s=truncate_number(lost_s),
        )

    def _count(self, answer: str) -> None:
        self._decisions.metrics.count("store_calls", f"{self._kind.value} {answer}")


def get_time_since_answer_s(feeds: Iterable[StoreFeed]) -> float:
    """Return the time since the store last answered any of some feeds, in seconds."""
    return steady_now_s() - max(feed.last_answer_s for feed in feeds)


def _get_retry_after(error: PlatformUnavailableError | PlatformAnswerError) -> float:
    match error:
        case PlatformUnavailableError(retry_after_s=float(seconds)):
            return seconds
        case _:
            return 0.0
