import tempfile
import unittest
from pathlib import Path

from standins.run_tests import ModuleResult, find_units, judge, read_known_red
from standins.run_unit import Outcome, run


class TestJudge(unittest.TestCase):
    def test_known_red_is_listed_and_not_counted(self):
        results = [ModuleResult("m", Outcome(2, ["m.T.a", "m.T.b"]), "")]
        verdict = judge(results, {"m.T.a": "m.T.a, cause, 4"})
        self.assertEqual(verdict.passed, 2)
        self.assertEqual(verdict.failed, ["m.T.b"])
        self.assertEqual(verdict.known_red, ["m.T.a"])

    def test_module_without_result_fails(self):
        verdict = judge([ModuleResult("m", None, "no such import")], {})
        self.assertEqual(verdict.failed, ["m"])
        self.assertIn("no such import", verdict.reports[0])

    def test_known_red_file(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "KNOWN-RED.txt"
            self.assertEqual(read_known_red(path), {})
            path.write_text("# test, cause, issue\n\nm.T.a, cause, 4\n")
            self.assertEqual(read_known_red(path), {"m.T.a": "m.T.a, cause, 4"})

    def test_finds_this_module(self):
        self.assertIn(__name__, find_units(["run_tests"]))

    def test_finds_modules_in_folders_of_tests(self):
        units = find_units(["promises.test_"])
        self.assertTrue(units)
        self.assertFalse([unit for unit in units if "._" in unit])


class TestRun(unittest.TestCase):
    def test_skipped_tests_and_subtests_count_as_failed(self):
        class Example(unittest.TestCase):
            def test_passes(self):
                pass

            def test_skipped(self):
                raise unittest.SkipTest

            def test_sub(self):
                for number in range(2):
                    with self.subTest(number=number):
                        self.assertEqual(number, 2)

        outcome = run(unittest.defaultTestLoader.loadTestsFromTestCase(Example))
        self.assertEqual(outcome.passed, 1)
        endings = [test.rpartition(".")[2] for test in outcome.failed]
        self.assertEqual(endings, ["test_skipped", "test_sub"])


if __name__ == "__main__":
    unittest.main()
