"""Serves readiness, metrics, status and the messages of peers over HTTP."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import gevent

from endivepick.clock import steady_now_s
from endivepick.forwarder import peers
from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.http import Response, json_response
from endivepick.forwarder.metrics import render_page
from endivepick.forwarder.peers import PeerExchange
from endivepick.forwarder.ports import FeedKind
from endivepick.forwarder.settings import ForwarderSettings
from endivepick.forwarder.status import build_status
from endivepick.forwarder.store_feed import StoreFeed
from endivepick.forwarding import ForwardingCore

if TYPE_CHECKING:
    from endivepick.forwarder.zone_member import ZoneMember

__all__ = ["Pages"]


class Pages:
    """Answers requests by path, the same at all TCP addresses of a forwarder.

    Parameters
    ----------
    settings : ForwarderSettings
        Path of the readiness page.
    core : ForwardingCore
        Routes, registry and flows.
    feeds : mapping of FeedKind to StoreFeed
        Times of the store's last answers.
    peer_exchange : PeerExchange
        Answers peers.
    zone : callable
        Returns the zone task, None before it is loaded.
    decisions : DecisionLog
        Metrics, and the number of dropped log lines.
    on_hint : callable
        Called with the name of a target that does not answer a peer.
    ready : callable
        Returns whether the fabric may send flows to this instance.
    """

    def __init__(
        self,
        settings: ForwarderSettings,
        core: ForwardingCore,
        feeds: Mapping[FeedKind, StoreFeed],
        peer_exchange: PeerExchange,
        zone: Callable[[], ZoneMember | None],
        decisions: DecisionLog,
        on_hint: Callable[[str], None],
        ready: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._core = core
        self._feeds = feeds
        self._peers = peer_exchange
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
                return Response(404) if zone is None else zone.feeder.answer_poll(query)
            case peers.SEEN_PATH:
                zone = self._zone()
                return (
                    Response(404) if zone is None else zone.feeder.receive_report(query)
                )
            case peers.LOAD_PATH:
                zone = self._zone()
                exchange = None if zone is None else zone.load_exchange
                return Response(404) if exchange is None else exchange.answer(query)
            case "/metrics":
                return self._metrics()
            case "/status":
                return json_response(build_status(self._core, steady_now_s()))
            case _:
                return Response(404)

    def _metrics(self) -> Response:
        metrics = self._decisions.metrics
        metrics.counts["log_lines_dropped", "all"] = self._decisions.log.lines_dropped
        # Rendered in another thread, since the first call imports a library, which
        # would delay packets.
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
            "fed": int(zone is not None and zone.follower.fed),
            "evacuated_zones": len(self._core.evacuations.zones),
            "config_age_seconds": now_s - self._core.routes.since_s,
            **{
                f"{kind.value}_heard_seconds": now_s - feed.last_answer_s
                for kind, feed in self._feeds.items()
            },
        }
