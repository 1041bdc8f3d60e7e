import itertools
import time
import unittest
from types import SimpleNamespace
from unittest.mock import patch

import gevent

from endivepick.bench import _target_slopes

ANSWERS_OF_FIRST_ROUND = 4


class TestProbes(unittest.TestCase):
    def test_late_answer_leaves_out_no_probe(self):
        server = _target_slopes._Server()
        serving = SimpleNamespace(
            addresses=[server.listen() for _ in range(2)],
            counted_bytes=lambda: server.counted_bytes,
        )
        numbers, answer = itertools.count(), _target_slopes._answer

        def late_once(path):
            if next(numbers) == ANSWERS_OF_FIRST_ROUND:
                time.sleep(0.2)
            return answer(path)

        rounds = patch.object(_target_slopes, "PROBE_ROUNDS", 3)
        answers = patch.object(_target_slopes, "_answer", late_once)
        with gevent.Timeout(30), rounds, answers:
            _target_slopes._probes_once(serving, 2)
        self.assertEqual(next(numbers), 3 * ANSWERS_OF_FIRST_ROUND)


if __name__ == "__main__":
    unittest.main()
