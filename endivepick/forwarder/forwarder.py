"""Assembles a forwarder from its tasks."""

from __future__ import annotations

import gc
import random
import time
from collections.abc import Iterator, Mapping
from contextlib import ExitStack, contextmanager
from socket import socket
from typing import TYPE_CHECKING

import gevent

from endivepick.clock import steady_now_s
from endivepick.forwarder.circuit_breaker import CircuitBreaker
from endivepick.forwarder.datagrams import DatagramSocket
from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.http import http_server
from endivepick.forwarder.load_status import LoadStatus
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.metrics import ForwarderMetrics
from endivepick.forwarder.news_handler import NewsHandler
from endivepick.forwarder.packet_path import PacketPath, PathRequests
from endivepick.forwarder.pages import Pages
from endivepick.forwarder.peers import PeerExchange
from endivepick.forwarder.ports import (
    REQUIRED_KINDS,
    FeedKind,
    PacketCodec,
    StoreDialect,
)
from endivepick.forwarder.settings import ForwarderSettings
from endivepick.forwarder.store_feed import StoreFeed
from endivepick.forwarder.store_revision import StoreRevision
from endivepick.forwarder.tasks import spawn_supervised
from endivepick.forwarding import ForwardingCore, ForwardingSettings
from endivepick.forwarding.pauses import PAUSE_S

if TYPE_CHECKING:
    from endivepick.forwarder.zone_member import ZoneMember

__all__ = ["Forwarder"]

TICK_S = 0.1
"""Period of the core's tick, a fraction of the core's shortest limit."""
PROBE_TIMEOUTS_S = (0.06, 0.2)
"""Timeouts of the connection attempts of a probe. The slowest path between two zones
takes about ten milliseconds, and a process may be paused for a tenth of a second when
its CPU quota is used up."""
PROBE_GAP_S = 0.5
"""Minimum time between two probes of a target; each occupies one of the
target's request slots for a millisecond."""
LARGEST_OBJECT_MBIT = 8.0
"""Size of the store's largest object, a megabyte; as much data may precede the answer
to a probe on this machine's link."""
STOP_MARGIN_S = 0.5
"""Time between the end of a planned stop and the kill of the process. The process needs
some hundredths of a second to end, more if its CPU quota is used up."""


