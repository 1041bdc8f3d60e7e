"""Load that the instances share: own measurement, sums of a feeder, and the view."""

from endivepick.forwarding.answer_deadlines import AnswerDeadlines
from endivepick.forwarding.flows import FlowTable, ObservedFlow
from endivepick.forwarding.load.meter import LoadMeter
from endivepick.forwarding.load.reports import LoadReport, ZoneLoad, ZoneTotals
from endivepick.forwarding.load.view import LoadView
from endivepick.forwarding.load.zone_sums import ZoneSums
from endivepick.forwarding.registry import TargetRegistry

__all__ = ["SharedLoad"]

MERGE_PERIOD_S = 0.2
"""Period at which a feeder sums the reports, which takes some milliseconds of CPU
time."""
FEEDING_SETTLES_S = 0.6
"""Time after its start in which a feeder tells nothing about load, in seconds.

The followers of a feeder that stopped poll its successor within this time.  It is less
than a poll is held, so that the answers to these polls have the load."""

STALLED_AIMS = 2.0
"""Multiple of its aim after which a request in progress no longer counts as load.  Its
target may have dropped it or reset its flow at the caller, which shows here only when
the flow expires.  A target with so long a queue is still seen to be full by the
requests that came later."""

REPORT_LAG_S = 0.5
"""Time until a report shows the load of an opening, in seconds: its caller first
completes the handshake, and the mean of the requests in progress follows in about a
second."""


class SharedLoad:
    """Load as measured here and as shared with other instances.

    Parameters
    ----------
    zone : str
        Availability zone of this instance.
    flows : FlowTable
        Flows of this instance.
    registry : TargetRegistry
        All known targets.
    """

    def __init__(self, zone: str, flows: FlowTable, registry: TargetRegistry) -> None:
        self.meter = LoadMeter(flows, registry)
        self._flows = flows
        self._deadlines = AnswerDeadlines()
        self.sums = ZoneSums(zone)
        self.view = LoadView(zone)
        self._zone = zone
        self._number = 0
        self._reported_s = float("-inf")
        self._feeding_since_s: float | None = None
        self._merged: ZoneLoad | None = None
        self._merged_s = float("-inf")

    def begin(self, address: str, first_number: int) -> None:
        """Set the own address, and a number that earlier processes have not reached.

        Parameters
        ----------
        address : str
            Address at which peers reach this instance.
        first_number : int
            The start of this process, in Unix milliseconds; an instance sends fewer
            reports than one per millisecond.
        """
        self.sums.own_address = address
        self._number = max(self._number, first_number)

    @property
    def feeding(self) -> bool:
        """Whether this instance feeds others."""
        return self._feeding_since_s is not None

    def set_feeding(self, feeding: bool, now_s: float) -> None:
        """Record whether this instance feeds others."""
        if not feeding:
            self._feeding_since_s = self._merged = None
        elif self._feeding_since_s is None:
            self._feeding_since_s = now_s

    def record_request(self, flow: ObservedFlow, aim_s: float, now_s: float) -> None:
        """Record the start of a request; ``aim_s`` is 0 if it has no aim."""
        if aim_s > 0.0:
            due_s = now_s + STALLED_AIMS * aim_s
            self._deadlines.add_deadline(flow.key, now_s, due_s)

    def tick(self, now_s: float) -> None:
        """Sample the own load; at a feeder, update the view from the sums."""
        for flow in self._deadlines.pop_overdue(self._flows, now_s):
            self._flows.mark_stalled(flow)
        self.meter.tick(now_s)
        self.zone_load(now_s)

    def make_report(self, now_s: float) -> tuple[int, LoadReport]:
        """Return the number and the content of a report for a feeder."""
        self._number += 1
        self._reported_s = now_s
        return self._number, self.meter.report(now_s)

    def receive(self, load: ZoneLoad, now_s: float) -> None:
        """Apply the news that a feeder sent in answer to the last report."""
        self.view.update(load, now_s, self._reported_s - REPORT_LAG_S)

    def zone_load(self, now_s: float) -> ZoneLoad | None:
        """Return a feeder's sums; None if this instance does not feed long enough."""
        began_s = self._feeding_since_s
        if began_s is None or now_s - began_s < FEEDING_SETTLES_S:
            return None
        if self._merged is None or now_s - self._merged_s >= MERGE_PERIOD_S:
            self._merged = self.sums.zone_load(self.meter.report(now_s), now_s)
            self._merged_s = now_s
            self.view.update(self._merged, now_s, now_s - REPORT_LAG_S)
        return self._merged

    def zone_totals(self, now_s: float) -> ZoneTotals | None:
        """Return a feeder's totals for other zones; None as for `zone_load`."""
        load = self.zone_load(now_s)
        if load is None:
            return None
        age_s = round(now_s - self._merged_s, 2)
        return ZoneTotals(self._zone, age_s, load.own.services)
