"""Combinations of settings that cannot work together."""

from collections.abc import Iterator
from dataclasses import dataclass

from endivepick.addresses import parse_address
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
    membership, dispatch = settings.membership, settings.dispatch
    for group, values, low, high in (
        ("membership", membership, "probe_timeout_s", "probe_deadline_s"),
        ("membership", membership, "suspect_min_s", "suspect_max_s"),
        ("membership", membership, "suspect_max_s", "mass_dead_after_s"),
        ("status", settings.status, "write_interval_s", "part_expiry_s"),
        ("dispatch", dispatch, "shed_backoff_s", "shed_backoff_limit_s"),
        ("dispatch", dispatch, "connect_backoff_s", "connect_backoff_limit_s"),
        ("dispatch", dispatch, "ejection_s", "ejection_limit_s"),
    ):
        if getattr(values, low) > getattr(values, high):
            yield CombinationFault(
                (group, high),
                f"it is less than {group}.{low}",
                f"Use at least {getattr(values, low):g}, or lower {group}.{low}.",
            )
    yield from _flow_faults(settings)
    yield from _listen_faults(settings)


def _flow_faults(settings: DaemonSettings) -> Iterator[CombinationFault]:
    flow = settings.flow
    if flow.outstanding_requests_max > flow.window_size:
        yield CombinationFault(
            ("flow", "outstanding_requests_max"),
            "the replay window cannot track that many requests",
            "Use at most flow.window_size.",
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
