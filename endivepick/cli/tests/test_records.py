import json

from endivepick.cli.exit_codes import ExitCode
from endivepick.cli.tests.support import (
    RECORD,
    PlatformCase,
    platform_unresponsive_after_write,
    run_command,
)

UNREACHABLE = "--platform=127.0.0.1:1"


class RecordCommandsTest(PlatformCase):
    def test_apply_get_edit_apply(self):
        self.assertEqual(self.apply().code, ExitCode.OK)
        file = json.loads(self.run_on_platform("records", "get", "notes").out)
        done = self.apply(version=file["version"], affinity="request")
        self.assertIn("affinity: 'flow' -> 'request'", done.out)
        self.assertEqual(self.body()["affinity"], "request")

    def test_apply_of_the_same_record_writes_nothing(self):
        self.apply()
        version = self.platform.get("service", "notes")["version"]
        self.assertIn("unchanged", self.apply().out)
        self.assertEqual(self.platform.get("service", "notes")["version"], version)

    def test_file_made_from_an_older_version_is_a_conflict(self):
        self.apply()
        self.apply("--replace", spill_share=0.5)
        for version in (1, None):
            refused = self.apply(version=version, affinity="request")
            self.assertEqual(refused.code, ExitCode.CONFLICT)
            self.assertIn("spill_share: 0.5", refused.err)
            self.assertIn("--replace", refused.err)
        self.assertEqual(self.body()["affinity"], "flow")

    def test_dry_run_writes_nothing(self):
        self.assertIn("would change", self.apply("--dry-run").out)
        self.assertIsNone(self.platform.get("service", "notes"))

    def test_invalid_records_are_refused_with_field_and_remedy(self):
        refused = self.apply(affinty="flow")
        self.assertEqual(refused.code, ExitCode.INVALID_RECORD)
        self.assertIn("field affinty: unknown field", refused.err)
        self.assertEqual(self.apply(version="x").code, ExitCode.INVALID_RECORD)
        missing = self.run_on_platform("records", "apply", "/nonexistent")
        self.assertEqual(missing.code, ExitCode.INVALID_RECORD)

    def test_list_and_diff(self):
        self.apply()
        self.assertRegex(self.run_on_platform("records", "list").out, r"notes +\d+ +2")
        changed = self.record_file(spill_share=0.25)
        shown = self.run_on_platform("records", "diff", changed, "--json")
        self.assertEqual(shown.code, ExitCode.DIFFERENT)
        self.assertEqual(json.loads(shown.out)[0]["field"], "spill_share")
        same = self.run_on_platform("records", "diff", self.record_file())
        self.assertEqual(same.code, ExitCode.OK)

    def test_unknown_option_is_rejected_before_the_command_runs(self):
        self.apply()
        for words in (
            ("records", "delete", "notes", "--verison=1"),
            ("records", "apply", self.record_file(spill_share=0.5), "--dryrun"),
            ("drain", "target", "notes", "notes-1", "--und"),
            ("keys", "rotate", "--json"),
        ):
            with self.subTest(words):
                refused = self.run_on_platform(*words)
                self.assertEqual(refused.code, ExitCode.USAGE)
                self.assertIn(words[-1].partition("=")[0], refused.err)
                self.assertIn("--platform", refused.err)
        self.assertEqual(self.body()["targets"], RECORD["targets"])
        self.assertNotIn("spill_share", self.body())
        self.assertIsNone(self.platform.get("keyring", "tokens"))

    def test_keys_as_json(self):
        self.run_on_platform("keys", "rotate")
        shown = self.run_on_platform("keys", "list", "--json")
        (key,) = json.loads(shown.out)
        self.assertEqual((key["key"], key["stage"]), (1, "current"))
        self.assertEqual(set(key), {"key", "stage", "created_at_s"})

    def test_delete_requires_the_current_version(self):
        self.apply()
        stale = self.run_on_platform("records", "delete", "notes", "--version=0")
        self.assertEqual(stale.code, ExitCode.CONFLICT)
        self.assertEqual(
            self.run_on_platform("records", "delete", "notes").code, ExitCode.OK
        )
        again = self.run_on_platform("records", "delete", "notes")
        self.assertEqual(again.code, ExitCode.NOT_FOUND)

    def test_write_with_lost_answer_succeeds(self):
        self.platform.control(lose_answers=1)
        self.assertEqual(self.apply().code, ExitCode.OK)
        self.assertEqual(self.body()["affinity"], "flow")

    def test_write_with_unknown_outcome(self):
        with platform_unresponsive_after_write() as address:
            path = self.record_file()
            refused = run_command("records", "apply", path, f"--platform={address}")
        self.assertEqual(refused.code, ExitCode.OUTCOME_UNKNOWN)
        self.assertIn("Read the record", refused.err)

    def test_outage(self):
        self.platform.control(outage="unavailable")
        refused = self.run_on_platform("records", "list")
        self.assertEqual(refused.code, ExitCode.PLATFORM_UNREACHABLE)
        down = run_command("records", "list", UNREACHABLE)
        self.assertEqual(down.code, ExitCode.PLATFORM_UNREACHABLE)

    def test_rotation_of_keys(self):
        first = self.run_on_platform("keys", "rotate")
        self.assertIn("signs from now on", first.out)
        for _ in range(2):
            self.assertIn(
                "key 2 is pending", self.run_on_platform("keys", "rotate").out
            )
        listed = self.run_on_platform("keys", "list").out
        self.assertRegex(listed, r"1 +current .*\n2 +pending")


class DrainCommandsTest(PlatformCase):
    def drain(self, *words):
        return self.run_on_platform("drain", *words)

    def test_target_in_schema_2_and_back(self):
        self.apply()
        self.assertEqual(self.drain("target", "notes", "notes-1").code, ExitCode.OK)
        draining = [target["draining"] for target in self.body()["targets"][:1]]
        self.assertEqual(draining, [True])
        self.drain("target", "notes", "notes-1", "--undo")
        self.assertFalse(self.body()["targets"][0]["draining"])

    def test_target_in_schema_1(self):
        address = "127.0.0.1:7001"
        body = {"schema_version": 1, "slots": 2, "connections": 9, "write_id": "x"}
        self.platform.put("service", "notes", body | {"targets": [address]})
        self.drain("target", "notes", address)
        self.assertEqual(self.body()["drain"], [address])

    def test_unknown_names(self):
        self.assertEqual(self.drain("target", "notes", "x").code, ExitCode.NOT_FOUND)
        self.apply()
        refused = self.drain("target", "notes", "x")
        self.assertEqual(refused.code, ExitCode.NOT_FOUND)
        self.assertIn("Known: notes-1, notes-2", refused.err)
        self.assertEqual(self.drain("instance", "x").code, ExitCode.NOT_FOUND)
