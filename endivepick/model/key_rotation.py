"""Specification of key rotation: a key signs only once all can verify it.

Keyrings are the real ones, with the real rules for adding, activating and retiring
keys.  Instances take new versions at different times, report what they hold late,
start again with nothing, and can be cut off.  Instances that are cut off count as
dead and come back within the allowance for them; a tick of time is longer than a
new version needs to reach the others.
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
_LIFETIME = 2
"""Validity of a token, in ticks."""
_ALLOWANCE = 1
"""How long an instance may be cut off and sign with an old key, in ticks."""
Step = tuple[str, "KeyWorld"]
Ring = tuple[int, tuple[tuple[int, float | None], ...]]
"""The key that signs; numbers of all keys and when they were replaced."""


@dataclass(frozen=True)
class KeyRules:
    """Rules of the rotation; a mutation replaces one.

    Attributes
    ----------
    may_activate : callable
        Decides whether the pending key may sign.
    settings : RotationSettings
        How long keys are kept, in ticks in place of seconds.
    """

    may_activate: Callable[..., Result[Any, Any]] = may_activate
    settings: RotationSettings = RotationSettings(_LIFETIME, _ALLOWANCE)


@dataclass(frozen=True)
class KeyBounds:
    """How much may happen in one run of the key model."""

    rotations: int = 1
    ticks: int = 4
    restarts: int = 1
    cuts: int = 1
    rules: KeyRules = KeyRules()


class Holder(NamedTuple):
    """One instance: what it holds, what it last reported, since when it is cut off.

    ``cut_at`` is -1 while it is not.
    """

    incarnation: int
    version: int
    reported: int
    cut_at: int = -1

    @property
    def cut(self) -> bool:
        """Whether nobody reaches it."""
        return self.cut_at >= 0


class KeyWorld(NamedTuple):
    """One state of the key model.

    Attributes
    ----------
    versions : tuple
        All versions of the keyring that the platform accepted.
    holders : tuple of Holder
        The instances.
    now : int
        Time, in ticks.
    tokens : frozenset
        Key and time of issue of the tokens that are valid.
    rotations, restarts, cuts : int
        What the bounds still allow.
    """

    versions: tuple[Ring, ...]
    holders: tuple[Holder, ...]
    now: int
    tokens: frozenset[tuple[int, int]]
    rotations: int
    restarts: int
    cuts: int


def key_specification(name: str, bounds: KeyBounds) -> Specification:
    """Build the specification of key rotation within some bounds."""
    model = _KeyModel(bounds)
    first = first_keyring(_secret(1), 0.0)
    holders = tuple(Holder(index + 1, 0, 0) for index in range(len(_NAMES)))
    initial = KeyWorld(
        versions=(_ring(first),),
        holders=holders,
        now=0,
        tokens=frozenset(),
        rotations=bounds.rotations,
        restarts=bounds.restarts,
        cuts=bounds.cuts,
    )
    return Specification(
        name=name,
        initial=initial,
        steps=model.steps,
        invariants={
            "a key that signs is held by all": model.signing_key_is_everywhere,
            "the key of a valid token is kept": model.valid_tokens_verify,
        },
    )


class _KeyModel:
    def __init__(self, bounds: KeyBounds) -> None:
        self._bounds = bounds
        self._rules = bounds.rules

    def steps(self, world: KeyWorld) -> Iterator[Step]:
        """Yield every step out of a world, with its label."""
        yield from self._platform(world)
        for index, holder in enumerate(world.holders):
            if not holder.cut:
                yield from self._connected(world, index, holder)
            yield from self._anywhere(world, index, holder)
        if world.now < self._bounds.ticks and self._settled(world):
            now = world.now + 1
            valid = {one for one in world.tokens if now - one[1] <= _LIFETIME}
            yield "time passes", world._replace(now=now, tokens=frozenset(valid))

    def _settled(self, world: KeyWorld) -> bool:
        newest = len(world.versions) - 1
        return all(
            world.now - one.cut_at < _ALLOWANCE if one.cut else one.version == newest
            for one in world.holders
        )

    def _platform(self, world: KeyWorld) -> Iterator[Step]:
        keyring = _keyring(world.versions[-1])
        now_s = float(world.now)
        if world.rotations and keyring.pending is None:
            number = max(keyring.keys) + 1
            added = add_pending(keyring, _secret(number), now_s)
            left = world._replace(rotations=world.rotations - 1)
            yield "operator adds a key", _accept(left, added)
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
                holder.incarnation,
                "",
                PeerState.DEAD if holder.cut else PeerState.ALIVE,
            )
            for name, holder in zip(_NAMES, world.holders, strict=True)
        }
        reports = {
            (name, holder.incarnation): holder.reported
            for name, holder in zip(_NAMES, world.holders, strict=True)
        }
        newest = len(world.versions) - 1
        return is_successful(self._rules.may_activate(keyring, newest, reports, view))

    def _connected(self, world: KeyWorld, index: int, holder: Holder) -> Iterator[Step]:
        name = _NAMES[index]
        for version in range(holder.version + 1, len(world.versions)):
            taken = holder._replace(version=version)
            yield f"{name} takes version {version}", _with(world, index, taken)
        if holder.reported < holder.version:
            reported = holder._replace(reported=holder.version)
            yield f"{name} reports what it holds", _with(world, index, reported)
        if world.cuts and all(not one.cut for one in world.holders):
            left = world._replace(cuts=world.cuts - 1)
            cut = holder._replace(cut_at=world.now)
            yield f"{name} is cut off", _with(left, index, cut)

    def _anywhere(self, world: KeyWorld, index: int, holder: Holder) -> Iterator[Step]:
        name = _NAMES[index]
        token = (world.versions[holder.version][0], world.now)
        if token not in world.tokens:
            tokens = world.tokens | {token}
            label = f"{name} signs with key {token[0]}"
            yield label, world._replace(tokens=tokens)
        if holder.cut:
            healed = holder._replace(cut_at=-1, version=len(world.versions) - 1)
            yield f"{name} is back and catches up", _with(world, index, healed)
        elif world.restarts:
            yield from self._restart(world, index)

    def _restart(self, world: KeyWorld, index: int) -> Iterator[Step]:
        """Start again; ready only with what any reachable peer holds."""
        others = [one for at, one in enumerate(world.holders) if at != index]
        oldest = max((one.version for one in others if not one.cut), default=0)
        incarnation = max(one.incarnation for one in world.holders) + 1
        left = world._replace(restarts=world.restarts - 1)
        for version in range(oldest, len(world.versions)):
            started = Holder(incarnation, version, 0)
            label = f"{_NAMES[index]} starts again with version {version}"
            yield label, _with(left, index, started)

    def signing_key_is_everywhere(self, world: KeyWorld) -> bool:
        """Tell whether all that can be reached hold each key that signs."""
        rings = [world.versions[one.version] for one in world.holders if not one.cut]
        return all(_holds(held, signing[0]) for signing in rings for held in rings)

    def valid_tokens_verify(self, world: KeyWorld) -> bool:
        """Tell whether all that can be reached hold the keys of valid tokens."""
        rings = [world.versions[one.version] for one in world.holders if not one.cut]
        return all(_holds(held, key) for key, _ in world.tokens for held in rings)


def _secret(number: int) -> bytes:
    return bytes([number]) * 32


def _ring(keyring: Keyring) -> Ring:
    keys = keyring.keys.values()
    return (keyring.current, tuple((key.key_id, key.replaced_at_s) for key in keys))


@cache
def _keyring(ring: Ring) -> Keyring:
    current, keys = ring
    made = {
        key_id: TokenKey(key_id, _secret(key_id), 0.0, replaced_at_s)
        for key_id, replaced_at_s in keys
    }
    return Keyring(current=current, keys=made)


def _holds(ring: Ring, key_id: int) -> bool:
    return _keyring(ring).has_key(key_id)


def _accept(world: KeyWorld, keyring: Keyring) -> KeyWorld:
    return world._replace(versions=(*world.versions, _ring(keyring)))


def _with(world: KeyWorld, index: int, holder: Holder) -> KeyWorld:
    holders = (*world.holders[:index], holder, *world.holders[index + 1 :])
    return world._replace(holders=holders)
