"""Tables of shared load and admission at one forwarder."""

from collections.abc import Sequence

from endivepick.cli.output import print_line, print_table
from endivepick.forwarder.load_status import (
    LoadStatus,
    PriorityStatus,
    ServiceLoadStatus,
    TargetLoadStatus,
    ZoneLoadStatus,
    sort_by_fullness,
)

__all__ = ["print_load"]

SHOWN_TARGETS = 20
"""Number of targets in the table; with ``--json``, all are printed."""

_SERVICE_HEADER = (
    *("service", "state", "for", "busy", "slots", "busy/slot", "short answers"),
    "admitted by priority",
)
_ZONE_HEADER = ("service", "zone", "busy", "slots", "busy/slot")
_TARGET_HEADER = (
    *("service", "target", "zone", "load", "slots", "load/slot"),
    "flows here",
)
_NOT_SHARED = (
    "This forwarder shares no load, so it knows only the requests of its own callers "
    "and rejects no opening by priority. Set share_load to true in its settings and "
    "restart it; `endivepick forwarder check FILE` prints why it is not shared."
)


def print_load(load: LoadStatus) -> None:
    """Print services, zones and the fullest targets, or that no load is shared."""
    if not load.enabled:
        print_line(_NOT_SHARED)
        return
    print_line(f"totals of other zones: {_format_age(load.age_s)}")
    print_line(
        f"rejects openings by priority: {'yes' if load.limits_overload else 'no'}"
    )
    print_line("\nservices")
    print_table(_SERVICE_HEADER, [_to_service_row(each) for each in load.services])
    print_line("\nzones")
    print_table(_ZONE_HEADER, [_to_zone_row(each) for each in load.zones])
    _print_targets(sort_by_fullness(load.targets))


def _print_targets(targets: Sequence[TargetLoadStatus]) -> None:
    shown = targets[:SHOWN_TARGETS]
    print_line("\nfullest targets")
    print_table(_TARGET_HEADER, [_to_target_row(each) for each in shown])
    if len(targets) > len(shown):
        print_line(f"{len(targets) - len(shown)} more; --json prints all")


def _to_service_row(service: ServiceLoadStatus) -> tuple[str | int, ...]:
    return (
        service.service,
        service.state,
        _format_duration(service.state_for_s),
        _format_number(service.busy),
        service.slots,
        _format_number(service.busy_per_slot),
        _format_share(service.short_share),
        ", ".join(map(_format_priority, service.priorities)) or "all",
    )


def _to_zone_row(zone: ZoneLoadStatus) -> tuple[str | int, ...]:
    return (
        zone.service,
        zone.zone,
        _format_number(zone.busy),
        zone.slots,
        _format_number(zone.busy_per_slot),
    )


def _to_target_row(target: TargetLoadStatus) -> tuple[str | int, ...]:
    return (
        target.service,
        target.name,
        target.zone,
        _format_number(target.load),
        target.slots,
        _format_number(target.load_per_slot),
        target.open_flows,
    )


def _format_priority(priority: PriorityStatus) -> str:
    text = f"{priority.priority}: {_format_share(priority.admitted_share)}"
    if priority.rejected_openings:
        text += f" ({priority.rejected_openings} rejected)"
    return text


def _format_age(age_s: float | None) -> str:
    return "none" if age_s is None else f"up to {age_s:.1f} s old"


def _format_duration(duration_s: float | None) -> str:
    return "unknown" if duration_s is None else f"{duration_s:.1f} s"


def _format_number(number: float | None) -> str:
    return "unknown" if number is None else f"{number:.2f}"


def _format_share(share: float | None) -> str:
    return "unknown" if share is None else f"{share:.1%}"
