"""Settings of a forwarder: JSON with comments, checked where they are read."""

import re
from typing import Annotated

import msgspec

from endivepick.addresses import parse_address
from endivepick.errors import SettingsInvalidError
from endivepick.forwarding.mechanisms import Mechanisms

__all__ = ["ForwarderSettings", "decode_settings", "load_forwarder_settings"]

_TEXT_OR_COMMENT = re.compile(rb'"(?:\\.|[^"\\])*"|//[^\n]*|/\*.*?\*/', re.DOTALL)
_Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
_Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=3_600_000)]


class ForwarderSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one forwarder.

    Attributes
    ----------
    name, zone : str
        This instance and its availability zone.
    zones : list of str
        All availability zones.
    data_address : str
        UDP address for packets of callers.
    ready_address, ready_path : str
        TCP address and path that say whether this instance takes packets.
    metrics_address : str
        TCP address of ``/metrics`` and ``/status``.
    store_address : str
        TCP address of the platform's object API.
    peer_address : str
        TCP address that peers ask; empty if they cannot.
    peer_reach_address : str
        Address at which peers reach it, if that is another one: behind a proxy or a
        translation of addresses.
    seeds : list of str
        Peer addresses to begin with; some may be stale.
    change_in_force_ms, drain_in_force_ms : float
        Time in which a configuration, or that a target drains, has to be in force here
        once the store has acknowledged it, in milliseconds.
    store_settles_ms : float
        From when after an outage of the store these times hold again, in milliseconds.
    watch_wait_s, gather_s : float or None
        How long the store may hold a watch, and the pause after changes, in seconds;
        None: as `endivepick.forwarder.freshness` derives them from the times above.
    call_timeout_s : float
        Longest wait for an answer that the store does not hold, in seconds.
    retry_base_s, retry_cap_s : float
        Bounds of the wait before a failed call is repeated, in seconds.
    stop_s : float
        How long packets are forwarded after a stop signal, in seconds: the fabric
        asks for readiness twice a second and turns away after two misses; the rest
        covers packets on their way.
    stop_grace_s : float
        The process is killed that long after a stop signal, in seconds.
    flow_longest_s : float
        Longest life of a flow, in seconds.
    link_mbps : float
        Speed of this machine's link, in Mbit/s.
    zone_feeders : int
        Fewest instances of a zone that follow the store and feed the others; 0 lets
        all follow it.  When the only one is lost, those whom it fed follow the store
        for some seconds, which costs calls but no time.
    fed_most : int
        Most instances that one of them feeds; a larger zone has more feeders.
    mechanisms : Mechanisms
        What is in use; all are unless the settings say otherwise.
    """

    name: str
    zone: str
    zones: Annotated[list[str], msgspec.Meta(min_length=1)]
    data_address: str
    ready_address: str
    metrics_address: str
    store_address: str
    ready_path: str = "/readyz"
    peer_address: str = ""
    peer_reach_address: str = ""
    seeds: list[str] = []
    change_in_force_ms: _Milliseconds = 3000.0
    drain_in_force_ms: _Milliseconds = 3000.0
    store_settles_ms: _Milliseconds = 4000.0
    watch_wait_s: _Seconds | None = None
    gather_s: Annotated[float, msgspec.Meta(ge=0, le=60)] | None = None
    call_timeout_s: _Seconds = 2.0
    retry_base_s: _Seconds = 0.2
    retry_cap_s: _Seconds = 1.0
    stop_s: _Seconds = 2.5
    stop_grace_s: _Seconds = 6.0
    flow_longest_s: _Seconds = 60.0
    link_mbps: Annotated[float, msgspec.Meta(gt=0)] = 1000.0
    zone_feeders: Annotated[int, msgspec.Meta(ge=0, le=64)] = 1
    fed_most: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 24
    mechanisms: Mechanisms = Mechanisms()

    @property
    def reached_at(self) -> str:
        """Address that this instance tells its peers."""
        return self.peer_reach_address or self.peer_address


_ADDRESSES = ("data_address", "ready_address", "metrics_address", "store_address")
_OPTIONAL_ADDRESSES = ("peer_address", "peer_reach_address")


def decode_settings(text: bytes) -> ForwarderSettings:
    """Check the text of a settings file.

    Comments begin with ``//`` and end with their line, or stand in ``/* */``.

    Raises
    ------
    SettingsInvalidError
        With key and remedy.

    Examples
    --------
    >>> decode_settings(b"{}")
    Traceback (most recent call last):
    ...
    endivepick.errors.SettingsInvalidError: Object missing required field `name`. \
Correct the settings file.
    """
    bare = _TEXT_OR_COMMENT.sub(_without_comment, text)
    try:
        settings = msgspec.json.decode(bare, type=ForwarderSettings)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise SettingsInvalidError(f"{error}. Correct the settings file.") from None
    addresses = [(key, getattr(settings, key)) for key in _ADDRESSES]
    addresses += [
        (key, getattr(settings, key))
        for key in _OPTIONAL_ADDRESSES
        if getattr(settings, key)
    ]
    addresses += [("seeds", seed) for seed in settings.seeds]
    for key, address in addresses:
        try:
            parse_address(address)
        except ValueError as error:
            raise SettingsInvalidError(f"{key}: {error}.") from None
    if settings.zone not in settings.zones:
        raise SettingsInvalidError(f"zone: name {settings.zone} in zones as well.")
    return settings


def _without_comment(found: re.Match[bytes]) -> bytes:
    """Keep texts in quotes, which may hold what looks like a comment."""
    return found[0] if found[0].startswith(b'"') else b" "


def load_forwarder_settings(path: str) -> ForwarderSettings:
    """Read a settings file.

    Raises
    ------
    SettingsInvalidError
        If it cannot be read or is refused; the message names the remedy.
    """
    try:
        with open(path, "rb") as file:
            text = file.read()
    except OSError as error:
        message = f"{path}: {error.strerror}. Name a file that can be read."
        raise SettingsInvalidError(message) from None
    return decode_settings(text)
