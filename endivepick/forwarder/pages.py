"""What a forwarder answers over HTTP: readiness, metrics, status, peers."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import gevent

from endivepick.clock import steady_now_s
from endivepick.forwarder import peers
from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.http import Response, json_response
from endivepick.forwarder.metrics import render_page
from endivepick.forwarder.peers import PeerFeed
from endivepick.forwarder.ports import FeedKind
from endivepick.forwarder.settings import ForwarderSettings
from endivepick.forwarder.status import status_of
from endivepick.forwarder.store_feed import StoreFeed
from endivepick.forwarding import ForwardingCore

if TYPE_CHECKING:
    from endivepick.forwarder.zone_member import ZoneMember

__all__ = ["Pages"]


class Pages:
    """Answers by path, the same at all of a forwarder's TCP addresses.

    Parameters
    ----------
    settings : ForwarderSettings
        Path of the readiness page.
    core : ForwardingCore
        What is known.
    feeds : mapping of FeedKind to StoreFeed
        How long ago the store answered.
    peer_feed : PeerFeed
        Answers peers.
    zone : callable
        Returns what answers those of the zone that are fed here, None before it is
        loaded.
    decisions : DecisionLog
        Counters and the log's own loss.
    on_hint : callable
        Called with a target that a peer says does not answer.
    ready : callable
        Whether the fabric may send flows here.
    """

    def __init__(
        self,
        settings: ForwarderSettings,
        core: ForwardingCore,
        feeds: Mapping[FeedKind, StoreFeed],
        peer_feed: PeerFeed,
        zone: Callable[[], ZoneMember | None],
        decisions: DecisionLog,
        on_hint: Callable[[str], None],
        ready: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._core = core
        self._feeds = feeds
        self._peers = peer_feed
        self._zone = zone
        self._decisions = decisions
        self._on_hint = on_hint
        self._ready = ready

    def answer(self, path: str, query: str) -> Response:
        """Return the answer to a request."""
        if path == self._settings.ready_path:
            return Response(200 if self._ready() else 503)
        if path.startswith(peers.HINT_PATH):
            self._on_hint(path.removeprefix(peers.HINT_PATH))
            return Response(200)
        match path:
            case peers.SNAPSHOT_PATH | peers.HELLO_PATH:
                return self._peers.answer(path, query)
            case peers.NEWS_PATH:
                zone = self._zone()
                return Response(404) if zone is None else zone.feeder.answer(query)
            case peers.SEEN_PATH:
                zone = self._zone()
                return Response(404) if zone is None else zone.feeder.note_seen(query)
            case "/metrics":
                return self._metrics()
            case "/status":
                return json_response(status_of(self._core, steady_now_s()))
            case _:
                return Response(404)

    def _metrics(self) -> Response:
        metrics = self._decisions.metrics
        metrics.counts["log_lines_dropped", "all"] = self._decisions.log.lines_dropped
        # The library is loaded by the first reader: beside the packets, not in
        # their way.
        pool = gevent.get_hub().threadpool
        counted = (metrics.snapshot(), self._gauges())
        return Response(200, pool.apply(render_page, counted))

    def _gauges(self) -> dict[str, float]:
        now_s = steady_now_s()
        zone = self._zone()
        return {
            "flows": len(self._core.flows),
            "ready": int(self._ready()),
            "feeding": int(zone is not None and zone.feeder.feeding),
            "fed": int(zone is not None and zone.fed),
            "config_age_seconds": now_s - self._core.routes.since_s,
            **{
                f"{kind.value}_heard_seconds": now_s - feed.heard_s
                for kind, feed in self._feeds.items()
            },
        }
