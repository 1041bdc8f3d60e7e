"""Exchanges load between feeders.

Each second a feeder asks the other feeders of its zone for the reports that were sent
to them, and one feeder of each other zone for the totals of that zone.  Only totals by
service and zone pass between zones.

The addresses of the feeders are those of the claims that are read anyway.  A feeder
that replaced a lost one asks the others, which learn its address from its calls.
"""

import random
import zlib
from collections.abc import Callable, Sequence

import gevent
import msgspec
from gevent.pool import Pool
from msgspec import Struct, field

from endivepick.addresses import is_address
from endivepick.clock import steady_now_s
from endivepick.errors import EndivepickError
from endivepick.forwarder.http import Response, parse_query
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.message_decoding import decode_message
from endivepick.forwarder.peers import LOAD_PATH
from endivepick.forwarder.ports import FeederClaim
from endivepick.forwarder.settings import ForwarderSettings
from endivepick.forwarding.load.reports import ReportedLoad, ZoneTotals
from endivepick.forwarding.load.shared_load import SharedLoad
from endivepick.store import store_connection

__all__ = ["FeederDirectory", "LoadAnswer", "LoadExchange"]

EXCHANGE_PERIOD_S = 1.0
"""Period of the calls to other feeders; totals of another zone count for three
periods."""
EXCHANGE_TIMEOUT_S = 0.5
"""Timeout of a call to another feeder, less than `EXCHANGE_PERIOD_S`."""
CALLER_TTL_S = 5.0
"""How long a feeder that called counts as one; it calls each second."""
FAILED_TTL_S = 5.0
"""How long a feeder that did not answer is passed over while its zone has others."""
MAX_CALLERS = 64
"""Maximum number of feeders of a zone that are learnt from their calls."""
MAX_PENDING_CALLS = 128
"""Maximum number of calls in progress."""
MAX_ANSWER_BYTES = 1_000_000
"""Largest answer after its decompression, several times that of a feeder which feeds as
many instances as it may."""
_FROM = "from"
_ZONE = "zone"
_NOT_FOUND = Response(404)


class LoadAnswer(Struct, frozen=True):
    """Load that a feeder knows.

    Attributes
    ----------
    totals : ZoneTotals or None
        Totals of its zone, for a feeder of another zone; None if they are not known.
    reports : list of ReportedLoad
        Reports that were sent to it, for a feeder of the same zone.
    """

    totals: ZoneTotals | None = None
    reports: list[ReportedLoad] = field(default_factory=list)


_answer_decoder = msgspec.json.Decoder(LoadAnswer)


class FeederDirectory:
    """Addresses of the feeders of all zones.

    Parameters
    ----------
    own_zone, own_address : str
        Availability zone and address of this instance.
    zones : sequence of str
        All availability zones.
    """

    def __init__(self, own_zone: str, own_address: str, zones: Sequence[str]) -> None:
        self._own_zone = own_zone
        self._own_address = own_address
        self._claimed: dict[str, list[str]] = {zone: [] for zone in zones}
        self._callers: dict[str, dict[str, float]] = {zone: {} for zone in zones}
        self._failed_s: dict[str, float] = {}

    def set_claims(self, claims: Sequence[FeederClaim]) -> None:
        """Replace the feeders that hold claims."""
        for zone in self._claimed:
            self._claimed[zone] = [
                claim.holder
                for claim in claims
                if claim.holder and claim.name.rpartition(".")[0] == zone
            ]

    def mark_caller(self, zone: str, address: str, now_s: float) -> None:
        """Record that a feeder of a zone called."""
        callers = self._callers.get(zone)
        if callers is None or not is_address(address):
            return
        if address in callers or len(callers) < MAX_CALLERS:
            callers[address] = now_s

    def mark_answered(self, address: str) -> None:
        """Record that a feeder answered."""
        self._failed_s.pop(address, None)

    def mark_failed(self, address: str, now_s: float) -> bool:
        """Record that a feeder did not answer; return whether this is new."""
        is_new = address not in self._failed_s
        self._failed_s[address] = now_s
        return is_new

    def choose_feeders(
        self, now_s: float, random_share: Callable[[], float]
    ) -> list[tuple[str, str]]:
        """Return zone and address of the feeders to ask.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        random_share : callable
            Returns random numbers from 0 to 1.
        """
        self._forget_expired(now_s)
        chosen: list[tuple[str, str]] = []
        for zone in self._claimed:
            known = self._list_feeders(zone)
            if zone == self._own_zone:
                chosen += [(zone, address) for address in known]
                continue
            answering = [each for each in known if each not in self._failed_s]
            pool = answering or known
            if pool:
                index = int(random_share() * len(pool)) % len(pool)
                chosen.append((zone, pool[index]))
        return chosen

    def _list_feeders(self, zone: str) -> list[str]:
        known = dict.fromkeys((*self._claimed[zone], *self._callers[zone]))
        return [address for address in known if address != self._own_address]

    def _forget_expired(self, now_s: float) -> None:
        for zone, callers in self._callers.items():
            self._callers[zone] = {
                address: called_s
                for address, called_s in callers.items()
                if now_s - called_s <= CALLER_TTL_S
            }
        self._failed_s = {
            address: failed_s
            for address, failed_s in self._failed_s.items()
            if now_s - failed_s <= FAILED_TTL_S
        }


