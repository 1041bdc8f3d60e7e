import dataclasses
import inspect
import unittest

from endivepick.errors import SettingsInvalidError
from endivepick.settings import DaemonSettings, load_settings, parse_settings
from endivepick.settings.schema import SettingsModel

REQUIRED = """{
  instance: {name: "entry-1", zone: "fukuoka"}, // line 2
  listen: {data_address: "127.0.0.1:0", peer_address: "127.0.0.1:0"},
  platform: {address: "127.0.0.1:8080"},
  secrets: {peer_secret_hex: "000102030405060708090a0b0c0d0e0f"},
"""

# Text from line 6 on, line of the error, key, part of the problem or remedy.
REFUSED = [
    ("flow: {\n token_lifetime: 3}", 7, "flow.token_lifetime", "token_lifetime_s?"),
    ("extra: 1", 6, "extra", "use one of: instance, listen"),
    ("flow: {renew_share: 'a'}", 6, "flow.renew_share", "Write a valid number"),
    ("flow: {window_size: true}", 6, "flow.window_size", "Write a valid integer"),
    ("flow: {window_size: 1}", 6, "flow.window_size", "Use at least 16."),
    ("flow: {renew_share: 0.95}", 6, "flow.renew_share", "Use at most 0.9."),
    ("flow: {renew_share: Infinity}", 6, "flow.renew_share", "Use a finite number."),
    ("flow: {renew_share: NaN}", 6, "flow.renew_share", "Use a finite number."),
    ("/* { */ flow: 3", 6, "flow", "Write an object"),
    ("log: {level: 'loud'}", 6, "log.level", "Use 'debug'"),
    ("fabric: {return_address: 'host:1'}", 6, "fabric.return_address", "IPv4"),
    ("fabric: {return_address: '1.2.3.4:0'}", 6, "fabric.return_address", "port"),
    ("flow: {}, flow: {}", 6, "flow", "Keep one of them"),
    ("flow: {window_size: 64}", 6, "flow.outstanding_requests_max", "at most"),
    ('membership: {seed_addresses: "a:1"}', 6, "membership.seed_addresses", "list"),
    ('membership: {seed_addresses: ["a:1"]}', 6, "membership.seed_addresses.0", "IPv4"),
    ("dispatch: {ejection_s: 0}", 6, "dispatch.ejection_s", "more than 0."),
    ("dispatch: {ejection_s: 61}", 6, "dispatch.ejection_limit_s", "at least 61"),
    (
        "membership: {\n\nsuspect_max_s: 0.5}",
        *(8, "membership.suspect_max_s", "at least 1, or lower"),
    ),
    (
        "membership: {probe_timeout_s: 0.3}",
        *(6, "membership.probe_deadline_s", "membership.probe_timeout_s"),
    ),
    ("platform: {address: '1.2.3.4:5'}", 6, "platform", "Keep one of them."),
]


def failure_text(text):
    return str(parse_settings(text, "file.json5").failure())


class RefusalTest(unittest.TestCase):
    def test_names_line_key_and_remedy(self):
        for text, line, key, remedy in REFUSED:
            with self.subTest(text):
                message = failure_text(REQUIRED + text + "}")
                self.assertTrue(message.startswith(f"file.json5:{line}: {key}: "))
                self.assertIn(remedy, message)

    def test_missing_key_names_the_group_line(self):
        message = failure_text(REQUIRED.replace('name: "entry-1", ', "") + "}")
        self.assertRegex(message, r"^file.json5:2: instance.name: .*missing")

    def test_same_tcp_address_twice(self):
        text = REQUIRED.replace(
            'peer_address: "127.0.0.1:0"',
            'peer_address: "127.0.0.1:7", http_address: "127.0.0.1:7"',
        )
        self.assertIn("listen.http_address", failure_text(text + "}"))

    def test_text_that_is_not_json_names_the_line(self):
        self.assertRegex(failure_text(REQUIRED + "]"), r"^file.json5:6 ")

    def test_whole_file_of_another_type(self):
        self.assertIn("the whole file: wrong type (list)", failure_text("[]"))

    def test_all_errors_are_listed(self):
        message = failure_text(REQUIRED + "a: 1, b: 2}")
        self.assertEqual(len(message.splitlines()), 2)

    def test_missing_file(self):
        with self.assertRaisesRegex(SettingsInvalidError, "Name a readable"):
            load_settings("/nonexistent/settings.json5")


class AcceptanceTest(unittest.TestCase):
    def test_defaults_are_a_valid_combination(self):
        settings = parse_settings(REQUIRED + "}").unwrap()
        self.assertEqual(settings.instance.zone, "fukuoka")
        self.assertEqual(settings.secrets.peer_secret, bytes(range(16)))

    def test_handovers_are_kept_for_the_token_lifetime(self):
        settings = parse_settings(REQUIRED + "flow: {token_lifetime_s: 60}}").unwrap()
        self.assertEqual(settings.membership.departed_kept_s, 60)

    def test_repr_hides_the_secret(self):
        settings = parse_settings(REQUIRED + "}").unwrap()
        self.assertNotIn("0001", repr(settings))

    def test_validation_models_match_the_data_classes(self):
        for group in dataclasses.fields(DaemonSettings):
            inside = set(inspect.signature(group.type).parameters)
            border = SettingsModel.model_fields[group.name].annotation
            self.assertLessEqual(set(border.model_fields), inside, group.name)

    def test_every_key_is_described_and_every_number_has_a_range(self):
        for group in SettingsModel.model_fields.values():
            for name, item in group.annotation.model_fields.items():
                self.assertTrue(item.description, name)
                if item.annotation in (int, float):
                    self.assertRegex(str(item.metadata), "G[et].*L[et]", name)
