"""Settings of a forwarder: JSON with comments, validated when they are read."""

import re
from typing import Annotated

import msgspec

from endivepick.addresses import parse_address
from endivepick.errors import SettingsInvalidError
from endivepick.forwarding.mechanisms import Mechanisms

__all__ = [
    "OVERLOAD_REQUIREMENT",
    "ForwarderSettings",
    "decode_settings",
    "load_forwarder_settings",
]

_TEXT_OR_COMMENT = re.compile(rb'"(?:\\.|[^"\\])*"|//[^\n]*|/\*.*?\*/', re.DOTALL)
_Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
_Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=3_600_000)]
OVERLOAD_REQUIREMENT = "pressure"
"""Requirement of a platform that enables the parts for overloaded services."""


class ForwarderSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one forwarder.

    Attributes
    ----------
    name, zone : str
        Name of this instance and its availability zone.
    zones : list of str
        All availability zones.
    data_address : str
        UDP address for the packets of callers.
    ready_address, ready_path : str
        TCP address and path of the readiness check.
    metrics_address : str
        TCP address of ``/metrics`` and ``/status``.
    store_address : str
        TCP address of the platform's object API.
    peer_address : str
        TCP address for calls of peers; empty if there are none.
    peer_reach_address : str
        Address at which peers reach this instance if it differs from `peer_address`, as
        behind a proxy or an address translation.
    seeds : list of str
        Initial peer addresses; some may be stale.
    change_in_force_ms, drain_in_force_ms : float
        Maximum time from the store's acknowledgement of a configuration, or of a
        target's drain, until it is in force here, in milliseconds.
    store_settles_ms : float
        Time after an outage of the store from which these limits hold again, in
        milliseconds.
    evacuation_in_force_ms : float or None
        Maximum time from the store's acknowledgement of a zone's evacuation, or of its
        end, until it is in force here, in milliseconds; None if the store has no
        evacuations, and then they are not read.
    zone_regions : dict of str to str
        Region of each availability zone; empty if there are no regions.
    watch_wait_s, gather_s : float or None
        Maximum time for which the store may hold a watch, and the pause after changes,
        in seconds; None derives them from the times above, see
        `endivepick.forwarder.freshness`.
    call_timeout_s : float
        Timeout of a call that the store does not hold, in seconds.
    retry_base_s, retry_cap_s : float
        Bounds of the backoff before a failed call is retried, in seconds.
    stop_s : float
        How long packets are forwarded after a stop signal, in seconds. The fabric
        checks readiness twice a second and stops sending after two failed checks; the
        rest covers packets in transit.
    stop_grace_s : float
        Time from a stop signal until the process is killed, in seconds.
    flow_longest_s : float
        Maximum lifetime of a flow, in seconds.
    link_mbps : float
        Bandwidth of this machine's link, in Mbit/s.
    zone_feeders : int
        Minimum number of instances of a zone that follow the store and feed the others;
        with 0, all instances follow it. When the only feeder is lost, the instances
        that it fed follow the store for some seconds, which costs extra store
        calls but delays no change.
    fed_most : int
        Maximum number of instances that one feeder feeds; a larger zone has more
        feeders.
    requirements : list of str
        Requirements that the platform places on this installation; ``"pressure"`` is
        the one that services stay usable under more load than their targets bear.
    share_load, limit_overload : bool or None
        Whether instances share the load of targets and place openings by it, and
        whether openings of low priority are rejected while a service is overloaded;
        None if both follow from the requirements.  Openings are rejected only where
        load is shared, so `share_load` false disables both.
    mechanisms : Mechanisms
        Mechanisms in use; all are unless the settings disable them.
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
    evacuation_in_force_ms: _Milliseconds | None = None
    zone_regions: dict[str, str] = {}
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
    fed_most: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 32
    requirements: list[str] = []
    share_load: bool | None = None
    limit_overload: bool | None = None
    mechanisms: Mechanisms = Mechanisms()

    @property
    def shares_load(self) -> bool:
        """Whether instances share the load of targets."""
        if self.share_load is not None:
            return self.share_load
        return self._requires_overload_parts

    @property
    def limits_overload(self) -> bool:
        """Whether openings of low priority are rejected during an overload."""
        if self.limit_overload is not None:
            return self.limit_overload
        return self.shares_load and self._requires_overload_parts

    @property
    def _requires_overload_parts(self) -> bool:
        return OVERLOAD_REQUIREMENT in self.requirements

    @property
    def advertised_address(self) -> str:
        """Address at which peers reach this instance."""
        return self.peer_reach_address or self.peer_address


_ADDRESSES = ("data_address", "ready_address", "metrics_address", "store_address")
_OPTIONAL_ADDRESSES = ("peer_address", "peer_reach_address")
_LIMIT_WITHOUT_LOAD = (
    "limit_overload: overload is detected by shared load. Set share_load to true, or "
    "limit_overload to false."
)


def decode_settings(text: bytes) -> ForwarderSettings:
    """Decode and validate the text of a settings file.

    Comments start with ``//`` and end with the line, or are enclosed in ``/* */``.

    Raises
    ------
    SettingsInvalidError
        The message names the key and the remedy.

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
        raise SettingsInvalidError(f"zone: add {settings.zone} to zones.")
    if settings.limits_overload and not settings.shares_load:
        raise SettingsInvalidError(_LIMIT_WITHOUT_LOAD)
    return settings


def _without_comment(found: re.Match[bytes]) -> bytes:
    """Keep quoted strings, which may contain comment markers."""
    return found[0] if found[0].startswith(b'"') else b" "


def load_forwarder_settings(path: str) -> ForwarderSettings:
    """Read a settings file.

    Raises
    ------
    SettingsInvalidError
        If the file cannot be read or is invalid; the message names the remedy.
    """
    try:
        with open(path, "rb") as file:
            text = file.read()
    except OSError as error:
        message = f"{path}: {error.strerror}. Specify a readable file."
        raise SettingsInvalidError(message) from None
    return decode_settings(text)
