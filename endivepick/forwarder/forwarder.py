"""A forwarder: its tasks, and how they are tied together."""

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
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.metrics import ForwarderMetrics
from endivepick.forwarder.news_handler import NewsIntake
from endivepick.forwarder.packet_path import PacketPath, PathRequests
from endivepick.forwarder.pages import Pages
from endivepick.forwarder.peers import PeerFeed
from endivepick.forwarder.ports import FeedKind, PacketCodec, StoreDialect
from endivepick.forwarder.settings import ForwarderSettings
from endivepick.forwarder.store_feed import StoreFeed
from endivepick.forwarder.tasks import spawn_supervised
from endivepick.forwarding import ForwardingCore, ForwardingSettings
from endivepick.forwarding.pauses import PAUSE_S

if TYPE_CHECKING:
    from endivepick.forwarder.zone_member import ZoneMember

__all__ = ["Forwarder"]

TICK_S = 0.1
"""How often time passes for the core: a fraction of its shortest limit."""
PROBE_TIMEOUTS_S = (0.06, 0.2)
"""Waits for a connection; the slowest path between two zones takes some ten
milliseconds, and a process may stand still for a tenth of a second when its share of a
core is used up."""
PROBE_GAP_S = 0.5
"""Least time between two probes of a target; each occupies a slot for a millisecond."""
LARGEST_OBJECT_MBIT = 8.0
"""The store's largest object, a megabyte: so much may be on this machine's link before
the answer to a probe."""
STOP_MARGIN_S = 0.5
"""A planned stop ends that long before the process would be killed: it takes some
hundredths of a second to end, more on a machine whose share of a core is used up."""


class Forwarder:
    """Everything that one process runs.

    Parameters
    ----------
    settings : ForwarderSettings
        All settings.
    codec : PacketCodec
        Packets of the fabric.
    dialect : StoreDialect
        The platform's object API.
    log : BoundedLog
        Where decisions are written.
    asked : mapping of socket, default=None
        Connections on which lists of the store were asked for already, by kind.
    """

    def __init__(
        self,
        settings: ForwarderSettings,
        codec: PacketCodec,
        dialect: StoreDialect,
        log: BoundedLog,
        asked: Mapping[FeedKind, socket] | None = None,
    ) -> None:
        self.settings = settings
        self.core = ForwardingCore(_core_settings(settings), random.random)
        self.decisions = DecisionLog(log, ForwarderMetrics())
        self.stopping = False
        self._was_ready = False
        self._started_s = steady_now_s()
        self._ticked_s = self._started_s
        self._dialect = dialect
        self._zone: ZoneMember | None = None
        self._zone_task: gevent.Greenlet | None = None
        self._news = news = NewsIntake(self.core, self.decisions, self._after_news)
        breaker = CircuitBreaker(settings.mechanisms.breaker)
        self._feeds = {
            kind: StoreFeed(
                settings,
                kind,
                dialect,
                news.on_feed,
                self.decisions,
                breaker,
                (asked or {}).get(kind),
            )
            for kind in FeedKind
        }
        self._peers = PeerFeed(
            settings,
            self.core,
            list(self._feeds.values()),
            news.on_snapshot,
            log,
        )
        requests = PathRequests(
            self._feeds[FeedKind.REGISTRY].list_again, self._peers.hint
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
        )

    @property
    def ready(self) -> bool:
        """Whether the fabric may send flows here."""
        return self.core.ready and not self.stopping

    @property
    def forwards_for_s(self) -> float:
        """How long packets are forwarded after a stop signal, in seconds."""
        latest_s = self.settings.stop_grace_s - STOP_MARGIN_S
        return max(0.0, min(self.settings.stop_s, latest_s))

    @contextmanager
    def serving(self, early: socket | None = None) -> Iterator[DatagramSocket]:
        """Bind all sockets and follow the store while the context is open.

        Parameters
        ----------
        early : socket, default=None
            Socket for packets that was bound before.
        """
        with ExitStack() as stack:
            path = self._path.open(self.settings.data_address, early)
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
        """Ask the fabric to turn away; packets are forwarded on."""
        self.stopping = True
        self._peers.stopping = True
        if self._zone is not None:
            self._zone.stop()
        self.decisions.stop_begun(len(self.core.flows), self.forwards_for_s)

    def _after_news(self) -> None:
        self._path.perform()
        if self._zone is not None:
            self._zone.feeder.notify()
        if self.core.ready and not self._was_ready:
            self._was_ready = True
            self._on_first_ready()
        self.decisions.log.flush()

    def _on_first_ready(self) -> None:
        # What was loaded until now stays: a collection of it would free next to nothing
        # and keep packets waiting.
        gc.freeze()
        gc.enable()
        targets = sum(1 for _ in self.core.registry)
        self.decisions.ready(steady_now_s() - self._started_s, targets)
        self._zone_task = spawn_supervised("zone", self._run_zone, self.decisions)

    def _run_zone(self) -> None:
        """Load what no packet needs once packets are forwarded, then run it."""
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
        self._zone.run()

    def _end_zone(self) -> None:
        if self._zone_task is not None:
            self._zone_task.kill()

    def _tick(self) -> None:
        while True:
            gevent.sleep(TICK_S)
            now_s = steady_now_s()
            late_s = now_s - self._ticked_s - TICK_S
            self._ticked_s = now_s
            if late_s > PAUSE_S:
                self._on_pause(late_s, now_s)
            self.core.on_wall_clock(time.time() - now_s)
            registry = self._feeds[FeedKind.REGISTRY]
            if registry.lost:
                self.core.on_registry_unavailable(now_s)
            self.core.tick(now_s, registry.heard_s)
            self._path.perform()
            if self._zone is not None:
                self._zone.tell_seen()
            self.decisions.metrics.aggregate()
            self.decisions.log.flush()

    def _on_pause(self, paused_s: float, now_s: float) -> None:
        self.decisions.paused(paused_s)
        self.core.on_registry_unavailable(now_s)
        for feed in self._feeds.values():
            feed.list_again()


def _core_settings(settings: ForwarderSettings) -> ForwardingSettings:
    patience_s = PROBE_TIMEOUTS_S[1] + LARGEST_OBJECT_MBIT / settings.link_mbps
    timeouts_s = (PROBE_TIMEOUTS_S[0], patience_s)
    return ForwardingSettings(
        zone=settings.zone,
        zones=len(settings.zones),
        gone_memory_s=settings.flow_longest_s,
        probe_timeouts_s=timeouts_s,
        probe_compared_s=PROBE_TIMEOUTS_S[0],
        probe_gap_s=max(PROBE_GAP_S, sum(timeouts_s)),
        mechanisms=settings.mechanisms,
    )
