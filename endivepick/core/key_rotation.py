"""Rules by which keys of flow tokens come into use and go.

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
    """The pending key can't become the current one yet; names who lacks it."""


@dataclass(frozen=True)
class RotationSettings:
    """How long keys are of use.

    Attributes
    ----------
    token_lifetime_s : float
        Longest validity of a token, clock error included, in seconds.
    cut_off_allowance_s : float
        How long an instance that missed a rotation may go on signing with the
        earlier key, in seconds.
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

    Parameters
    ----------
    keyring : Keyring
        Keyring with a pending key.
    version : int
        Version of the platform's object that holds this keyring.
    versions_in_force : mapping of (str, int) to int
        By instance name and incarnation, the version of the keyring object that
        the instance reported to hold.
    view : mapping of str to InstanceView
        All known instances.

    Returns
    -------
    Result
        The pending key, or the error that names the instances without it.
    """
    pending = keyring.pending
    if pending is None:
        return Failure(KeyActivationRefusedError("Add a pending key first."))
    reachable = [one for one in view.values() if one.state is not PeerState.DEAD]
    if not reachable:
        return Failure(
            KeyActivationRefusedError("Wait until an instance is seen, then retry.")
        )
    lacking = [
        one.name
        for one in reachable
        if versions_in_force.get((one.name, one.incarnation), 0) < version
    ]
    if lacking:
        return Failure(
            KeyActivationRefusedError(
                f"Wait until key {pending.key_id} reached {', '.join(sorted(lacking))}"
                " or stop these instances."
            )
        )
    return Success(pending)


def activate_pending(keyring: Keyring, now_s: float) -> Keyring:
    """Return the keyring in which the pending key signs.

    Call it only after ``may_activate`` succeeded, and write the result with a
    conditional update on the version that was decided on.
    """
    pending = keyring.pending
    if pending is None:
        return keyring
    replaced = replace(keyring.keys[keyring.current], replaced_at_s=now_s)
    keys = {**keyring.keys, replaced.key_id: replaced}
    return Keyring(current=pending.key_id, keys=keys)


def retire_old(keyring: Keyring, settings: RotationSettings, now_s: float) -> Keyring:
    """Return the keyring without keys of which no token can be valid.

    Parameters
    ----------
    keyring : Keyring
        Present keyring.
    settings : RotationSettings
        How long keys are of use.
    now_s : float
        Present time, in seconds since the epoch.
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
    """Take the rotation's next step, if one is due.

    Call it now and then on one instance that has joined and is ready.  If the
    result differs, write it on condition that the object still has ``version``;
    the loser of a race decides anew.

    Parameters
    ----------
    keyring, version, versions_in_force, view
        As for ``may_activate``.
    settings : RotationSettings
        How long keys are of use.
    now_s : float
        Present time, in seconds since the epoch.

    Returns
    -------
    Keyring
        The keyring to write, or an equal one if nothing is due.
    """
    if is_successful(may_activate(keyring, version, versions_in_force, view)):
        keyring = activate_pending(keyring, now_s)
    return retire_old(keyring, settings, now_s)
