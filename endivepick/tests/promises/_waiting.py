"""Waits during which the callers' tasks of the test process go on."""

from collections.abc import Callable
from typing import Any

import gevent

__all__ = ["in_thread", "wait"]

_POLL_S = 0.02
_WAIT_S = 60.0


def in_thread(function: Callable[..., Any], *arguments: Any, **named: Any) -> Any:
    """Make a blocking call while the callers' tasks go on."""
    return gevent.get_hub().threadpool.apply(function, arguments, named)


def wait(
    condition: Callable[[], Any],
    what: str,
    state: Callable[[], Any] | None = None,
    poll_s: float = _POLL_S,
) -> Any:
    """Wait for a condition; return its value.

    If it does not hold in time, the error tells ``state`` as well.
    """
    with gevent.Timeout(_WAIT_S, False):
        while not (value := condition()):
            gevent.sleep(poll_s)
        return value
    found = f"; found {state()}" if state else ""
    raise TimeoutError(f"waited {_WAIT_S} s for: {what}{found}")
