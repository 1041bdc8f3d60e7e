import doctest
import unittest

from returns.pipeline import is_successful

from endivepick.core import key_rotation
from endivepick.core import keyring as keyring_module
from endivepick.core.key_rotation import (
    RotationSettings,
    activate_pending,
    may_activate,
    next_keyring,
    retire_old,
)
from endivepick.core.keyring import (
    add_pending,
    first_keyring,
    keyring_from_body,
    keyring_to_body,
)
from endivepick.errors import RecordInvalidError
from endivepick.membership.view import InstanceView, PeerState

LIFETIME_S = 3600.0
ROTATION = RotationSettings(LIFETIME_S, cut_off_allowance_s=60.0)


def secret(number):
    return bytes([number]) * 32


def view_of(**states):
    return {
        name: InstanceView(name, "thamel", index + 1, "127.0.0.1:1", state)
        for index, (name, state) in enumerate(states.items())
    }


def rotated(keyring, number, now_s):
    return activate_pending(add_pending(keyring, secret(number), now_s), now_s)


class KeyringTest(unittest.TestCase):
    def test_examples_run(self):
        for module in (keyring_module, key_rotation):
            self.assertEqual(doctest.testmod(module).failed, 0)

    def test_pending_key_verifies_but_does_not_sign(self):
        keyring = add_pending(first_keyring(secret(1), 0.0), secret(2), 10.0)
        self.assertEqual(keyring.sign(b"x")[0], 1)
        key_id, mac = activate_pending(keyring, 20.0).sign(b"x")
        self.assertEqual(key_id, 2)
        self.assertTrue(keyring.verify(key_id, b"x", mac))
        self.assertFalse(keyring.verify(key_id, b"y", mac))
        self.assertFalse(keyring.verify(1, b"x", mac))
        self.assertFalse(keyring.verify(key_id, b"x", mac[:15]))

    def test_token_survives_two_rotations_within_its_lifetime(self):
        first = first_keyring(secret(1), 0.0)
        key_id, mac = first.sign(b"x")
        twice = rotated(rotated(first, 2, 100.0), 3, 200.0)
        kept = retire_old(twice, ROTATION, 160.0 + LIFETIME_S)
        self.assertTrue(kept.verify(key_id, b"x", mac))
        gone = retire_old(twice, ROTATION, 161.0 + LIFETIME_S)
        self.assertEqual(sorted(gone.keys), [2, 3])
        self.assertFalse(gone.has_key(key_id))
        self.assertFalse(gone.verify(key_id, b"x", mac))

    def test_racing_rotations_add_one_key(self):
        once = add_pending(first_keyring(secret(1), 0.0), secret(2), 1.0)
        self.assertIs(add_pending(once, secret(3), 2.0), once)

    def test_activation_waits_for_every_reachable_instance(self):
        keyring = add_pending(first_keyring(secret(1), 0.0), secret(2), 1.0)
        view = view_of(
            a=PeerState.ALIVE,
            b=PeerState.SUSPECT,
            c=PeerState.LEAVING,
            d=PeerState.DEAD,
        )
        held = {("a", 1): 9, ("b", 2): 8, ("c", 3): 9}
        refusal = may_activate(keyring, 9, held, view).failure()
        self.assertIn("reached b or", str(refusal))
        self.assertTrue(
            is_successful(may_activate(keyring, 9, {**held, ("b", 2): 9}, view))
        )

    def test_steps_of_a_rotation_and_none_between(self):
        pending = add_pending(first_keyring(secret(1), 0.0), secret(2), 1.0)
        view = view_of(a=PeerState.ALIVE)
        held = {("a", 1): 9}

        def step(keyring, version, now_s):
            return next_keyring(keyring, version, held, view, ROTATION, now_s)

        self.assertEqual(step(pending, 10, 5.0), pending)
        current = step(pending, 9, 5.0)
        self.assertEqual(current, activate_pending(pending, 5.0))
        self.assertEqual(step(current, 9, 65.0 + LIFETIME_S), current)
        self.assertEqual(list(step(current, 9, 66.0 + LIFETIME_S).keys), [2])

    def test_report_of_an_earlier_incarnation_does_not_count(self):
        keyring = add_pending(first_keyring(secret(1), 0.0), secret(2), 1.0)
        view = view_of(a=PeerState.ALIVE)
        self.assertFalse(is_successful(may_activate(keyring, 9, {("a", 77): 9}, view)))

    def test_activation_needs_a_pending_key_and_a_view(self):
        keyring = first_keyring(secret(1), 0.0)
        self.assertFalse(is_successful(may_activate(keyring, 1, {}, view_of())))
        keyring = add_pending(keyring, secret(2), 1.0)
        self.assertFalse(is_successful(may_activate(keyring, 1, {}, view_of())))

    def test_body_round_trip(self):
        keyring = rotated(first_keyring(secret(1), 0.0), 2, 100.0)
        self.assertEqual(keyring_from_body(keyring_to_body(keyring)), keyring)

    def test_bad_bodies_are_refused_without_showing_a_secret(self):
        good = keyring_to_body(first_keyring(secret(0xAB), 0.0))
        key = good["keys"][0]
        bad = [
            {},
            {**good, "schema_version": 2},
            {**good, "current": 9},
            {**good, "keys": []},
            {**good, "keys": [key, key]},
            {**good, "extra": 1},
            {**good, "keys": [{**key, "secret_hex": "ab" * 31}]},
        ]
        for body in bad:
            with self.assertRaises(RecordInvalidError) as caught:
                keyring_from_body(body)
            self.assertNotIn("abab", str(caught.exception))

    def test_key_does_not_show_its_secret(self):
        self.assertNotIn(secret(1).hex(), repr(first_keyring(secret(1), 0.0)))
        self.assertNotIn(repr(secret(1)), repr(first_keyring(secret(1), 0.0)))
