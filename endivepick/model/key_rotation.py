"""Specification of key rotation: a key signs only once all instances hold it.

The model uses the production keyrings and the production rules for adding, activating
and retiring keys.  Instances apply new versions at different times, report them late,
restart without state and can be isolated.  An isolated instance counts as dead and
reconnects within the allowed isolation time.  A tick of time is longer than the time
in which a new version reaches all connected instances.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import cache
from typing import Any, NamedTuple

from returns.pipeline import is_successful
from returns.result import Result

from endivepick.core.key_rotation import (
    RotationSettings,
    activate_pending,
    may_activate,
    retire_old,
)
from endivepick.core.keyring import Keyring, TokenKey, add_pending, first_keyring
from endivepick.membership.view import InstanceView, PeerState
from endivepick.model.checker import Specification

__all__ = ["KeyBounds", "KeyRules", "key_specification"]

_NAMES = ("a", "b", "c")
_TOKEN_LIFETIME_TICKS = 2
"""Lifetime of a token in ticks."""
_ISOLATION_ALLOWANCE_TICKS = 1
"""Time in ticks for which an isolated instance may sign with an old key."""
Step = tuple[str, "KeyWorld"]
KeyringSnapshot = tuple[int, tuple[tuple[int, float | None], ...]]
"""Id of the signing key, then the id and replacement time of each key."""


@dataclass(frozen=True)
class KeyRules:
    """Rules of the rotation; a mutation replaces one.

    Attributes
    ----------
    may_activate : callable
        Decides whether the pending key may be activated.
    settings : RotationSettings
        Retention of keys, in ticks instead of seconds.
    """

    may_activate: Callable[..., Result[Any, Any]] = may_activate
    settings: RotationSettings = RotationSettings(
        _TOKEN_LIFETIME_TICKS, _ISOLATION_ALLOWANCE_TICKS
    )


@dataclass(frozen=True)
class KeyBounds:
    """Limits on the events in one run of the key model.

    Attributes
    ----------
    rotations : int
        Maximum number of added keys.
    ticks : int
        Maximum number of ticks of time.
    restarts : int
        Maximum number of restarts of instances.
    isolations : int
        Maximum number of isolations of an instance.
    rules : KeyRules
        Rules of the rotation.
    """

    rotations: int = 1
    ticks: int = 4
    restarts: int = 1
    isolations: int = 1
    rules: KeyRules = KeyRules()


class InstanceState(NamedTuple):
    """State of one instance.

    Attributes
    ----------
    incarnation : int
        Incarnation of the process.
    version : int
        Keyring version that the instance holds.
    reported : int
        Keyring version that the instance last reported.
    isolated_since : int
        Tick at which the instance was isolated; -1 while it is connected.
    """

    incarnation: int
    version: int
    reported: int
    isolated_since: int = -1

    @property
    def is_isolated(self) -> bool:
        """Whether no other instance reaches this one."""
        return self.isolated_since >= 0


class KeyWorld(NamedTuple):
    """One state of the key model.

    Attributes
    ----------
    versions : tuple
        All versions of the keyring that the platform accepted.
    instances : tuple of InstanceState
        State of each instance.
    now : int
        Time in ticks.
    tokens : frozenset
        Signing key and issue time of the valid tokens.
    rotations, restarts, isolations : int
        Events that the bounds still allow.
    """

    versions: tuple[KeyringSnapshot, ...]
    instances: tuple[InstanceState, ...]
    now: int
    tokens: frozenset[tuple[int, int]]
    rotations: int
    restarts: int
    isolations: int


def key_specification(name: str, bounds: KeyBounds) -> Specification:
    """Build the specification of key rotation within given bounds."""
    model = _KeyModel(bounds)
    first = first_keyring(_secret(1), 0.0)
    instances = tuple(InstanceState(index + 1, 0, 0) for index in range(len(_NAMES)))
    initial = KeyWorld(
        versions=(_snapshot(first),),
        instances=instances,
        now=0,
        tokens=frozenset(),
        rotations=bounds.rotations,
        restarts=bounds.restarts,
        isolations=bounds.isolations,
    )
    return Specification(
        name=name,
        initial=initial,
        steps=model.steps,
        invariants={
            "a key that signs is held by all": model.signing_keys_are_held,
            "the key of a valid token is kept": model.valid_tokens_verify,
        },
    )


class _KeyModel:
    def __init__(self, bounds: KeyBounds) -> None:
        self._bounds = bounds
        self._rules = bounds.rules

    def steps(self, world: KeyWorld) -> Iterator[Step]:
        """Yield every step out of a state, with its label."""
        yield from self._platform_steps(world)
        for index, instance in enumerate(world.instances):
            if not instance.is_isolated:
                yield from self._connected_steps(world, index, instance)
            yield from self._local_steps(world, index, instance)
        if world.now < self._bounds.ticks and self._is_propagated(world):
            now = world.now + 1
            valid = {
                one for one in world.tokens if now - one[1] <= _TOKEN_LIFETIME_TICKS
            }
            yield "time passes", world._replace(now=now, tokens=frozenset(valid))

    def _is_propagated(self, world: KeyWorld) -> bool:
        newest = len(world.versions) - 1
        return all(
            world.now - one.isolated_since < _ISOLATION_ALLOWANCE_TICKS
            if one.is_isolated
            else one.version == newest
            for one in world.instances
        )

    def _platform_steps(self, world: KeyWorld) -> Iterator[Step]:
        keyring = _keyring(world.versions[-1])
        now_s = float(world.now)
        if world.rotations and keyring.pending is None:
            number = max(keyring.keys) + 1
            added = add_pending(keyring, _secret(number), now_s)
            reduced = world._replace(rotations=world.rotations - 1)
            yield "operator adds a key", _accept(reduced, added)
        if keyring.pending is not None and self._may_activate(world, keyring):
            yield (
                "new key is activated",
                _accept(world, activate_pending(keyring, now_s)),
            )
        retired = retire_old(keyring, self._rules.settings, now_s)
        if retired != keyring:
            yield "old key is retired", _accept(world, retired)

    def _may_activate(self, world: KeyWorld, keyring: Keyring) -> bool:
        view = {
            name: InstanceView(
                name,
                "",
                instance.incarnation,
                "",
                PeerState.DEAD if instance.is_isolated else PeerState.ALIVE,
            )
            for name, instance in zip(_NAMES, world.instances, strict=True)
        }
        reports = {
            (name, instance.incarnation): instance.reported
            for name, instance in zip(_NAMES, world.instances, strict=True)
        }
        newest = len(world.versions) - 1
        return is_successful(self._rules.may_activate(keyring, newest, reports, view))

    def _connected_steps(
        self, world: KeyWorld, index: int, instance: InstanceState
    ) -> Iterator[Step]:
        name = _NAMES[index]
        for version in range(instance.version + 1, len(world.versions)):
            taken = instance._replace(version=version)
            yield f"{name} takes version {version}", _with_instance(world, index, taken)
        if instance.reported < instance.version:
            reported = instance._replace(reported=instance.version)
            yield (
                f"{name} reports its version",
                _with_instance(world, index, reported),
            )
        if world.isolations and all(not one.is_isolated for one in world.instances):
            reduced = world._replace(isolations=world.isolations - 1)
            isolated = instance._replace(isolated_since=world.now)
            yield f"{name} is isolated", _with_instance(reduced, index, isolated)

    def _local_steps(
        self, world: KeyWorld, index: int, instance: InstanceState
    ) -> Iterator[Step]:
        name = _NAMES[index]
        token = (world.versions[instance.version][0], world.now)
        if token not in world.tokens:
            tokens = world.tokens | {token}
            label = f"{name} signs with key {token[0]}"
            yield label, world._replace(tokens=tokens)
        if instance.is_isolated:
            reconnected = instance._replace(
                isolated_since=-1, version=len(world.versions) - 1
            )
            yield (
                f"{name} reconnects and catches up",
                _with_instance(world, index, reconnected),
            )
        elif world.restarts:
            yield from self._restart_steps(world, index)

    def _restart_steps(self, world: KeyWorld, index: int) -> Iterator[Step]:
        """Restart; the instance is ready once it is as new as each reachable peer."""
        others = [one for at, one in enumerate(world.instances) if at != index]
        oldest = max((one.version for one in others if not one.is_isolated), default=0)
        incarnation = max(one.incarnation for one in world.instances) + 1
        reduced = world._replace(restarts=world.restarts - 1)
        for version in range(oldest, len(world.versions)):
            started = InstanceState(incarnation, version, 0)
            label = f"{_NAMES[index]} starts again with version {version}"
            yield label, _with_instance(reduced, index, started)

    def signing_keys_are_held(self, world: KeyWorld) -> bool:
        """Tell whether all reachable instances hold each signing key."""
        keyrings = [
            world.versions[one.version]
            for one in world.instances
            if not one.is_isolated
        ]
        return all(
            _holds(held, signing[0]) for signing in keyrings for held in keyrings
        )

    def valid_tokens_verify(self, world: KeyWorld) -> bool:
        """Tell whether all reachable instances hold the keys of valid tokens."""
        keyrings = [
            world.versions[one.version]
            for one in world.instances
            if not one.is_isolated
        ]
        return all(_holds(held, key) for key, _ in world.tokens for held in keyrings)


def _secret(number: int) -> bytes:
    return bytes([number]) * 32


def _snapshot(keyring: Keyring) -> KeyringSnapshot:
    keys = keyring.keys.values()
    return (keyring.current, tuple((key.key_id, key.replaced_at_s) for key in keys))


@cache
def _keyring(snapshot: KeyringSnapshot) -> Keyring:
    current, keys = snapshot
    made = {
        key_id: TokenKey(key_id, _secret(key_id), 0.0, replaced_at_s)
        for key_id, replaced_at_s in keys
    }
    return Keyring(current=current, keys=made)


def _holds(snapshot: KeyringSnapshot, key_id: int) -> bool:
    return _keyring(snapshot).has_key(key_id)


def _accept(world: KeyWorld, keyring: Keyring) -> KeyWorld:
    return world._replace(versions=(*world.versions, _snapshot(keyring)))


def _with_instance(world: KeyWorld, index: int, instance: InstanceState) -> KeyWorld:
    instances = (*world.instances[:index], instance, *world.instances[index + 1 :])
    return world._replace(instances=instances)
