"""Waits that let the callers' gevent tasks in the test process run."""

from collections.abc import Callable
from typing import Any

import gevent

__all__ = ["call_in_thread", "wait"]

_POLL_S = 0.02
_WAIT_S = 60.0


def call_in_thread(function: Callable[..., Any], *arguments: Any, **named: Any) -> Any:
    """Make a blocking call in a thread, while the callers' tasks run."""
    return gevent.get_hub().threadpool.apply(function, arguments, named)


def wait(
    condition: Callable[[], Any],
    what: str,
    state: Callable[[], Any] | None = None,
    poll_s: float = _POLL_S,
) -> Any:
    """Wait until a condition holds and return its value.

    If it does not hold in time, the error includes the value of ``state``.
    """
    with gevent.Timeout(_WAIT_S, False):
        while not (value := condition()):
            gevent.sleep(poll_s)
        return value
    found = f"; found {state()}" if state else ""
    raise TimeoutError(f"waited {_WAIT_S} s for: {what}{found}")
