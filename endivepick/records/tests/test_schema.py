import unittest

from endivepick.errors import RecordInvalidError
from endivepick.records.model import Affinity
from endivepick.records.schema import parse_service, write_service


def body_v1(**changes):
    body = {
        "schema_version": 1,
        "write_id": "w1",
        "sticky": False,
        "timeout_ms": 2500,
        "zone": "thamel",
        "slots": 3,
        "connections": 2000,
        "targets": ["127.0.0.2:80", "127.0.0.1:80"],
        "drain": ["127.0.0.2:80"],
    }
    return body | changes


def target_v2(name="a", **changes):
    target = {"name": name, "zone": "thamel", "address": "127.0.0.1:80"}
    return target | {"slots": 3, "connections": 2000} | changes


def body_v2(*targets, **changes):
    body = {"schema_version": 2, "write_id": "w2", "affinity": "request"}
    return body | {"targets": list(targets or [target_v2()])} | changes


class TestParse(unittest.TestCase):
    def test_both_schemas_give_the_internal_form(self):
        old = parse_service("leave", 4, body_v1()).unwrap()
        self.assertEqual(
            [t.name for t in old.targets], ["127.0.0.1:80", "127.0.0.2:80"]
        )
        self.assertEqual([t.draining for t in old.targets], [False, True])
        self.assertEqual(old.request_timeout_s, 2.5)
        self.assertIs(old.affinity, Affinity.REQUEST)
        new = parse_service("leave", 5, body_v2(spill_share=0.5)).unwrap()
        self.assertEqual((new.version, new.spill_share), (5, 0.5))

    def test_errors_name_field_and_remedy(self):
        cases = [
            (body_v2(affinty="flow"), "affinty", "Remove it"),
            (body_v2(affinity="node"), "affinity", "'flow' or 'request'"),
            (body_v2(target_v2(slots=0)), "targets.0.slots", "greater than"),
            (body_v2(target_v2(slots="2")), "targets.0.slots", "valid integer"),
            (body_v2(target_v2(slots=True)), "targets.0.slots", "valid integer"),
            (body_v2(target_v2(address="host:80")), "targets.0.address", "IPv4"),
            (body_v2(target_v2(address="127.0.0.1:0")), "targets.0.address", "65535"),
            (body_v2(target_v2(), target_v2()), "body", "is used by two targets"),
            (body_v2(request_timeout_s=float("nan")), "request_timeout_s", "finite"),
            (body_v2(spill_share=1.1), "spill_share", "less than"),
            (body_v1(drain=["127.0.0.9:80"]), "body", "not in targets"),
            (body_v1(affinity="flow"), "affinity", "unknown field"),
            (body_v2(schema_version=3), "schema_version", "upgrade all instances"),
            (body_v2(schema_version="2"), "schema_version", "whole number"),
            ({}, "schema_version", "whole number"),
            ([], "body", "JSON object"),
        ]
        for body, field, remedy in cases:
            with self.subTest(field=field, remedy=remedy):
                error = parse_service("leave", 1, body).failure()
                self.assertIsInstance(error, RecordInvalidError)
                self.assertEqual(error.field, field)
                self.assertIn(remedy, str(error))

    def test_name_is_checked(self):
        self.assertEqual(parse_service("A b", 1, body_v2()).failure().field, "name")


class TestConversion(unittest.TestCase):
    def test_each_schema_survives_a_round_trip(self):
        for body in (body_v1(), body_v2(target_v2(draining=True), spill_share=0.25)):
            record = parse_service("leave", 4, body).unwrap()
            written = write_service(record, record.schema_version)
            self.assertEqual(written.lost, ())
            self.assertEqual(parse_service("leave", 4, written.body).unwrap(), record)

    def test_v1_record_converts_to_v2_without_loss(self):
        old = parse_service("leave", 4, body_v1()).unwrap()
        new = parse_service("leave", 4, write_service(old, 2).body).unwrap()
        self.assertEqual(new.targets, old.targets)
        self.assertEqual(new.request_timeout_s, old.request_timeout_s)

    def test_conversion_to_v1_reports_lost_fields(self):
        targets = (
            target_v2("a", slots=2),
            target_v2("b", zone="lalitpur", address="127.0.0.2:80"),
        )
        record = parse_service("leave", 4, body_v2(*targets, spill_share=0.5)).unwrap()
        written = write_service(record, 1)
        self.assertEqual(written.body["slots"], 2)
        lost = {text.split(":")[0] for text in written.lost}
        expected = {"targets.zone", "targets.slots", "targets.name", "spill_share"}
        self.assertEqual(lost, expected)
        parse_service("leave", 4, written.body).unwrap()

    def test_unknown_schema_cannot_be_written(self):
        record = parse_service("leave", 4, body_v2()).unwrap()
        with self.assertRaises(RecordInvalidError):
            write_service(record, 3)
