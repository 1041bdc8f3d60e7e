import unittest

from endivepick.records.active_records import (
    ActiveRecords,
    ServiceChanged,
    ServiceRefused,
    ServiceRemoved,
)
from endivepick.records.cache import RecordCache
from endivepick.records.objects import StoredObject
from endivepick.records.tests.test_schema import body_v1, body_v2


class TestServiceBook(unittest.TestCase):
    def setUp(self):
        self.cache = RecordCache()
        self.book = ActiveRecords()

    def offer(self, version, body):
        change = self.cache.offer(StoredObject("service", "leave", version, body))
        return self.book.apply([change] if change else [])

    def test_newer_schema_leaves_the_last_valid_version_in_force(self):
        self.offer(3, body_v2())
        changes = self.offer(5, body_v2(schema_version=3))
        self.assertIsInstance(changes[0], ServiceRefused)
        self.assertEqual(self.book.get("leave").version, 3)
        self.assertEqual(self.book.state("leave"), "refused")
        self.assertEqual(self.book.refused[0].version, 5)
        self.assertEqual(self.book.refused[0].in_force, 3)

    def test_schemas_mix_while_a_change_rolls_out(self):
        self.offer(3, body_v1())
        changes = self.offer(4, body_v2())
        self.assertIsInstance(changes[0], ServiceChanged)
        self.assertEqual(changes[0].before.schema_version, 1)
        self.offer(6, body_v1())
        self.assertEqual(self.book.get("leave").schema_version, 1)
        self.assertEqual(self.book.state("leave"), "in_force")

    def test_deletion_and_creation(self):
        self.offer(3, body_v2())
        self.assertIsInstance(self.offer(4, None)[0], ServiceRemoved)
        self.assertEqual(self.offer(5, None), [])
        self.offer(6, body_v2())
        self.assertEqual([record.version for record in self.book.records()], [6])

    def test_valid_version_clears_the_refusal(self):
        self.offer(3, {})
        self.assertEqual(self.book.refused[0].in_force, 0)
        self.offer(4, body_v2())
        self.assertEqual(self.book.refused, ())
