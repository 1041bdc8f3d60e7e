"""Tasks that outlive their own faults."""

from collections.abc import Callable

import gevent

from endivepick.forwarder.decision_log import DecisionLog

__all__ = ["RESTART_AFTER_S", "spawn_supervised"]

RESTART_AFTER_S = 1.0
"""Pause before a task that failed goes on, so that a lasting fault costs little."""


def spawn_supervised(
    name: str, work: Callable[[], None], decisions: DecisionLog
) -> gevent.Greenlet:
    """Run a task; when it fails, say so and begin it again.

    Without this, a fault in the task that follows the store would leave the forwarder
    with what it knew at that time, and ready.

    Parameters
    ----------
    name : str
        Name of the task, for the log.
    work : callable
        Runs until the task is killed.
    decisions : DecisionLog
        Where a fault is written.
    """

    def run() -> None:
        while True:
            try:
                work()
                return
            except Exception as error:
                decisions.task_failed(name, error)
                gevent.sleep(RESTART_AFTER_S)

    return gevent.spawn(run)
