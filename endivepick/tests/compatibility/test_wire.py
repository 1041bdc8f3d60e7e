import unittest

from endivepick.core.peer_envelope import UNKNOWN_KIND
from endivepick.errors import PacketInvalidError, TokenInvalidError
from endivepick.membership.peer_messages import Liveness, Phase
from endivepick.records._transfer import TransferReceiver, build_inventory
from endivepick.records.cache import CACHED_KINDS, RecordCache
from endivepick.records.objects import StoredObject
from endivepick.records.peer_messages import InventoryRequest
from endivepick.tests.compatibility._message_families import (
    WIRES,
    as_lists,
    example,
    named,
)
from endivepick.tests.compatibility.generate import (
    read_samples,
    sample_files,
    samples,
)

UNKNOWN_TAG = 127
MORE = ("a field of a newer build", {"and": [1, "other", b"type"]})


def kinds():
    for name, wire in WIRES.items():
        for kind in wire.kinds:
            yield f"{name} {kind.__name__}", wire, kind


class TestSamples(unittest.TestCase):
    def assert_holds(self, sample, decoded):
        """Check all that the sample holds; newer fields of ``decoded`` may add."""
        match sample:
            case {"kind": kind, "fields": fields}:
                self.assertEqual(decoded["kind"], kind)
                for name, field in fields.items():
                    self.assert_holds(field, decoded["fields"][name])
            case [*items]:
                self.assertEqual(len(items), len(decoded))
                for item, other in zip(items, decoded, strict=True):
                    self.assert_holds(item, other)
            case _:
                self.assertEqual(sample, decoded)

    def test_messages_of_all_earlier_builds_are_understood(self):
        by_name = {(n, k.__name__): k for n, w in WIRES.items() for k in w.kinds}
        for path in sample_files():
            for sample in read_samples(path):
                name = sample["wire"], sample["value"]["kind"]
                with self.subTest(path.name, sample=name):
                    data = bytes.fromhex(sample["encoded"])
                    decoded = WIRES[name[0]].decode(data, by_name[name])
                    self.assert_holds(sample["value"], named(decoded))

    def test_newest_samples_are_those_of_this_build(self):
        self.assertEqual(
            read_samples(sample_files()[-1]),
            samples(),
            "run python -m endivepick.tests.compatibility.generate",
        )


class TestFixedSets(unittest.TestCase):
    """What may not grow: an older build would drop or delete; see the design note."""

    def test_kinds_of_cached_objects(self):
        self.assertEqual(set(CACHED_KINDS), {"instance", "keyring", "service"})

    def test_members_of_enumerations(self):
        self.assertEqual([phase.value for phase in Phase], [0, 1, 2, 3])
        self.assertEqual([liveness.value for liveness in Liveness], [0, 1, 2])

    def test_inventory_of_a_build_without_a_kind_would_delete_its_objects(self):
        newer = RecordCache(kinds=("service", "kind of the future"))
        newer.offer_list("service", 5, [])
        held = StoredObject("kind of the future", "x", 4, {"a": 1})
        newer.offer_list("kind of the future", 5, [held])
        older = RecordCache(kinds=("service",))
        older.offer_list("service", 6, [])
        inventory = build_inventory(older, InventoryRequest(newer.buckets), 1000)
        received = TransferReceiver(newer).handle_inventory(inventory)
        self.assertEqual([c.after.deleted for c in received.changes], [True])


class TestNewerBuilds(unittest.TestCase):
    def test_fields_that_a_newer_build_added_are_passed_over(self):
        for name, wire, kind in kinds():
            with self.subTest(name):
                value = example(kind)
                data = wire.pack(as_lists(value, MORE))
                self.assertEqual(wire.decode(data, kind), value)

    def test_lists_are_encoded_as_the_structures(self):
        for name, wire, kind in kinds():
            with self.subTest(name):
                value = example(kind)
                self.assertEqual(wire.pack(as_lists(value, ())), wire.encode(value))

    def test_unknown_kinds_are_an_expected_failure(self):
        for name in ("caller", "instance", "peer"):
            wire = WIRES[name]
            with self.subTest(name), self.assertRaises(PacketInvalidError):
                wire.decode(wire.pack([UNKNOWN_TAG, *MORE]), None)

    def test_unknown_kind_of_a_peer_is_told_from_a_broken_message(self):
        wire = WIRES["peer"]
        for reason, message in (
            (UNKNOWN_KIND, [UNKNOWN_TAG, *MORE]),
            ("malformed_peer_message", [wire.kinds[0].__struct_config__.tag]),
            ("malformed_peer_message", []),
            ("malformed_peer_message", "text"),
        ):
            with self.subTest(message=message):
                with self.assertRaises(PacketInvalidError) as raised:
                    wire.decode(wire.pack(message), None)
                self.assertEqual(raised.exception.reason, reason)

    def test_cut_off_structures_are_expected_failures(self):
        for name, wire, kind in kinds():
            with self.subTest(name):
                data = wire.encode(example(kind))
                with self.assertRaises((PacketInvalidError, TokenInvalidError)):
                    wire.decode(data[:-20] + bytes(16 * (name[:5] == "token")), kind)


if __name__ == "__main__":
    unittest.main()
