import json
import unittest

from endivepick.errors import SettingsInvalidError
from endivepick.forwarder.forwarder import Forwarder
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.settings import decode_settings, load_forwarder_settings

GOOD = {
    "name": "front-1",
    "zone": "hall",
    "zones": ["hall", "yard"],
    "data_address": "127.0.0.1:7000",
    "ready_address": "127.0.0.1:7001",
    "metrics_address": "127.0.0.1:7002",
    "store_address": "127.0.0.1:7003",
}


def decode(**fields):
    return decode_settings(json.dumps(GOOD | fields).encode())


class TestDecodeSettings(unittest.TestCase):
    def test_comments_are_skipped(self):
        text = b"// Who\n" + json.dumps(GOOD, indent=1).encode() + b"\n  // the end"
        self.assertEqual(decode_settings(text).name, "front-1")

    def test_comments_are_allowed_outside_strings(self):
        text = json.dumps(GOOD | {"ready_path": "//a /* b */", "seeds": []}, indent=1)
        text = text.replace(",\n", ', // "one"\n /* and\n two */').encode()
        settings = decode_settings(text)
        self.assertEqual(settings.ready_path, "//a /* b */")
        self.assertEqual(settings.store_address, GOOD["store_address"])

    def refused(self, **fields):
        with self.assertRaises(SettingsInvalidError) as raised:
            decode(**fields)
        return str(raised.exception)

    def test_mechanism_is_disabled_by_its_name(self):
        used = decode(mechanisms={"hints": False}).mechanisms
        self.assertEqual((used.hints, used.trickle), (False, True))
        message = self.refused(mechanisms={"hint": False})
        self.assertIn("hint", message)

    def test_a_misspelt_key_is_named(self):
        self.assertIn("gather_ms", self.refused(gather_ms=4))

    def test_invalid_address_is_named_with_remedy(self):
        message = self.refused(store_address="store:80")
        self.assertIn("store_address", message)
        self.assertIn("IPv4 number", message)

    def test_a_zone_that_is_not_listed_is_refused(self):
        self.assertIn("zones", self.refused(zone="cellar"))

    def test_times_must_be_positive(self):
        self.assertIn("stop_s", self.refused(stop_s=0))

    def enabled_parts(self, **fields):
        settings = decode(**fields)
        return settings.shares_load, settings.limits_overload

    def test_parts_for_overload_follow_the_requirements(self):
        self.assertEqual(self.enabled_parts(), (False, False))
        self.assertEqual(self.enabled_parts(requirements=["pressure"]), (True, True))

    def test_settings_of_parts_for_overload_precede_the_requirements(self):
        pressure = {"requirements": ["pressure"]}
        self.assertEqual(self.enabled_parts(share_load=True), (True, False))
        self.assertEqual(
            self.enabled_parts(**pressure, limit_overload=False), (True, False)
        )
        self.assertEqual(
            self.enabled_parts(**pressure, share_load=False), (False, False)
        )

    def test_limit_of_overload_without_shared_load_is_refused(self):
        for fields in (
            {"share_load": False},
            {"share_load": False, "requirements": ["pressure"]},
            {},
        ):
            with self.subTest(fields):
                message = self.refused(limit_overload=True, **fields)
                self.assertIn("limit_overload", message)
                self.assertIn("Set share_load to true", message)

    def test_a_file_that_is_missing_is_named(self):
        with self.assertRaises(SettingsInvalidError) as raised:
            load_forwarder_settings("/nowhere/settings.json")
        self.assertIn("/nowhere/settings.json", str(raised.exception))


class TestProbeTimeouts(unittest.TestCase):
    def timeouts(self, **fields):
        log = BoundedLog("a", len)
        return Forwarder(decode(**fields), None, None, log).core.settings

    def test_a_slow_link_makes_probes_more_patient(self):
        fast = self.timeouts(link_mbps=1000.0).probe_timeouts_s
        slow = self.timeouts(link_mbps=5.0).probe_timeouts_s
        self.assertAlmostEqual(fast[1], 0.208)
        self.assertAlmostEqual(slow[1], 1.8)

    def test_probe_gap_covers_all_attempts(self):
        settings = self.timeouts(link_mbps=5.0)
        self.assertGreaterEqual(settings.probe_gap_s, sum(settings.probe_timeouts_s))
