"""Execution of key rotation by one instance on behalf of all.

An operator adds a pending key.  It becomes the current one when every instance
that may be alive has reported that it has the key, so that no instance receives
a token that it cannot verify.  Keys for which no token can still be valid are
removed.
"""

from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, replace
from typing import Any, Protocol

import msgspec
from returns.result import Failure

from endivepick.backoff import Backoff, BackoffSettings
from endivepick.core.actions import Action, CallPlatform, Count, Log
from endivepick.core.catalog import ActiveKeyring
from endivepick.core.flow_table import CLOCK_SKEW_MARGIN_S
from endivepick.core.key_rotation import (
    RotationSettings,
    activate_pending,
    may_activate,
    retire_old,
)
from endivepick.core.keyring import Keyring, keyring_to_body
from endivepick.core.platform_calls import (
    CallFailed,
    CallPurpose,
    ListObjects,
    ObjectsRead,
    ObjectWritten,
    PlatformAnswer,
    WriteObject,
)
from endivepick.membership import InstanceView, PeerState
from endivepick.records.objects import (
    KEYRING_KIND,
    KEYRING_NAME,
    STATUS_KIND,
    StoredObject,
)

__all__ = ["KeyRotator", "KeySettings", "RotationSources"]

ZONE_DELAY_S = 10.0
"""Additional delay of each zone after the preceding one, in seconds."""


@dataclass(frozen=True)
class KeySettings:
    """Settings for the rotation of keys for flow tokens.

    Attributes
    ----------
    check_every_s : float
        Interval between checks of the keyring versions that instances report,
        in seconds.
    pending_min_s : float
        Minimum age of a pending key before it is activated, in seconds.  It must
        cover the maximum lag of the platform's list of instances.
    cut_off_allowance_s : float
        How long a partitioned instance that missed a rotation may continue to
        sign with the replaced key, in seconds.
    """

    check_every_s: float = 2.0
    pending_min_s: float = 10.0
    cut_off_allowance_s: float = RotationSettings.cut_off_allowance_s


class RotationSources(Protocol):
    """Inputs for the decisions of key rotation."""

    @property
    def is_status_writer(self) -> bool:
        """Whether this instance is the status writer of its zone."""

    @property
    def view(self) -> Mapping[str, InstanceView]:
        """All known instances by name."""

    @property
    def listed(self) -> Set[str] | None:
        """Names on the platform's list of instances; None until it has been read."""


class _InstancePart(msgspec.Struct, frozen=True):
    """Fields of an instance's status entry that identify its keyring."""

    incarnation: str = ""
    keyring_version: int = 0


