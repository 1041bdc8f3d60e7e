"""Recognizes requests and their answers in the packets of a flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from endivepick.forwarding.flows import SEQUENCE_NUMBERS, FlowEvidence, ObservedFlow
from endivepick.forwarding.model import Packet
from endivepick.forwarding.outlier_detector import OutlierDetector

if TYPE_CHECKING:
    from endivepick.forwarding.load.shared_load import SharedLoad

__all__ = ["FlowBefore", "RequestRecorder"]


class FlowBefore(Struct, frozen=True):
    """State of a flow before a packet was observed.

    Attributes
    ----------
    acknowledged : int
        The caller's acknowledgement number.
    busy_since_s : float or None
        When the request in progress started, in seconds; None if there was none.
    """

    acknowledged: int
    busy_since_s: float | None

    @classmethod
    def of(cls, flow: ObservedFlow | None, packet: Packet) -> FlowBefore:
        """Return the state of a flow; of one that was not observed, by its packet."""
        if flow is None:
            return cls(packet.acknowledged, None)
        return cls(flow.acknowledged, flow.busy_since_s)


class RequestRecorder:
    """Tells outlier detection and shared load of requests and answers.

    Parameters
    ----------
    outlier_detector : OutlierDetector or None
        Counts outcomes of requests; None if targets are not judged.
    load : SharedLoad or None
        Load shared with other instances; None if it is not shared.
    """

    def __init__(
        self, outlier_detector: OutlierDetector | None, load: SharedLoad | None
    ) -> None:
        self._outlier_detector = outlier_detector
        self._load = load

    def record(
        self,
        flow: ObservedFlow,
        before: FlowBefore,
        packet: Packet,
        evidence: FlowEvidence,
        aim_s: float,
        now_s: float,
    ) -> None:
        """Record the answer that a packet acknowledges, and the request it starts.

        Parameters
        ----------
        flow : ObservedFlow
            Its flow, which the packet may have closed.
        before : FlowBefore
            State of the flow before the packet.
        packet : Packet
            The packet, already observed.
        evidence : FlowEvidence
            What the packet showed.
        aim_s : float
            Time within which the request should be answered, in seconds; 0 if unknown.
        now_s : float
            Current time, in seconds.
        """
        if evidence is FlowEvidence.PROGRESS and before.busy_since_s is not None:
            size_bytes = (packet.acknowledged - before.acknowledged) % SEQUENCE_NUMBERS
            waited_s = now_s - before.busy_since_s
            self._record_answer(flow, waited_s, size_bytes, now_s)
        if flow.busy_since_s not in (None, before.busy_since_s):
            self._record_request(flow, aim_s, now_s)

    def _record_answer(
        self, flow: ObservedFlow, waited_s: float, size_bytes: int, now_s: float
    ) -> None:
        if self._outlier_detector is not None:
            requests = self._outlier_detector.requests
            requests.answered(flow, waited_s, size_bytes, now_s)

    def _record_request(self, flow: ObservedFlow, aim_s: float, now_s: float) -> None:
        if self._outlier_detector is not None:
            self._outlier_detector.requests.record_request(flow, now_s)
        if self._load is not None:
            self._load.record_request(flow, aim_s, now_s)
