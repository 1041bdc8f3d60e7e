import itertools
import time
import unittest
from types import SimpleNamespace
from unittest.mock import patch

import gevent

from endivepick.bench import _target_slopes

TARGETS = 56
ROUNDS = 3
ENDPOINTS_PER_PROBE = 2


class TestProbes(unittest.TestCase):
    def test_each_round_probes_all_targets_although_answers_are_slow(self):
        server = _target_slopes._Server()
        serving = SimpleNamespace(
            addresses=[server.listen() for _ in range(TARGETS)],
            counted_bytes=lambda: server.counted_bytes,
        )
        numbers, answer = itertools.count(), _target_slopes._answer

        def slow(path):
            next(numbers)
            time.sleep(0.002)
            return answer(path)

        rounds = patch.object(_target_slopes, "PROBE_ROUNDS", ROUNDS)
        answers = patch.object(_target_slopes, "_answer", slow)
        with gevent.Timeout(30), rounds, answers:
            _target_slopes._measure_probes_at(serving, TARGETS)
        self.assertEqual(next(numbers), ROUNDS * TARGETS * ENDPOINTS_PER_PROBE)


if __name__ == "__main__":
    unittest.main()