class LoadExchange:
    """Task of a feeder that asks other feeders for load, and answers them.

    Parameters
    ----------
    settings : ForwarderSettings
        Zones and addresses.
    load : SharedLoad
        Load that this instance knows.
    log : BoundedLog
        Log of the failed calls.
    """

    def __init__(
        self, settings: ForwarderSettings, load: SharedLoad, log: BoundedLog
    ) -> None:
        self._zone = settings.zone
        self._own_address = settings.advertised_address
        self._load = load
        self._log = log
        self._pending = Pool(MAX_PENDING_CALLS)
        self.directory = FeederDirectory(
            settings.zone, self._own_address, settings.zones
        )
        """Feeders of all zones."""

    def run(self) -> None:
        """Ask the other feeders periodically while this instance feeds."""
        while True:
            gevent.sleep(EXCHANGE_PERIOD_S)
            if self._load.feeding:
                self.ask_feeders()

    def ask_feeders(self) -> None:
        """Ask feeders in the background, so that a silent one delays no other."""
        chosen = self.directory.choose_feeders(steady_now_s(), random.random)
        for zone, address in chosen:
            if self._pending.free_count() > 0:
                self._pending.spawn(self._ask, zone, address)

    def answer(self, query: str) -> Response:
        """Answer another feeder, according to its zone."""
        fields = parse_query(query)
        if not self._load.feeding:
            return _NOT_FOUND
        now_s = steady_now_s()
        zone = fields.get(_ZONE, "")
        self.directory.mark_caller(zone, fields.get(_FROM, ""), now_s)
        if zone != self._zone:
            return _encode(LoadAnswer(self._load.zone_totals(now_s)))
        number, own_report = self._load.make_report(now_s)
        reports = self._load.sums.list_reports(own_report, number, now_s)
        return _encode(LoadAnswer(reports=reports))

    def _ask(self, zone: str, address: str) -> None:
        path = f"{LOAD_PATH}?{_FROM}={self._own_address}&{_ZONE}={self._zone}"
        try:
            with (
                gevent.Timeout(EXCHANGE_TIMEOUT_S, TimeoutError("timeout")),
                store_connection(address) as connection,
            ):
                body = connection.get(path, EXCHANGE_TIMEOUT_S)
            answer = _decode(body)
        except (EndivepickError, OSError, ValueError, zlib.error) as error:
            if self.directory.mark_failed(address, steady_now_s()):
                self._log_failure(zone, address, str(error))
            return
        self.directory.mark_answered(address)
        self._record(zone, address, answer)

    def _record(self, zone: str, address: str, answer: LoadAnswer) -> None:
        now_s = steady_now_s()
        if zone == self._zone:
            self._load.sums.record_relayed(address, answer.reports, now_s)
        elif answer.totals is not None and answer.totals.zone == zone:
            self._load.sums.record_totals(answer.totals, now_s)

    def _log_failure(self, zone: str, address: str, error: str) -> None:
        self._log.event(
            "zone",
            "load_unknown",
            "another feeder did not tell its load",
            zone=zone,
            feeder=address,
            error=error,
        )


def _encode(answer: LoadAnswer) -> Response:
    body = zlib.compress(msgspec.json.encode(answer), level=1)
    return Response(200, body, "application/octet-stream")


def _decode(body: bytes) -> LoadAnswer:
    """Decode an answer.

    Raises
    ------
    MessageInvalidError
        If it is not valid.
    zlib.error
        If it is not compressed.
    """
    text = zlib.decompressobj().decompress(body, MAX_ANSWER_BYTES)
    return decode_message(_answer_decoder, text)
