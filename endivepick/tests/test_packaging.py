import tomllib
import unittest
from pathlib import Path

import endivepick

PACKAGE = Path(endivepick.__file__).parent
PROJECT = PACKAGE.parent / "pyproject.toml"
NOT_DATA = {".py", ".pyc"}


class PackagingTest(unittest.TestCase):
    def test_wheel_holds_all_data_files(self):
        options = tomllib.loads(PROJECT.read_text())["tool"]["setuptools"]
        patterns = options["package-data"]["endivepick"]
        packed = {path for pattern in patterns for path in PACKAGE.glob(pattern)}
        files = (path for path in PACKAGE.rglob("*") if path.is_file())
        data = {path for path in files if path.suffix not in NOT_DATA}
        self.assertIn(PACKAGE / "timeline" / "page.html", data)
        self.assertEqual(data - packed, set())
