import os
import threading
import unittest
from types import SimpleNamespace

from endivepick.bench import idle

WINDOW_S = 0.05


def make_cluster_of_this_process():
    """Return a fake installation whose only instance is this process."""
    status = {"services": [{"targets": ["t0", "t1"]}, {"targets": ["t2"]}]}
    instance = SimpleNamespace(
        plan=SimpleNamespace(name="a"),
        process=SimpleNamespace(pid=os.getpid()),
        status=lambda: status,
    )
    return SimpleNamespace(instances={"a": instance})


class TestIdle(unittest.TestCase):
    def test_counts_processor_time_and_wake_ups_of_all_threads(self):
        ended = threading.Event()

        def work():
            while not ended.wait(0.001):
                sum(range(1000))

        thread = threading.Thread(target=work)
        thread.start()
        try:
            windows = list(
                idle.measure_idle(
                    make_cluster_of_this_process(), 2, WINDOW_S, settle_s=0.0
                )
            )
        finally:
            ended.set()
            thread.join()
        self.assertEqual([window.targets for window in windows], [3, 3])
        for window in windows:
            self.assertGreater(window.cpu_percent, 0)
            self.assertGreater(window.main_wake_ups_per_s, 0)
            self.assertGreater(window.other_wake_ups_per_s, 0)


if __name__ == "__main__":
    unittest.main()
