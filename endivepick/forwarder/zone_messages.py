"""What instances of a zone ask their feeder, and what it answers."""

from typing import Self

import msgspec
from msgspec import Struct, field

from endivepick.forwarder.http import parse_query
from endivepick.forwarding import ConfigurationChange, FitnessReport, RegistryNews

__all__ = [
    "FeederAhead",
    "FeederAnswer",
    "FeederFull",
    "ZoneNews",
    "ZoneQuestion",
    "read_feeder_answer",
]


def _empty_report() -> FitnessReport:
    return FitnessReport([], [])


class ZoneQuestion(Struct, frozen=True):
    """What is newer than an instance knows?  With it comes what it has seen of targets.

    Attributes
    ----------
    asker : str
        Address at which peers reach the instance that asks.
    config_revision, registry_revision : int
        Revisions of the store up to which it knows the configuration and the registry.
    seen : FitnessReport
        What became of requests there.

    Examples
    --------
    >>> question = ZoneQuestion("10.0.0.1:7000", 7, 9)
    >>> question.query
    'from=10.0.0.1:7000&config=7&registry=9'
    >>> ZoneQuestion.read(question.query) == question
    True
    """

    asker: str
    config_revision: int
    registry_revision: int
    seen: FitnessReport = field(default_factory=_empty_report)

    @property
    def query(self) -> str:
        """The question as the query of a path."""
        revisions = f"config={self.config_revision}&registry={self.registry_revision}"
        question = f"from={self.asker}&{revisions}"
        if self.seen.empty:
            return question
        return f"{question}&seen={msgspec.json.encode(self.seen).hex()}"

    @classmethod
    def read(cls, query: str) -> Self | None:
        """Read a query, None if it is no such question."""
        fields = parse_query(query)
        try:
            config, registry = int(fields["config"]), int(fields["registry"])
            return cls(fields["from"], config, registry, _read_report(fields))
        except (KeyError, ValueError):
            return None


def _read_report(fields: dict[str, str]) -> FitnessReport:
    """Read what an instance has seen; nothing if it is of another build."""
    try:
        return _report_decoder.decode(bytes.fromhex(fields["seen"]))
    except (KeyError, ValueError):
        return _empty_report()


class FeederFull(Struct, frozen=True, tag=True):
    """Answer of a feeder that feeds as many as it can.

    Attributes
    ----------
    feeder : str
        Name of the instance that answers.
    """

    feeder: str


class FeederAhead(Struct, frozen=True, tag=True):
    """Answer of a feeder that cannot tell what changed since the asker's revision.

    The whole registry would be too much for its link, so the asker has to catch up with
    the store first.

    Attributes
    ----------
    feeder : str
        Name of the instance that answers.
    """

    feeder: str


class ZoneNews(Struct, frozen=True, tag=True):
    """Answer of a feeder.

    Attributes
    ----------
    feeder : str
        Name of the instance that answers.
    config_revision : int
        Revision of the configuration in force there.
    config_change : ConfigurationChange or None
        What leads to it from the one that the asker has.
    registry : RegistryNews
        What changed in the registry.
    heard_before_s : float
        How long ago the store answered there, in seconds.
    registry_before_s : float
        How long ago it told of the registry, in seconds.
    seen : FitnessReport
        What became of requests at the instances of the zone together.
    """

    feeder: str
    config_revision: int
    config_change: ConfigurationChange | None
    registry: RegistryNews
    heard_before_s: float
    registry_before_s: float
    seen: FitnessReport = field(default_factory=_empty_report)


FeederAnswer = ZoneNews | FeederFull | FeederAhead
_report_decoder = msgspec.json.Decoder(FitnessReport)
_decoder: msgspec.json.Decoder[FeederAnswer] = msgspec.json.Decoder(FeederAnswer)


def read_feeder_answer(body: bytes) -> FeederAnswer:
    """Read what a feeder answered; raises ``msgspec.MsgspecError`` if it is none."""
    return _decoder.decode(body)
