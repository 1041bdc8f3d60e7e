import unittest
from itertools import count

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from endivepick.core.actions import Count, SendToCaller, SendToPeer, StartAttempt
from endivepick.core.events import CallerDatagram, ObjectsListed, Tick
from endivepick.core.instance import CoreSettings, InstanceCore
from endivepick.core.keyring import first_keyring, keyring_to_body
from endivepick.core.messages import (
    MAX_DATAGRAM_BYTES,
    Acknowledge,
    Cancel,
    FlowClosed,
    Open,
    Opened,
    Renew,
    RequestHead,
    RequestPart,
)
from endivepick.core.packet_codec import encode_packet, encode_struct
from endivepick.platform.answers import ObjectList
from endivepick.records.objects import StoredObject

CALLER = ("127.0.0.1", 4000)
NOW_S = 1_000_000.0
ACTIONS_MAX = 80
"""Bound on the work that one datagram causes."""

numbers = st.integers(-(2**63), 2**64 - 1)
small = st.integers(-5, 2000)


def record_body():
    target = {
        "name": "t0",
        "zone": "z1",
        "address": "127.0.0.1:9000",
        "slots": 2,
        "connections": 10,
        "draining": False,
    }
    return {
        "schema_version": 2,
        "write_id": "w",
        "affinity": "flow",
        "request_timeout_s": 30,
        "waiting_per_slot": 8,
        "targets": [target],
    }


def ready_core():
    ids = count(1)
    core = InstanceCore(
        CoreSettings("a", "z1"), 99, "127.0.0.1:1", lambda: next(ids), NOW_S
    )
    core.start()
    keyring = keyring_to_body(first_keyring(bytes(range(32)), 0.0))
    for kind, name, body in (
        ("keyring", "tokens", keyring),
        ("service", "notes", record_body()),
    ):
        stored = StoredObject(kind, name, 1, body)
        core.handle(ObjectsListed(ObjectList(kind, 1, (stored,))), NOW_S)
    core.handle(ObjectsListed(ObjectList("instance", 1, ())), NOW_S)
    core.membership.on_instance_list(NOW_S, [])
    core.handle(Tick(), NOW_S)
    return core


def open_token(core):
    event = CallerDatagram(CALLER, encode_packet(Open(1, "notes")))
    for action in core.handle(event, NOW_S):
        if isinstance(action, SendToCaller) and isinstance(action.packet, Opened):
            return action.packet.token
    raise AssertionError("no flow opened")


class TestBadInput(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.core = ready_core()
        cls.token = open_token(cls.core)

    def feed(self, datagram, now_s=NOW_S):
        actions = self.core.handle(CallerDatagram(CALLER, datagram), now_s)
        self.assertLessEqual(len(actions), ACTIONS_MAX)
        return actions

    def dropped(self, datagram, now_s=NOW_S):
        actions = self.feed(datagram, now_s)
        return [a.label for a in actions if isinstance(a, Count)]

    @seed(1)
    @settings(max_examples=4000, deadline=None, database=None)
    @given(st.binary(max_size=2000))
    def test_any_bytes(self, datagram):
        self.feed(datagram)

    @seed(2)
    @settings(max_examples=4000, deadline=None, database=None)
    @given(data=st.data())
    def test_any_packet_under_a_genuine_token(self, data):
        token = data.draw(st.one_of(st.just(self.token), st.binary(max_size=120)))
        packet = data.draw(
            st.one_of(
                st.builds(
                    RequestPart,
                    st.just(token),
                    small,
                    small,
                    small,
                    st.booleans(),
                    numbers,
                    st.binary(max_size=64),
                ),
                st.builds(
                    Acknowledge,
                    st.just(token),
                    small,
                    numbers,
                    st.lists(numbers, max_size=8),
                    numbers,
                    st.booleans(),
                ),
                st.builds(Cancel, st.just(token), numbers),
                st.builds(Renew, st.just(token)),
                st.builds(Open, numbers, st.text(max_size=40)),
            )
        )
        self.feed(encode_packet(packet))

    @seed(3)
    @settings(max_examples=2500, deadline=None, database=None)
    @given(st.integers(0, 10_000), st.integers(0, 255))
    def test_one_byte_changed_in_a_packet(self, position, value):
        head = encode_struct(RequestHead("POST", "/work", [], b"x"))
        packet = RequestPart(self.token, 5, 0, 1, False, 1000, head)
        datagram = bytearray(encode_packet(packet))
        datagram[position % len(datagram)] = value
        self.feed(bytes(datagram))

    def test_each_fault_is_counted_by_its_name(self):
        renew = encode_packet(Renew(self.token))
        forged = self.token[:-1] + bytes([self.token[-1] ^ 1])
        unknown_key = b"\x00\x00\x00\x63" + self.token[4:]
        for datagram, reason in (
            (b"", "unknown_version"),
            (b"\x07" + renew[1:], "unknown_version"),
            (renew[:-3], "malformed"),
            (renew + bytes(MAX_DATAGRAM_BYTES), "too_long"),
            (encode_packet(Renew(b"")), "malformed"),
            (encode_packet(Renew(forged)), "forged"),
            (encode_packet(Renew(unknown_key)), "unknown_key"),
            (encode_packet(Open(7, "nobody")), "unknown_service"),
        ):
            with self.subTest(reason=reason):
                self.assertIn(reason, self.dropped(datagram))

    def test_expired_token_is_counted(self):
        lifetime_s = CoreSettings("a", "z1").flow.token_lifetime_s
        renew = encode_packet(Renew(self.token))
        self.assertIn("expired", self.dropped(renew, NOW_S + lifetime_s + 1))

    def test_forged_packet_starts_nothing_and_reaches_no_peer(self):
        forged = bytes([1]) + self.token[1:]
        packet = RequestPart(forged, 1, 0, 1, False, 1000, b"")
        for kind in (StartAttempt, SendToPeer):
            actions = self.feed(encode_packet(packet))
            self.assertFalse([a for a in actions if isinstance(a, kind)])

    def test_closed_flow_refuses_new_requests(self):
        token = open_token(self.core)
        self.feed(encode_packet(FlowClosed(token)))
        head = encode_struct(RequestHead("POST", "/work", [], b""))
        packet = RequestPart(token, 1, 0, 1, False, 1000, head)
        self.assertIn("flow_closed", self.dropped(encode_packet(packet)))


if __name__ == "__main__":
    unittest.main()
