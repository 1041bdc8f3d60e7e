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
    """Reset existing connections and new ones."""

    type: Literal["cut"]


class Blackhole(BorderModel):
    """Keep connections open and hold back everything until the rule is lifted."""

    type: Literal["blackhole"]
    direction: Literal["both", "to_target", "to_source"] = "both"

    def holds(self, direction: Direction) -> bool:
        """Tell whether bytes of this direction are held back."""
        return self.direction in ("both", direction)


class Delay(BorderModel):
    """Deliver everything that much later, each way; delays of rules add up."""

    type: Literal["delay"]
    delay_ms: float


class Loss(BorderModel):
    """Lose this share of the chunks, each way; TCP repeats them later, in order."""

    type: Literal["loss"]
    share: float
    repeat_ms: float = 200.0


class DropAnswers(BorderModel):
    """Swallow the next bytes from the target and close the connection."""

    type: Literal["drop_answers"]


class CloseAfterBytes(BorderModel):
    """Close a connection once it passed that many bytes under this rule."""

    type: Literal["close_after_bytes"]
    limit_bytes: int
    direction: Literal["both", "to_target", "to_source"] = "both"

    def counts(self, direction: Direction) -> bool:
        """Tell whether bytes of this direction count."""
        return self.direction in ("both", direction)

    def key(self) -> str:
        """Identify the limit; it is the same after other rules changed."""
        return self.model_dump_json()


Action = Annotated[
    Cut | Blackhole | Delay | Loss | DropAnswers | CloseAfterBytes,
    pydantic.Field(discriminator="type"),
]


class Rule(BorderModel):
    """A fault of the connections that match all four globs.

    Attributes
    ----------
    source, source_zone : str
        Globs over name and zone of the source; an unknown source has empty ones.
    route, route_zone : str
        Globs over name and zone of the route.
    action : Action
        What happens to them.
    """

    source: str = "*"
    source_zone: str = "*"
    route: str = "*"
    route_zone: str = "*"
    action: Action

    def matches(self, source: "Source", route: "Route") -> bool:
        """Tell whether the rule covers connections of this source and route."""
        pairs = (
            (source.name, self.source),
            (source.zone, self.source_zone),
            (route.name, self.route),
            (route.zone, self.route_zone),
        )
        return all(fnmatch.fnmatchcase(text, glob) for text, glob in pairs)


class Source(BorderModel):
    """Who connects from an address or network, e.g. ``127.1.0.0/16``."""

    prefix: pydantic.IPvAnyNetwork
    name: str
    zone: str = ""


class Route(BorderModel):
    """A listening address and the address that it stands for."""

    name: str
    zone: str = ""
    listen: AddressText = "127.0.0.1:0"
    forward: AddressText


class ProxyControl(BorderModel):
    """Rules and sources; both lists are replaced whole."""

    rules: list[Rule] = []
    sources: list[Source] = []


_UNKNOWN_SOURCE = Source(prefix=ipaddress.ip_network("0.0.0.0/0"), name="")


def find_source(host: str, sources: list[Source]) -> Source:
    """Return the source with the longest prefix that covers the address."""
    address = ipaddress.ip_address(host)
    covering = [source for source in sources if address in source.prefix]
    longest_first = sorted(covering, key=lambda source: -source.prefix.prefixlen)
    return longest_first[0] if longest_first else _UNKNOWN_SOURCE
