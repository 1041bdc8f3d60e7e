"""Bad datagrams cost little and never raise out of the core."""

import unittest

import msgspec
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from endivepick.client.tests.fake_owner import SETTINGS, FakeOwner, Simulation
from endivepick.core.messages import AnswerPart, Reissued, RequestProgress
from endivepick.core.packet_codec import encode_packet

FLOW = 77
integers = st.integers(-2, 3) | st.sampled_from([FLOW, 2**63, 2**64 - 1, -(2**63)])
floats = st.floats() | st.sampled_from([0.0, 60.0])
indexes = st.lists(integers, max_size=80)
data = st.binary(max_size=40) | st.sampled_from([b"\x92\xcc\xc8\x90", b"id: 1\n\n"])
ids = (integers, integers, integers)
PACKETS = {
    32: (integers, integers, data, floats),
    33: (integers, st.text(max_size=5), integers),
    34: ids,
    35: (*ids, integers, indexes),
    36: (*ids, integers, st.booleans(), data),
    37: (*ids, st.text(max_size=5), integers),
    38: (*ids, st.text(max_size=5), integers),
    39: (*ids, integers),
    40: (integers, integers, data, integers, st.booleans(), floats),
}
packets = st.one_of(
    st.tuples(st.just(tag), *fields).map(msgspec.msgpack.encode)
    for tag, fields in PACKETS.items()
).map(lambda encoded: b"\x01" + encoded)
datagrams = st.one_of(
    packets,
    packets,
    st.binary(max_size=60),
    st.tuples(packets, st.integers(0, 40)).map(lambda cut: cut[0][: cut[1]]),
    st.binary(min_size=1440, max_size=1500).map(lambda tail: b"\x01" + tail),
)


SEQUENCES = 2_500
LENGTH = 4
"""Datagrams in a sequence; 10,000 in all."""
LARGE_REQUEST = bytes(40_000)
MAX_ACTIONS = 3 * 34
"""Three requests of 32 parts each that go out anew, with their log entries."""


class TestBadDatagrams(unittest.TestCase):
    def setUp(self):
        self.simulation = Simulation(owner=FakeOwner())
        self.simulation.open()
        self.simulation.owner.silent = True

    @settings(
        max_examples=SEQUENCES,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.lists(datagrams, min_size=LENGTH, max_size=LENGTH))
    def test_ten_thousand_inputs_never_raise_and_cost_little(self, received):
        simulation = Simulation(owner=FakeOwner())
        simulation.open()
        simulation.request(1, LARGE_REQUEST, idempotent=True)
        simulation.request(2, idempotent=True, stream=True)
        simulation.request(3)
        for datagram in received:
            now_s = simulation.now_s = simulation.now_s + 0.05
            for actions in (
                simulation.core.datagram(datagram, now_s),
                simulation.core.tick(now_s),
            ):
                self.assertLess(len(actions), MAX_ACTIONS)
                simulation._perform(actions)

    def test_parts_far_ahead_and_progress_beyond_the_end_are_ignored(self):
        self.simulation.request(1)
        self.simulation.deliver(
            AnswerPart(FLOW, 1, 1, 2**40, False, b"far ahead"),
            AnswerPart(FLOW, 1, 1, -1, True, b"below"),
            RequestProgress(FLOW, 1, 1, 2**40, [2**50, -3]),
        )
        self.assertEqual(self.simulation.core.counts["duplicate_part"], 2)
        self.assertEqual(self.simulation.results, {})

    def test_final_part_below_a_later_one_is_dropped(self):
        self.simulation.request(1)
        self.simulation.deliver(
            AnswerPart(FLOW, 1, 1, 5, False, b"five"),
            AnswerPart(FLOW, 1, 1, 2, True, b"final?"),
        )
        self.assertEqual(self.simulation.core.counts["duplicate_part"], 1)

    def test_malformed_head_leaves_the_outcome_unknown(self):
        self.simulation.request(1)
        self.simulation.deliver(AnswerPart(FLOW, 1, 1, 0, True, b"\xff"))
        self.assertIn("malformed", str(self.simulation.results[1]))

    def test_answer_over_the_limit_leaves_the_outcome_unknown(self):
        small = SETTINGS.model_copy(update={"max_answer_bytes": 2048})
        simulation = Simulation(owner=FakeOwner(body=bytes(4096)), settings=small)
        simulation.open()
        simulation.request(1)
        simulation.run_until(lambda: simulation.results)
        self.assertIn("max_answer_bytes", str(simulation.results[1]))

    def test_renewal_time_that_is_no_number_is_bounded(self):
        packet = Reissued(FLOW, 1, b"new", 1, True, float("nan"))
        self.simulation.deliver(packet)
        self.simulation.run_for(1.0)
        self.assertLess(len(self.simulation.owner.received), 20)

    def test_datagram_of_another_version_is_counted(self):
        datagram = b"\x02" + encode_packet(RequestProgress(FLOW, 1, 1, 0, []))[1:]
        self.assertEqual(self.simulation.core.datagram(datagram, 0.0), [])
        self.assertEqual(self.simulation.core.counts["invalid_unknown_version"], 1)


if __name__ == "__main__":
    unittest.main()
