"""Supervision of tasks: restarts those that fail."""

from collections.abc import Callable

import gevent

from endivepick.forwarder.decision_log import DecisionLog

__all__ = ["RESTART_AFTER_S", "spawn_supervised"]

RESTART_AFTER_S = 1.0
"""Delay before a failed task is restarted, which limits the cost of a permanent
error."""


def spawn_supervised(
    name: str, work: Callable[[], None], decisions: DecisionLog
) -> gevent.Greenlet:
    """Run a task; log its failures and restart it.

    Without the restart, an error in the task that follows the store would leave the
    forwarder ready with outdated knowledge.

    Parameters
    ----------
    name : str
        Name of the task, for the log.
    work : callable
        Task body; the task ends when it returns and is restarted when it raises.
    decisions : DecisionLog
        Log of the failures.
    """

    def run() -> None:
        while True:
            try:
                work()
                return
            except Exception as error:
                decisions.log_task_error(name, error)
                gevent.sleep(RESTART_AFTER_S)

    return gevent.spawn(run)
