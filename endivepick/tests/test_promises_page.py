import re
import unittest
from pathlib import Path

PAGE = Path(__file__).parents[2] / "docs" / "promises.md"
TEST_ID = re.compile(r"`(endivepick\.tests\.promises\.[\w.]+)`")


class TestPromisesPage(unittest.TestCase):
    def test_each_named_test_exists_and_each_test_is_named(self):
        named = set(TEST_ID.findall(PAGE.read_text(encoding="utf-8")))
        folder = Path(__file__).with_name("promises")
        loader = unittest.TestLoader()
        found = set()
        for path in folder.glob("test_*.py"):
            name = f"endivepick.tests.promises.{path.stem}"
            for case in _cases(loader.loadTestsFromName(name)):
                found.add(case.id())
        self.assertEqual(loader.errors, [])
        self.assertEqual(named, found)


def _cases(suite):
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from _cases(item)
        else:
            yield item


if __name__ == "__main__":
    unittest.main()
