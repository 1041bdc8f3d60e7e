import ast
import tomllib
import unittest
from pathlib import Path

import endivepick

PACKAGE = Path(endivepick.__file__).parent
PROJECT = PACKAGE.parent / "pyproject.toml"
CODE_SUFFIXES = {".py", ".pyc"}


def imported_modules(path):
    """Return the modules that a file imports at its top level."""
    names = set()
    for node in ast.parse(path.read_text()).body:
        match node:
            case ast.Import(names=aliases):
                names.update(alias.name for alias in aliases)
            case ast.ImportFrom(module=module):
                names.add(module)
    return names


class PackagingTest(unittest.TestCase):
    def test_wheel_holds_all_data_files(self):
        options = tomllib.loads(PROJECT.read_text())["tool"]["setuptools"]
        patterns = options["package-data"]["endivepick"]
        packed = {path for pattern in patterns for path in PACKAGE.glob(pattern)}
        files = (path for path in PACKAGE.rglob("*") if path.is_file())
        data = {path for path in files if path.suffix not in CODE_SUFFIXES}
        self.assertIn(PACKAGE / "timeline" / "page.html", data)
        self.assertEqual(data - packed, set())

    def test_library_can_be_imported_without_the_stand_ins(self):
        for path in PACKAGE.rglob("*.py"):
            if "tests" in path.parts:
                continue
            packages = {name.partition(".")[0] for name in imported_modules(path)}
            self.assertNotIn("standins", packages, path)
