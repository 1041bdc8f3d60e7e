"""Shared helpers for the tests of shared load."""

from endivepick.forwarding.load.reports import LoadReport, ServiceLoad, TargetLoad


def make_report(busy=1.0, open_flows=2, targets=("i-1",), answered_per_s=0.0, **fields):
    """Return the report of an instance with the same load at each target."""
    return LoadReport(
        [TargetLoad(name, 0, busy, open_flows) for name in targets],
        [
            ServiceLoad(
                "notes",
                "a",
                busy * len(targets),
                answered_per_s,
                fields.pop("short_per_s", 0.0),
            )
        ],
        **fields,
    )
