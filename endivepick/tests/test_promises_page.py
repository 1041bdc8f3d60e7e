import re
import unittest
from pathlib import Path

PAGE = Path(__file__).parents[2] / "docs" / "promises.md"
TEST_ID = re.compile(r"`(endivepick(?:\.\w+)*\.test_\w+\.[\w.]+)`")
PROMISES = "endivepick.tests.promises."


class TestPromisesPage(unittest.TestCase):
    def test_each_named_test_exists_and_each_test_is_named(self):
        named = set(TEST_ID.findall(PAGE.read_text(encoding="utf-8")))
        others = {name for name in named if not name.startswith(PROMISES)}
        folder = Path(__file__).with_name("promises")
        loader = unittest.TestLoader()
        found = set()
        for path in folder.glob("test_*.py"):
            name = f"endivepick.tests.promises.{path.stem}"
            for case in _iterate_cases(loader.loadTestsFromName(name)):
                found.add(case.id())
        for name in others:
            found.update(
                case.id() for case in _iterate_cases(loader.loadTestsFromName(name))
            )
        self.assertGreater(len(others), 0)
        self.assertEqual(loader.errors, [])
        self.assertEqual(named, found)


def _iterate_cases(suite):
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from _iterate_cases(item)
        else:
            yield item


if __name__ == "__main__":
    unittest.main()