class Forwarder:
    """All tasks and sockets of one forwarder process.

    Parameters
    ----------
    settings : ForwarderSettings
        All settings.
    codec : PacketCodec
        Codec of the fabric's packets.
    dialect : StoreDialect
        The platform's object API.
    log : BoundedLog
        Log of the decisions.
    pending_sockets : mapping of socket, default=None
        Connections on which lists of the store were already requested, by kind.
    """

    def __init__(
        self,
        settings: ForwarderSettings,
        codec: PacketCodec,
        dialect: StoreDialect,
        log: BoundedLog,
        pending_sockets: Mapping[FeedKind, socket] | None = None,
    ) -> None:
        self.settings = settings
        self.core = ForwardingCore(_make_core_settings(settings), random.random)
        self.decisions = DecisionLog(log, ForwarderMetrics())
        self.stopping = False
        self._was_ready = False
        self._started_s = steady_now_s()
        self._last_tick_s = self._started_s
        self._dialect = dialect
        self._zone: ZoneMember | None = None
        self._zone_task: gevent.Greenlet | None = None
        self._load_task: gevent.Greenlet | None = None
        self._news = news = NewsHandler(
            self.core, self.decisions, self._on_news_applied
        )
        breaker = CircuitBreaker(settings.mechanisms.breaker)
        store_revision = StoreRevision()
        self._feeds = {
            kind: StoreFeed(
                settings,
                kind,
                dialect,
                news.on_store_update,
                self.decisions,
                breaker,
                (pending_sockets or {}).get(kind),
                stale_first=kind is FeedKind.EVACUATIONS,
                store_revision=store_revision,
            )
            for kind in _select_kinds(settings)
        }
        self._peers = PeerExchange(
            settings,
            self.core,
            [self._feeds[kind] for kind in REQUIRED_KINDS],
            news.on_snapshot,
            log,
        )
        requests = PathRequests(
            self._feeds[FeedKind.REGISTRY].request_list, self._peers.hint
        )
        self._path = PacketPath(self.core, codec, dialect, self.decisions, requests)
        self._pages = Pages(
            settings,
            self.core,
            self._feeds,
            self._peers,
            lambda: self._zone,
            self.decisions,
            self._path.on_hint,
            lambda: self.ready,
            self._read_load_status,
        )

    def _read_load_status(self) -> LoadStatus:
        if self.core.load is None:
            return LoadStatus()
        # Loaded on demand: it is needed only by operators, and a start waits for each
        # import.
        from endivepick.forwarder.load_status_builder import read_load_status

        return read_load_status(self.core, steady_now_s())

    @property
    def ready(self) -> bool:
        """Whether the fabric may send flows to this instance."""
        return self.core.ready and not self.stopping

    @property
    def forwards_for_s(self) -> float:
        """How long packets are forwarded after a stop signal, in seconds."""
        latest_s = self.settings.stop_grace_s - STOP_MARGIN_S
        return max(0.0, min(self.settings.stop_s, latest_s))

    @contextmanager
    def serving(self, bound_socket: socket | None = None) -> Iterator[DatagramSocket]:
        """Bind all sockets and follow the store while the context is open.

        Parameters
        ----------
        bound_socket : socket, default=None
            Data socket that was bound before the program was loaded.
        """
        with ExitStack() as stack:
            path = self._path.open(self.settings.data_address, bound_socket)
            datagrams = stack.enter_context(path)
            addresses = (
                self.settings.ready_address,
                self.settings.metrics_address,
                self.settings.peer_address,
            )
            for address in filter(None, dict.fromkeys(addresses)):
                stack.enter_context(http_server(address, self._pages.answer))
            for feed in self._feeds.values():
                feed.start()
                stack.callback(feed.stop)
            stack.callback(self._end_zone)
            for name, work in (("tick", self._tick), ("peers", self._peers.run)):
                stack.callback(spawn_supervised(name, work, self.decisions).kill)
            yield datagrams

    def stop(self) -> None:
        """Report not ready to the fabric and go on forwarding packets."""
        self.stopping = True
        self._peers.stopping = True
        self.core.begin_stop()
        if self._zone is not None:
            self._zone.stop()
        self.decisions.log_stop_begin(len(self.core.flows), self.forwards_for_s)

    def _on_news_applied(self) -> None:
        self._path.perform_effects()
        if self._zone is not None:
            self._zone.feeder.wake_polls()
        if self.core.ready and not self._was_ready:
            self._was_ready = True
            self._on_first_ready()
        self.decisions.log.flush()

    def _on_first_ready(self) -> None:
        # Moves the objects loaded so far out of the garbage collector: collecting them
        # would free almost nothing and delay packets.
        gc.freeze()
        gc.enable()
        targets = sum(1 for _ in self.core.registry)
        self.decisions.log_ready(steady_now_s() - self._started_s, targets)
        self._zone_task = spawn_supervised("zone", self._run_zone, self.decisions)

    def _run_zone(self) -> None:
        """Import the zone module, which no packet needs, and run its task."""
        from endivepick.forwarder.zone_member import ZoneMember

        self._zone = ZoneMember(
            self.settings,
            self.core,
            self._feeds,
            self._dialect,
            self._news.on_zone_news,
            self._peers.neighbours,
            self.decisions.log,
        )
        if self.stopping:
            self._zone.stop()
        self._start_load_exchange(self._zone)
        self._zone.run()

    def _start_load_exchange(self, zone: ZoneMember) -> None:
        if self._load_task is not None:
            self._load_task.kill()
        if zone.load_exchange is not None:
            work = zone.load_exchange.run
            self._load_task = spawn_supervised("load", work, self.decisions)

    def _end_zone(self) -> None:
        for task in (self._zone_task, self._load_task):
            if task is not None:
                task.kill()

    def _tick(self) -> None:
        while True:
            gevent.sleep(TICK_S)
            now_s = steady_now_s()
            late_s = now_s - self._last_tick_s - TICK_S
            self._last_tick_s = now_s
            if late_s > PAUSE_S:
                self._on_pause(late_s, now_s)
            self.core.on_wall_clock(time.time() - now_s)
            registry = self._feeds[FeedKind.REGISTRY]
            if registry.lost:
                self.core.on_registry_unavailable(now_s)
            self.core.tick(now_s, registry.last_answer_s)
            self._path.perform_effects()
            if self._zone is not None:
                self._zone.report_observations()
            self.decisions.metrics.aggregate()
            self.decisions.log.flush()

    def _on_pause(self, paused_s: float, now_s: float) -> None:
        self.decisions.log_pause(paused_s)
        self.core.on_registry_unavailable(now_s)
        for feed in self._feeds.values():
            feed.request_list()


def _select_kinds(settings: ForwarderSettings) -> tuple[FeedKind, ...]:
    """Return the kinds of objects that the store of this installation has."""
    if settings.evacuation_in_force_ms is None:
        return REQUIRED_KINDS
    return (*REQUIRED_KINDS, FeedKind.EVACUATIONS)


def _make_core_settings(settings: ForwarderSettings) -> ForwardingSettings:
    last_timeout_s = PROBE_TIMEOUTS_S[1] + LARGEST_OBJECT_MBIT / settings.link_mbps
    timeouts_s = (PROBE_TIMEOUTS_S[0], last_timeout_s)
    return ForwardingSettings(
        zone=settings.zone,
        zones=len(settings.zones),
        gone_memory_s=settings.flow_longest_s,
        probe_timeouts_s=timeouts_s,
        probe_compared_s=PROBE_TIMEOUTS_S[0],
        probe_gap_s=max(PROBE_GAP_S, sum(timeouts_s)),
        zone_regions=settings.zone_regions,
        shares_load=settings.shares_load,
        limits_overload=settings.limits_overload,
        mechanisms=settings.mechanisms,
    )