class KeyRotator:
    """Activates pending keys and removes expired ones.

    The status writer of each zone attempts the rotation, each with a longer delay
    than that of the preceding zone.  A zone that cannot reach the platform thus
    does not block the rotation.  Conditional writes resolve races.

    Parameters
    ----------
    settings : KeySettings
        Intervals and delays.
    token_lifetime_s : float
        Age at which a flow token expires, in seconds.
    zone : str
        Availability zone of this instance.
    keys : ActiveKeyring
        Keyring in force at this instance.
    sources : RotationSources
        Inputs for the decisions.
    """

    def __init__(
        self,
        settings: KeySettings,
        token_lifetime_s: float,
        zone: str,
        keys: ActiveKeyring,
        sources: RotationSources,
    ) -> None:
        self._settings = settings
        self._rotation = RotationSettings(
            token_lifetime_s + CLOCK_SKEW_MARGIN_S, settings.cut_off_allowance_s
        )
        self._zone = zone
        self._keys = keys
        self._sources = sources
        self._backoff = Backoff(BackoffSettings())
        self._call_pending = False
        self._observed_version = 0
        self._observed_at_s = 0.0
        self._next_check_s = float("-inf")
        self._wait_reason = ""

    def tick(self, now_s: float) -> list[Action]:
        """Return the platform calls that are due.

        Parameters
        ----------
        now_s : float
            Current time, in seconds since the epoch.
        """
        if self._call_pending or now_s < self._next_check_s:
            return []
        self._next_check_s = now_s + self._settings.check_every_s
        keyring = self._keys.keyring
        if keyring is None or not self._sources.is_status_writer:
            self._observed_version = 0
            return []
        retired = retire_old(keyring, self._rotation, now_s)
        if keyring.pending is None and retired == keyring:
            self._observed_version = 0
            return []
        if not self._has_zone_delay_passed(now_s):
            return []
        self._call_pending = True
        if keyring.pending is None:
            return [self._write_keyring(retired)]
        return [CallPlatform(CallPurpose.KEYS, ListObjects(STATUS_KIND))]

    def _has_zone_delay_passed(self, now_s: float) -> bool:
        """Return whether this keyring version is older than this zone's delay."""
        if self._observed_version != self._keys.version:
            self._observed_version = self._keys.version
            self._observed_at_s = now_s
        alive = (v for v in self._sources.view.values() if v.state != PeerState.DEAD)
        preceding_zones = {view.zone for view in alive if view.zone < self._zone}
        wait_s = self._settings.pending_min_s + ZONE_DELAY_S * len(preceding_zones)
        return now_s - self._observed_at_s >= wait_s

    def _write_keyring(self, keyring: Keyring) -> Action:
        body = keyring_to_body(keyring)
        call = WriteObject(KEYRING_KIND, KEYRING_NAME, body, self._keys.version)
        return CallPlatform(CallPurpose.KEYS, call)

    def answered(
        self, answer: PlatformAnswer, random_share: float, now_s: float
    ) -> list[Action]:
        """Process the result of a platform call.

        Parameters
        ----------
        answer : PlatformAnswer
            Result of the call.
        random_share : float
            Random number from 0 to 1 that jitters the backoff after a failure.
        now_s : float
            Current time, in seconds since the epoch.
        """
        self._call_pending = False
        match answer:
            case ObjectsRead(objects=statuses):
                self._backoff = self._backoff.succeeded()
                return self._activate(statuses, now_s)
            case ObjectWritten(stored=stored):
                ids = {"record": stored.name, "version": stored.version}
                return [Log("keys", "keyring_written", "keyring written", ids)]
            case CallFailed(reason=reason):
                self._backoff = self._backoff.failed(random_share)
                wait_s = max(self._settings.check_every_s, self._backoff.wait_s)
                self._next_check_s = now_s + wait_s
                text = "platform call of key rotation failed; retrying after backoff"
                return [Log("keys", "rotation_failed", text, {"reason": reason})]
        return []

    def _activate(self, statuses: Iterable[StoredObject], now_s: float) -> list[Action]:
        keyring, listed = self._keys.keyring, self._sources.listed
        if keyring is None or keyring.pending is None:
            return []
        if listed is None:
            return self._report_wait(
                "Wait until the platform's list of instances has been read."
            )
        held = _reported_versions(statuses)
        view = _include_listed(self._sources.view, listed)
        allowed = may_activate(keyring, self._keys.version, held, view)
        match allowed:
            case Failure(error):
                return self._report_wait(str(error))
        self._call_pending = True
        ids = {"key": keyring.pending.key_id, "version": self._keys.version}
        text = "all instances have the pending key; writing the keyring to activate it"
        log = Log("keys", "key_activated", text, ids)
        counted = Count("key_checks", "activates")
        return [counted, log, self._write_keyring(activate_pending(keyring, now_s))]

    def _report_wait(self, reason: str) -> list[Action]:
        """Count the check and log why the key waits, once for each reason."""
        counted = Count("key_checks", "waits")
        if reason == self._wait_reason:
            return [counted]
        self._wait_reason = reason
        log = Log(
            "keys", "key_waits", "pending key not activated yet", {"reason": reason}
        )
        return [counted, log]


def _include_listed(
    view: Mapping[str, InstanceView], listed: Set[str]
) -> dict[str, InstanceView]:
    """Return the view with every listed instance included and none of them dead.

    An instance that is partitioned from all others is declared dead by them but may
    still serve callers.
    """
    unknown = InstanceView("", "", 0, "", PeerState.SUSPECT, ready=False)
    possible = {name: replace(unknown, name=name) for name in listed}
    for name, known in view.items():
        is_dead = known.state is PeerState.DEAD
        possibly_alive = is_dead and name in listed
        possible[name] = (
            replace(known, state=PeerState.SUSPECT) if possibly_alive else known
        )
    return possible


def _reported_versions(statuses: Iterable[StoredObject]) -> dict[tuple[str, int], int]:
    """Return the keyring version reported by each instance, by name and incarnation.

    An instance can appear in two status objects after the groups of its zone have
    changed.  An incarnation never goes back to an earlier version, so the highest
    report is valid.
    """
    held: dict[tuple[str, int], int] = {}
    for stored in statuses:
        instances = (stored.body or {}).get("instances")
        if not isinstance(instances, Mapping):
            continue
        for name, entry in instances.items():
            part = _parse_instance(entry)
            if part is not None:
                key = (name, int(part.incarnation, 16))
                held[key] = max(held.get(key, 0), part.keyring_version)
    return held


def _parse_instance(entry: Any) -> _InstancePart | None:
    try:
        part = msgspec.convert(entry, _InstancePart)
        int(part.incarnation, 16)
    except (msgspec.ValidationError, ValueError):
        return None
    return part
