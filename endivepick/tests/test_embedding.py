import doctest
import unittest
from pathlib import Path

PAGE = Path(__file__).parents[2] / "docs" / "embedding.md"


class TestEmbedding(unittest.TestCase):
    def test_documentation_examples_pass(self):
        results = doctest.testfile(str(PAGE), module_relative=False)
        self.assertGreater(results.attempted, 30)
        self.assertEqual(results.failed, 0)


if __name__ == "__main__":
    unittest.main()
