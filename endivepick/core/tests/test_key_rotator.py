import unittest

from endivepick.core.actions import CallPlatform
from endivepick.core.catalog import ActiveKeyring
from endivepick.core.key_rotator import KeyRotator, KeySettings
from endivepick.core.keyring import (
    add_pending,
    first_keyring,
    keyring_from_body,
    keyring_to_body,
)
from endivepick.core.platform_calls import (
    CallFailed,
    ListObjects,
    ObjectsRead,
    ObjectWritten,
    WriteObject,
)
from endivepick.core.token import FlowToken, TokenCodec
from endivepick.membership import InstanceView, PeerState
from endivepick.records.objects import StoredObject

LIFETIME_S = 3600.0
SETTINGS = KeySettings()
STEP_S = 0.5


def secret(number):
    return bytes([number]) * 32


def member(name, zone, incarnation, state=PeerState.ALIVE):
    return InstanceView(name, zone, incarnation, "", state)


class FixedSources:
    """What an instance knows, set by the test."""

    def __init__(self):
        self.is_status_writer = True
        self.view = {
            one.name: one for one in (member("a", "east", 1), member("b", "west", 2))
        }
        self.listed = {"a", "b"}


class TestKeyRotator(unittest.TestCase):
    def setUp(self):
        self.now_s = 1000.0
        self.version = 7
        self.keys = ActiveKeyring()
        self.sources = FixedSources()
        self.rotation = self.rotation_in("east")
        self.hold(first_keyring(secret(1), 0.0))

    def rotation_in(self, zone):
        return KeyRotator(SETTINGS, LIFETIME_S, zone, self.keys, self.sources)

    def hold(self, keyring):
        self.version += 1
        self.keys.hold(keyring, self.version)

    def add_key(self, number):
        self.hold(add_pending(self.keys.keyring, secret(number), self.now_s))

    def calls(self, duration_s):
        calls = []
        for _ in range(round(duration_s / STEP_S)):
            self.now_s += STEP_S
            for action in self.rotation.tick(self.now_s):
                if isinstance(action, CallPlatform):
                    calls.append(action.call)
        return calls

    def next_call(self):
        for _ in range(200):
            for call in self.calls(STEP_S):
                return call
        raise AssertionError("no call")

    def answer(self, answer):
        return self.rotation.answered(answer, 0.0, self.now_s)

    def reports(self, **versions):
        """Answer a list of statuses; returns the write that it leads to, if any."""
        self.assertEqual(self.next_call(), ListObjects("status"))
        instances = {
            name: {
                "incarnation": f"{self.sources.view[name].incarnation:016x}",
                "keyring_version": version,
            }
            for name, version in versions.items()
        }
        body = {"instances": instances}
        status = StoredObject("status", "any", 1, body)
        actions = self.answer(ObjectsRead((status,)))
        return [a.call for a in actions if isinstance(a, CallPlatform)]

    def rotate(self, number):
        self.add_key(number)
        [write] = self.reports(a=self.version, b=self.version)
        self.assertEqual(write.if_version, self.version)
        self.hold(keyring_from_body(write.body))
        self.answer(ObjectWritten(StoredObject("keyring", "tokens", self.version, {})))

    def test_nothing_is_called_without_a_pending_key(self):
        self.assertEqual(self.calls(60.0), [])

    def test_key_is_activated_once_all_hold_it(self):
        self.add_key(2)
        before = self.version - 1
        self.assertEqual(self.reports(a=self.version, b=before), [])
        [write] = self.reports(a=self.version, b=self.version)
        self.assertEqual(write.if_version, self.version)
        self.assertEqual(keyring_from_body(write.body).current, 2)

    def test_report_of_an_earlier_incarnation_does_not_count(self):
        self.add_key(2)
        known = self.sources.view["b"]
        self.assertEqual(self.next_call(), ListObjects("status"))
        body = {
            "instances": {
                name: {"incarnation": f"{number:016x}", "keyring_version": self.version}
                for name, number in (("a", 1), ("b", known.incarnation + 5))
            }
        }
        status = StoredObject("status", "any", 1, body)
        actions = self.answer(ObjectsRead((status,)))
        self.assertFalse([a for a in actions if isinstance(a, CallPlatform)])

    def test_highest_report_counts_if_an_instance_stands_in_two_statuses(self):
        self.add_key(2)
        self.next_call()
        statuses = tuple(
            StoredObject(
                "status",
                name,
                1,
                {
                    "instances": {
                        "a": {
                            "incarnation": f"{1:016x}",
                            "keyring_version": self.version,
                        },
                        "b": {
                            "incarnation": f"{self.sources.view['b'].incarnation:016x}",
                            "keyring_version": version,
                        },
                    }
                },
            )
            for name, version in (("any", self.version), ("any.3", self.version - 1))
        )
        actions = self.answer(ObjectsRead(statuses))
        self.assertTrue([a for a in actions if isinstance(a, CallPlatform)])

    def test_dead_instance_blocks_as_long_as_the_platform_lists_it(self):
        self.add_key(2)
        self.sources.view["b"] = member("b", "west", 2, PeerState.DEAD)
        self.assertEqual(self.reports(a=self.version), [])
        self.sources.listed.remove("b")
        self.assertEqual(len(self.reports(a=self.version)), 1)

    def test_listed_instance_that_nobody_heard_of_blocks(self):
        self.add_key(2)
        self.sources.listed.add("c")
        self.assertEqual(self.reports(a=self.version, b=self.version), [])

    def test_no_list_yet_blocks(self):
        self.add_key(2)
        self.sources.listed = None
        self.assertEqual(self.reports(a=self.version, b=self.version), [])

    def test_new_key_waits_for_the_list_to_catch_up(self):
        self.add_key(2)
        early = self.calls(SETTINGS.pending_min_s - STEP_S)
        self.assertEqual(early, [])
        self.assertEqual(self.next_call(), ListObjects("status"))

    def test_zones_take_turns(self):
        self.rotation = self.rotation_in("west")
        self.add_key(2)
        self.assertEqual(self.calls(SETTINGS.pending_min_s + STEP_S), [])
        self.assertEqual(self.next_call(), ListObjects("status"))

    def test_only_writers_of_a_status_rotate(self):
        self.sources.is_status_writer = False
        self.add_key(2)
        self.assertEqual(self.calls(300.0), [])

    def test_failed_call_is_made_again_later(self):
        self.add_key(2)
        self.next_call()
        self.assertEqual(self.calls(60.0), [])
        self.answer(CallFailed("outage"))
        self.assertEqual(self.next_call(), ListObjects("status"))

    def test_unreadable_status_counts_as_no_report(self):
        self.add_key(2)
        self.next_call()
        status = StoredObject("status", "any", 1, {"instances": {"a": 4, "b": {}}})
        actions = self.answer(ObjectsRead((status,)))
        self.assertFalse([a for a in actions if isinstance(a, CallPlatform)])

    def test_tokens_survive_two_rotations_and_old_keys_go_later(self):
        codec = TokenCodec(self.keys, LIFETIME_S)
        token = FlowToken("notes", 1, 2, "a", 1, "", int(self.now_s))
        sealed = codec.seal(token)
        self.rotate(2)
        self.rotate(3)
        self.assertEqual(self.keys.keyring.current, 3)
        self.assertEqual(codec.unseal(sealed, self.now_s), token)
        self.now_s += LIFETIME_S - 100.0
        self.assertEqual(codec.unseal(sealed, self.now_s), token)
        self.assertEqual(self.calls(200.0), [])
        self.now_s += SETTINGS.cut_off_allowance_s + 600.0
        write = self.next_call()
        self.assertIsInstance(write, WriteObject)
        self.assertEqual(sorted(keyring_from_body(write.body).keys), [3])
        self.assertEqual(write.if_version, self.version)

    def test_body_that_is_written_can_be_read(self):
        self.add_key(2)
        [write] = self.reports(a=self.version, b=self.version)
        self.assertEqual(keyring_to_body(keyring_from_body(write.body)), write.body)
