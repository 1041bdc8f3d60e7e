import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from standins.shapes import SMALL
from standins.upgrade import main, run_upgrade

CHECKOUT = Path(__file__).parents[2]


class TestUpgrade(unittest.TestCase):
    def test_same_build_keeps_every_promise(self):
        """Runs all steps with this checkout as the old build."""
        with contextlib.redirect_stdout(io.StringIO()) as printed:
            report, faults = run_upgrade(SMALL, str(CHECKOUT))
        seen = f"{report.violations}\n{printed.getvalue()}"
        self.assertEqual(report.violations, [], seen)
        self.assertEqual(faults, [])
        self.assertGreater(report.counts["answer_whole"], 0)

    def test_folder_without_a_checkout_is_refused(self):
        with (
            tempfile.TemporaryDirectory() as folder,
            self.assertRaisesRegex(SystemExit, "git worktree add"),
        ):
            main(old=folder)


if __name__ == "__main__":
    unittest.main()
