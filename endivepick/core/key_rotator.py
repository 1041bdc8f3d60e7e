"""Carries the rotation of keys out, one instance for all.

An operator adds a pending key.  It becomes the current one when every instance
that may be alive reported to hold it: no instance then gets a token that it cannot
verify.  Keys of which no token can be valid any more are dropped.
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

TURN_S = 10.0
"""How much later each further zone may act than the one before, in seconds."""


@dataclass(frozen=True)
class KeySettings:
    """How keys for flow tokens rotate.

    Attributes
    ----------
    check_every_s : float
        Time between two looks at what instances hold, in seconds.
    pending_min_s : float
        Shortest age of a pending key that becomes the current one, in seconds; as
        long as the platform's list of instances may lag.
    cut_off_allowance_s : float
        How long an instance that missed a rotation may go on signing with the
        earlier key, in seconds.
    """

    check_every_s: float = 2.0
    pending_min_s: float = 10.0
    cut_off_allowance_s: float = RotationSettings.cut_off_allowance_s


class RotationSources(Protocol):
    """What a rotation is decided on."""

    @property
    def is_status_writer(self) -> bool:
        """Whether this instance writes the status of its zone."""

    @property
    def view(self) -> Mapping[str, InstanceView]:
        """All known instances by name."""

    @property
    def listed(self) -> Set[str] | None:
        """Names on the platform's list; None if it was not read yet."""


class _InstancePart(msgspec.Struct, frozen=True):
    """Part of a status that says which keyring an instance holds."""

    incarnation: str = ""
    keyring_version: int = 0


class KeyRotator:
    """Activates pending keys and drops old ones.

    The writers of the zones' statuses take turns, so that a zone that cannot reach
    the platform holds nothing up; a condition on the version settles races.

    Parameters
    ----------
    settings : KeySettings
        Times.
    token_lifetime_s : float
        Age at which a flow token expires, in seconds.
    zone : str
        Availability zone of this instance.
    keys : HeldKeys
        Keys in force here.
    sources : RotationSources
        What a rotation is decided on.
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
        self._rules = RotationSettings(
            token_lifetime_s + CLOCK_SKEW_MARGIN_S, settings.cut_off_allowance_s
        )
        self._zone = zone
        self._keys = keys
        self._sources = sources
        self._backoff = Backoff(BackoffSettings())
        self._busy = False
        self._seen_version = 0
        self._due_since_s = 0.0
        self._next_check_s = float("-inf")
        self._lacking = ""

    def tick(self, now_s: float) -> list[Action]:
        """Do what is due at this time, in seconds since the epoch."""
        if self._busy or now_s < self._next_check_s:
            return []
        self._next_check_s = now_s + self._settings.check_every_s
        keyring = self._keys.keyring
        if keyring is None or not self._sources.is_status_writer:
            self._seen_version = 0
            return []
        retired = retire_old(keyring, self._rules, now_s)
        if keyring.pending is None and retired == keyring:
            self._seen_version = 0
            return []
        if not self._is_my_turn(now_s):
            return []
        self._busy = True
        if keyring.pending is None:
            return [self._write(retired)]
        return [CallPlatform(CallPurpose.KEYS, ListObjects(STATUS_KIND))]

    def _is_my_turn(self, now_s: float) -> bool:
        """Tell whether this version has waited long enough for this zone's turn."""
        if self._seen_version != self._keys.version:
            self._seen_version = self._keys.version
            self._due_since_s = now_s
        alive = (v for v in self._sources.view.values() if v.state != PeerState.DEAD)
        before_mine = {view.zone for view in alive if view.zone < self._zone}
        wait_s = self._settings.pending_min_s + TURN_S * len(before_mine)
        return now_s - self._due_since_s >= wait_s

    def _write(self, keyring: Keyring) -> Action:
        body = keyring_to_body(keyring)
        call = WriteObject(KEYRING_KIND, KEYRING_NAME, body, self._keys.version)
        return CallPlatform(CallPurpose.KEYS, call)

    def answered(
        self, answer: PlatformAnswer, random_share: float, now_s: float
    ) -> list[Action]:
        """Take what came of a call.

        Parameters
        ----------
        answer : PlatformAnswer
            What came of it.
        random_share : float
            Random number from 0 to 1 that spreads the wait after a failure.
        now_s : float
            Present time, in seconds since the epoch.
        """
        self._busy = False
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
                text = "keys not rotated"
                return [Log("keys", "rotation_failed", text, {"reason": reason})]
        return []

    def _activate(self, statuses: Iterable[StoredObject], now_s: float) -> list[Action]:
        keyring, listed = self._keys.keyring, self._sources.listed
        if keyring is None or keyring.pending is None:
            return []
        if listed is None:
            return self._wait("Wait until the platform's list was read.")
        held = _versions_held(statuses)
        view = _possibly_alive(self._sources.view, listed)
        allowed = may_activate(keyring, self._keys.version, held, view)
        match allowed:
            case Failure(error):
                return self._wait(str(error))
        self._busy = True
        ids = {"key": keyring.pending.key_id, "version": self._keys.version}
        text = "all instances hold the pending key, it becomes the current one"
        log = Log("keys", "key_activated", text, ids)
        counted = Count("key_checks", "activates")
        return [counted, log, self._write(activate_pending(keyring, now_s))]

    def _wait(self, reason: str) -> list[Action]:
        """Count the look, and log what the key waits for, once for each reason."""
        counted = Count("key_checks", "waits")
        if reason == self._lacking:
            return [counted]
        self._lacking = reason
        log = Log("keys", "key_waits", "pending key waits", {"reason": reason})
        return [counted, log]


def _possibly_alive(
    view: Mapping[str, InstanceView], listed: Set[str]
) -> dict[str, InstanceView]:
    """Return the view in which whoever is on the platform's list counts as alive.

    An instance that is cut off from all others is dead to them, and may still serve
    callers.
    """
    unheard = InstanceView("", "", 0, "", PeerState.SUSPECT, ready=False)
    possible = {name: replace(unheard, name=name) for name in listed}
    for name, known in view.items():
        is_dead = known.state is PeerState.DEAD
        revived = is_dead and name in listed
        possible[name] = replace(known, state=PeerState.SUSPECT) if revived else known
    return possible


def _versions_held(statuses: Iterable[StoredObject]) -> dict[tuple[str, int], int]:
    """Return the keyring version that each instance holds, by name and incarnation.

    An instance can stand in two objects when the groups of its zone have changed. What
    it held once it holds still, so the highest report counts.
    """
    held: dict[tuple[str, int], int] = {}
    for stored in statuses:
        instances = (stored.body or {}).get("instances")
        if not isinstance(instances, Mapping):
            continue
        for name, entry in instances.items():
            part = _read_part(entry)
            if part is not None:
                key = (name, int(part.incarnation, 16))
                held[key] = max(held.get(key, 0), part.keyring_version)
    return held


def _read_part(entry: Any) -> _InstancePart | None:
    try:
        part = msgspec.convert(entry, _InstancePart)
        int(part.incarnation, 16)
    except (msgspec.ValidationError, ValueError):
        return None
    return part
