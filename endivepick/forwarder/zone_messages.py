"""Messages between the instances of a zone and their feeder."""

import binascii
import zlib
from base64 import urlsafe_b64decode, urlsafe_b64encode
from typing import Self

import msgspec
from msgspec import Struct, field

from endivepick.errors import MessageInvalidError
from endivepick.forwarder.http import parse_query
from endivepick.forwarder.message_decoding import decode_message
from endivepick.forwarding import (
    ConfigurationChange,
    EvacuationSnapshot,
    FitnessReport,
    RegistryNews,
)
from endivepick.forwarding.load.reports import LoadReport, ZoneLoad
from endivepick.forwarding.message_fields import AgeS, InstanceBound, Revision

__all__ = [
    "FeederAhead",
    "FeederAnswer",
    "FeederFull",
    "FeederMoved",
    "ZoneNews",
    "ZoneQuestion",
    "read_feeder_answer",
]

MAX_LOAD_BYTES = 32_768
"""Largest load report in a poll before its compression; twice the size of one with the
maximum number of entries and names of usual length."""


def _empty_report() -> FitnessReport:
    return FitnessReport([], [])


class ZoneQuestion(Struct, frozen=True):
    """Poll of an instance for news since the revisions that it knows, with its report.

    Attributes
    ----------
    asker : str
        Address at which peers reach the polling instance.
    config_revision, registry_revision : int
        Revisions of the store up to which the polling instance knows the
        configuration and the registry.
    seen : FitnessReport
        Report of the outcomes of requests at the polling instance.
    evacuation_revision : int or None
        Revision of the store up to which it knows the evacuated zones; None for an
        instance that does not ask for them.
    may_wait : bool or None
        Whether the feeder may hold the poll until there is news; None for an instance
        of a build that does not say so, which does not know `FeederMoved` either.
    load : LoadReport or None
        Load that its callers put on targets; None for an instance that does not share
        it.
    load_number : int
        Number of that report.

    Examples
    --------
    >>> poll = ZoneQuestion("10.0.0.1:7000", 7, 9)
    >>> poll.query
    'from=10.0.0.1:7000&config=7&registry=9'
    >>> ZoneQuestion.read(poll.query) == poll
    True
    """

    asker: str
    config_revision: int
    registry_revision: int
    seen: FitnessReport = field(default_factory=_empty_report)
    evacuation_revision: int | None = None
    may_wait: bool | None = None
    load: LoadReport | None = None
    load_number: int = 0

    @property
    def query(self) -> str:
        """The poll as the query string of a path."""
        revisions = f"config={self.config_revision}&registry={self.registry_revision}"
        query = f"from={self.asker}&{revisions}"
        if self.evacuation_revision is not None:
            query += f"&evacuations={self.evacuation_revision}"
        if self.may_wait is not None:
            query += f"&wait={int(self.may_wait)}"
        if self.load is not None:
            query += f"&number={self.load_number}&load={_encode_load(self.load)}"
        if self.seen.empty:
            return query
        return f"{query}&seen={msgspec.json.encode(self.seen).hex()}"

    @classmethod
    def read(cls, query: str) -> Self | None:
        """Decode a query string; return None if it is not a poll."""
        fields = parse_query(query)
        try:
            asker = fields["from"]
            config, registry = int(fields["config"]), int(fields["registry"])
            asked = fields.get("evacuations")
            evacuations = None if asked is None else int(asked)
            may_wait = bool(int(fields["wait"])) if "wait" in fields else None
            report = _read_report(fields)
            load = _read_load(fields)
            number = 0 if load is None else int(fields.get("number", 0))
        except (KeyError, ValueError):
            return None
        return cls(
            asker,
            config,
            registry,
            report,
            evacuations,
            may_wait,
            load,
            number,
        )


def _read_report(fields: dict[str, str]) -> FitnessReport:
    """Decode an instance's report; an empty one if it is of another build."""
    try:
        return decode_message(_report_decoder, bytes.fromhex(fields["seen"]))
    except (KeyError, ValueError, MessageInvalidError):
        return _empty_report()


def _encode_load(load: LoadReport) -> str:
    """Encode a load report; it is compressed, as it is part of each poll."""
    compressed = zlib.compress(msgspec.json.encode(load))
    return urlsafe_b64encode(compressed).decode()


def _read_load(fields: dict[str, str]) -> LoadReport | None:
    """Decode an instance's load; None if there is none, or it is of another build."""
    if "load" not in fields:
        return None
    try:
        compressed = urlsafe_b64decode(fields["load"])
        text = zlib.decompressobj().decompress(compressed, MAX_LOAD_BYTES)
        return decode_message(_load_decoder, text)
    except (ValueError, MessageInvalidError, binascii.Error, zlib.error):
        return None


class FeederFull(Struct, frozen=True, tag=True):
    """Answer of a feeder that has reached its maximum number of instances.

    Attributes
    ----------
    feeder : str
        Name of the feeder.
    """

    feeder: str


class FeederAhead(Struct, frozen=True, tag=True):
    """Answer of a feeder that cannot send the changes since the poll's revision.

    The feeder no longer has the deltas since that revision, and the full registry is
    too large for its link; the instance reads the store instead.

    Attributes
    ----------
    feeder : str
        Name of the feeder.
    """

    feeder: str


class FeederMoved(Struct, frozen=True, tag=True):
    """Answer of a feeder that stops: another instance feeds its followers.

    Attributes
    ----------
    feeder : str
        Name of the feeder.
    successor : str
        Address of the instance that holds its claim now.
    """

    feeder: str
    successor: str


class ZoneNews(Struct, frozen=True, tag=True):
    """Answer of a feeder to a poll.

    Attributes
    ----------
    feeder : str
        Name of the feeder.
    config_revision : int
        Revision of the configuration in force there.
    config_change : ConfigurationChange or None
        Delta from the configuration that the polling instance has.
    registry : RegistryNews
        Changes of the registry.
    heard_before_s : float
        Time since the store last answered the feeder, in seconds.
    registry_before_s : float
        Time since the store last answered for the registry, in seconds.
    seen : FitnessReport
        Merged reports of the outcomes of requests at all instances of the zone.
    evacuations : EvacuationSnapshot or None
        Evacuated zones; None if the feeder does not know them, or is of a build without
        them.
    evacuations_before_s : float
        Time since the store last answered for the evacuated zones, in seconds.
    instances : int or None
        Upper bound of the number of instances of all zones, None if it is not known.
    load : ZoneLoad or None
        Load that the callers of all instances put on targets; None if the feeder does
        not know it, or the polling instance does not share its own.
    """

    feeder: str
    config_revision: Revision
    config_change: ConfigurationChange | None
    registry: RegistryNews
    heard_before_s: AgeS
    registry_before_s: AgeS
    seen: FitnessReport = field(default_factory=_empty_report)
    evacuations: EvacuationSnapshot | None = None
    evacuations_before_s: AgeS = 0.0
    instances: InstanceBound | None = None
    load: ZoneLoad | None = None


FeederAnswer = ZoneNews | FeederFull | FeederAhead | FeederMoved
_report_decoder = msgspec.json.Decoder(FitnessReport)
_load_decoder = msgspec.json.Decoder(LoadReport)
_decoder: msgspec.json.Decoder[FeederAnswer] = msgspec.json.Decoder(FeederAnswer)


def read_feeder_answer(body: bytes) -> FeederAnswer:
    """Decode a feeder's answer; raise ``MessageInvalidError`` if it is invalid."""
    return decode_message(_decoder, body)
