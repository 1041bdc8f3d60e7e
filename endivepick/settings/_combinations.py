"""Combinations of settings that cannot work together."""

from collections.abc import Iterator
from dataclasses import dataclass

from endivepick.settings.address import parse_address
from endivepick.settings.model import DaemonSettings

__all__ = ["CombinationFault", "combination_faults"]


@dataclass(frozen=True)
class CombinationFault:
    """Two keys that contradict each other; ``path`` names the one to change."""

    path: tuple[str, ...]
    problem: str
    remedy: str


def combination_faults(settings: DaemonSettings) -> Iterator[CombinationFault]:
    """List what cannot work although each key is valid by itself."""
    yield from _membership_faults(settings)
    yield from _flow_faults(settings)
    yield from _stop_faults(settings)
    yield from _listen_faults(settings)


def _membership_faults(settings: DaemonSettings) -> Iterator[CombinationFault]:
    membership = settings.membership
    if membership.suspect_after_s < 2 * membership.probe_period_s:
        yield CombinationFault(
            ("membership", "suspect_after_s"),
            "one lost probe would make a peer suspect",
            "Use at least twice membership.probe_period_s.",
        )
    if membership.dead_after_s <= membership.suspect_after_s:
        yield CombinationFault(
            ("membership", "dead_after_s"),
            "a peer would be dead before it is suspect",
            "Use more than membership.suspect_after_s.",
        )


def _flow_faults(settings: DaemonSettings) -> Iterator[CombinationFault]:
    flow = settings.flow
    if flow.idle_timeout_s < flow.token_lifetime_s:
        yield CombinationFault(
            ("flow", "idle_timeout_s"),
            "a flow would be forgotten while its token is valid",
            "Use at least flow.token_lifetime_s.",
        )


def _stop_faults(settings: DaemonSettings) -> Iterator[CombinationFault]:
    stop = settings.stop
    if stop.hand_over_timeout_s > stop.drain_timeout_s:
        yield CombinationFault(
            ("stop", "hand_over_timeout_s"),
            "a hand-over would outlast the planned stop",
            "Use at most stop.drain_timeout_s.",
        )


def _listen_faults(settings: DaemonSettings) -> Iterator[CombinationFault]:
    listen = settings.listen
    _, port = parse_address(listen.http_address)
    if port and listen.http_address == listen.peer_address:
        yield CombinationFault(
            ("listen", "http_address"),
            "peer_address uses the same TCP port",
            "Use another port, or 0.",
        )
