"""Sources, routes and rules of the fault proxy."""

import fnmatch
import ipaddress
from typing import Annotated, Literal

import pydantic

from standins.control import AddressText, BorderModel

__all__ = [
    "Action",
    "Blackhole",
    "CloseAfterBytes",
    "Cut",
    "Delay",
    "Direction",
    "DropAnswers",
    "Loss",
    "ProxyControl",
    "Route",
    "Rule",
    "Source",
    "find_source",
]

Direction = Literal["to_target", "to_source"]


class Cut(BorderModel):
    """Reset existing and new connections."""

    type: Literal["cut"]


class Blackhole(BorderModel):
    """Keep connections open and hold all data until the rule is lifted."""

    type: Literal["blackhole"]
    direction: Literal["both", "to_target", "to_source"] = "both"

    def holds(self, direction: Direction) -> bool:
        """Return whether bytes of this direction are held."""
        return self.direction in ("both", direction)


class Delay(BorderModel):
    """Delay all data in both directions; delays of several rules add up."""

    type: Literal["delay"]
    delay_ms: float


class Loss(BorderModel):
    """Delay a share of the chunks in both directions, as loss does under TCP.

    TCP retransmits lost segments and delivers the data in order.
    """

    type: Literal["loss"]
    share: float
    repeat_ms: float = 200.0


class DropAnswers(BorderModel):
    """Discard the next bytes from the target and close the connection."""

    type: Literal["drop_answers"]


class CloseAfterBytes(BorderModel):
    """Close a connection after it forwarded `limit_bytes` under this rule."""

    type: Literal["close_after_bytes"]
    limit_bytes: int
    direction: Literal["both", "to_target", "to_source"] = "both"

    def counts(self, direction: Direction) -> bool:
        """Return whether bytes of this direction count."""
        return self.direction in ("both", direction)

    def key(self) -> str:
        """Return a key that stays the same when other rules change."""
        return self.model_dump_json()


Action = Annotated[
    Cut | Blackhole | Delay | Loss | DropAnswers | CloseAfterBytes,
    pydantic.Field(discriminator="type"),
]


class Rule(BorderModel):
    """Fault of the connections that match all four globs.

    Attributes
    ----------
    source, source_zone : str
        Globs for name and zone of the source; both are empty for unknown sources.
    route, route_zone : str
        Globs for name and zone of the route.
    action : Action
        Fault that is applied.
    """

    source: str = "*"
    source_zone: str = "*"
    route: str = "*"
    route_zone: str = "*"
    action: Action

    def matches(self, source: "Source", route: "Route") -> bool:
        """Return whether the rule applies to connections of a source and route."""
        pairs = (
            (source.name, self.source),
            (source.zone, self.source_zone),
            (route.name, self.route),
            (route.zone, self.route_zone),
        )
        return all(fnmatch.fnmatchcase(text, glob) for text, glob in pairs)


class Source(BorderModel):
    """Name and zone of clients in a network, e.g. ``127.1.0.0/16``."""

    prefix: pydantic.IPvAnyNetwork
    name: str
    zone: str = ""


class Route(BorderModel):
    """Listening address and the address that it forwards to."""

    name: str
    zone: str = ""
    listen: AddressText = "127.0.0.1:0"
    forward: AddressText


class ProxyControl(BorderModel):
    """Rules and sources; an update replaces a list as a whole."""

    rules: list[Rule] = []
    sources: list[Source] = []


_UNKNOWN_SOURCE = Source(prefix=ipaddress.ip_network("0.0.0.0/0"), name="")


def find_source(host: str, sources: list[Source]) -> Source:
    """Return the source with the longest prefix that contains the address."""
    address = ipaddress.ip_address(host)
    covering = [source for source in sources if address in source.prefix]
    longest_first = sorted(covering, key=lambda source: -source.prefix.prefixlen)
    return longest_first[0] if longest_first else _UNKNOWN_SOURCE
