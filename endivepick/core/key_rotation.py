"""Rules for activating and removing the keys of flow tokens.

Examples
--------
>>> from endivepick.core.key_rotation import RotationSettings, next_keyring
>>> from endivepick.core.keyring import add_pending, first_keyring
>>> from endivepick.membership import InstanceView, PeerState
>>> keyring = add_pending(first_keyring(bytes(32), 0.0), bytes(32), 1.0)
>>> view = {"a": InstanceView("a", "thamel", 5, "127.0.0.1:1", PeerState.ALIVE)}
>>> settings = RotationSettings(token_lifetime_s=3600.0)
>>> next_keyring(keyring, 9, {("a", 5): 8}, view, settings, 2.0).current
1
>>> next_keyring(keyring, 9, {("a", 5): 9}, view, settings, 3.0).current
2
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from endivepick.core.keyring import Keyring, TokenKey
from endivepick.errors import EndivepickError
from endivepick.membership.view import InstanceView, PeerState

__all__ = [
    "KeyActivationRefusedError",
    "RotationSettings",
    "activate_pending",
    "may_activate",
    "next_keyring",
    "retire_old",
]


class KeyActivationRefusedError(EndivepickError):
    """The pending key cannot be activated yet; the message gives the reason."""


@dataclass(frozen=True)
class RotationSettings:
    """Times that determine when a replaced key can be removed.

    Attributes
    ----------
    token_lifetime_s : float
        Maximum validity of a token including clock error, in seconds.
    cut_off_allowance_s : float
        How long a partitioned instance that missed a rotation may continue to
        sign with the replaced key, in seconds.
    """

    token_lifetime_s: float
    cut_off_allowance_s: float = 7 * 86_400.0


def may_activate(
    keyring: Keyring,
    version: int,
    versions_in_force: Mapping[tuple[str, int], int],
    view: Mapping[str, InstanceView],
) -> Result[TokenKey, KeyActivationRefusedError]:
    """Decide whether the pending key may become the current one.

    The key is activated only when every instance that is not dead has reported
    it.  Otherwise an instance could receive tokens that it cannot verify.

    Parameters
    ----------
    keyring : Keyring
        Keyring with a pending key.
    version : int
        Version of the platform object that contains this keyring.
    versions_in_force : mapping of (str, int) to int
        Version of the keyring object that each instance reported, by instance
        name and incarnation.
    view : mapping of str to InstanceView
        All known instances.

    Returns
    -------
    Result
        The pending key, or an error that names the instances that lack it.
    """
    pending = keyring.pending
    if pending is None:
        return Failure(
            KeyActivationRefusedError("The keyring has no pending key. Add one first.")
        )
    possibly_alive = [
        instance for instance in view.values() if instance.state is not PeerState.DEAD
    ]
    if not possibly_alive:
        return Failure(
            KeyActivationRefusedError(
                "No instance is known to be alive. Wait until one is seen, then retry."
            )
        )
    without_key = [
        instance.name
        for instance in possibly_alive
        if versions_in_force.get((instance.name, instance.incarnation), 0) < version
    ]
    if without_key:
        return Failure(
            KeyActivationRefusedError(
                f"Key {pending.key_id} is not reported by"
                f" {', '.join(sorted(without_key))}. Wait until these instances have"
                " it, or stop them."
            )
        )
    return Success(pending)


def activate_pending(keyring: Keyring, now_s: float) -> Keyring:
    """Return the keyring with the pending key as the current one.

    Call this only after ``may_activate`` succeeded.  Write the result with a
    conditional update on the version that was passed to ``may_activate``.
    """
    pending = keyring.pending
    if pending is None:
        return keyring
    replaced = replace(keyring.keys[keyring.current], replaced_at_s=now_s)
    keys = {**keyring.keys, replaced.key_id: replaced}
    return Keyring(current=pending.key_id, keys=keys)


def retire_old(keyring: Keyring, settings: RotationSettings, now_s: float) -> Keyring:
    """Return the keyring without keys for which no token can still be valid.

    Parameters
    ----------
    keyring : Keyring
        Keyring in force.
    settings : RotationSettings
        Times that determine when a replaced key can be removed.
    now_s : float
        Current time, in seconds since the epoch.
    """
    oldest_s = now_s - settings.token_lifetime_s - settings.cut_off_allowance_s
    keys = {
        key.key_id: key
        for key in keyring.keys.values()
        if key.replaced_at_s is None or key.replaced_at_s >= oldest_s
    }
    return replace(keyring, keys=keys)


def next_keyring(
    keyring: Keyring,
    version: int,
    versions_in_force: Mapping[tuple[str, int], int],
    view: Mapping[str, InstanceView],
    settings: RotationSettings,
    now_s: float,
) -> Keyring:
    """Return the keyring after the next rotation step, if one is due.

    ``KeyRotator`` calls the steps of a rotation itself.  Other callers call this
    function periodically on one instance that has joined and is ready.  If the
    result differs from ``keyring``, write it on condition that the object still
    has ``version``.  An instance whose conditional write fails starts over with
    the new version.

    Parameters
    ----------
    keyring, version, versions_in_force, view
        As for ``may_activate``.
    settings : RotationSettings
        Times that determine when a replaced key can be removed.
    now_s : float
        Current time, in seconds since the epoch.

    Returns
    -------
    Keyring
        The keyring to write; equal to ``keyring`` if nothing is due.
    """
    if is_successful(may_activate(keyring, version, versions_in_force, view)):
        keyring = activate_pending(keyring, now_s)
    return retire_old(keyring, settings, now_s)
