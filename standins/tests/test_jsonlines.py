import contextlib
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from standins import jsonlines
from standins.jsonlines import read_lines


class TestReadLines(unittest.TestCase):
    def test_torn_last_line_is_left_out(self):
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        path = folder / "log.jsonl"
        path.write_text('{"a": 1}\n{"a"')
        self.assertEqual(list(read_lines(path)), [{"a": 1}])

    def test_rest_of_a_line_that_is_written_meanwhile_is_left_out(self):
        pieces = ['{"a": 1}\n', '{"a"', ": 2}\n"]
        opened = mock.Mock(return_value=contextlib.nullcontext(iter(pieces)))
        with mock.patch.object(jsonlines, "open", opened, create=True):
            self.assertEqual(list(read_lines(__file__)), [{"a": 1}])


if __name__ == "__main__":
    unittest.main()
