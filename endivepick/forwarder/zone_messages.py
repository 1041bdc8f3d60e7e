"""What instances of a zone ask their feeder, and what it answers."""

from typing import Self

import msgspec
from msgspec import Struct

from endivepick.forwarder.http import query_fields
from endivepick.forwarding import ConfigurationChange, RegistryNews

__all__ = [
    "FeederAhead",
    "FeederAnswer",
    "FeederFull",
    "ZoneNews",
    "ZoneQuestion",
    "read_feeder_answer",
]


class ZoneQuestion(Struct, frozen=True):
    """What is newer than an instance knows?

    Attributes
    ----------
    asker : str
        Address at which peers reach the instance that asks.
    config_revision, registry_revision : int
        Revisions of the store up to which it knows the configuration and the registry.

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

    @property
    def query(self) -> str:
        """The question as the query of a path."""
        revisions = f"config={self.config_revision}&registry={self.registry_revision}"
        return f"from={self.asker}&{revisions}"

    @classmethod
    def read(cls, query: str) -> Self | None:
        """Read a query, None if it is no such question."""
        fields = query_fields(query)
        try:
            return cls(fields["from"], int(fields["config"]), int(fields["registry"]))
        except (KeyError, ValueError):
            return None


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
    """

    feeder: str
    config_revision: int
    config_change: ConfigurationChange | None
    registry: RegistryNews
    heard_before_s: float
    registry_before_s: float


FeederAnswer = ZoneNews | FeederFull | FeederAhead
_decoder: msgspec.json.Decoder[FeederAnswer] = msgspec.json.Decoder(FeederAnswer)


def read_feeder_answer(body: bytes) -> FeederAnswer:
    """Read what a feeder answered; raises ``msgspec.MsgspecError`` if it is none."""
    return _decoder.decode(body)
