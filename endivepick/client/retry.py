"""Optional helper that retries a request where that is safe."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from returns.result import Failure, Result

from endivepick.client._core.timing import Backoff, clamp_retry_s
from endivepick.client.caller import Flow, Headers
from endivepick.client.errors import GaveUp, NotRun, OutcomeUnknown, RequestError
from endivepick.client.model import Answer
from endivepick.core.dispatch import DispatchSettings, RetryBudget

__all__ = ["RetryPolicy", "request_with_retry"]

BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 5.0


def _new_budget() -> RetryBudget:
    settings = DispatchSettings.model_validate({})
    return RetryBudget(settings, time.monotonic())


@dataclass
class RetryPolicy:
    """Limits on the retries of one program, shared by all its flows.

    Attributes
    ----------
    attempts : int
        Maximum number of attempts per request, including the first.
    budget : RetryBudget
        Limits retries to a share of the requests, so that retries do not
        increase an overload.
    sleep : callable
        Function that waits for a number of seconds.
    """

    attempts: int = 4
    budget: RetryBudget = field(default_factory=_new_budget)
    sleep: Callable[[float], None] = gevent.sleep


def request_with_retry(
    flow: Flow,
    policy: RetryPolicy,
    method: str = "GET",
    path: str = "/",
    headers: Headers = (),
    body: bytes = b"",
    idempotent: bool = False,
    deadline_s: float = 10.0,
) -> Result[Answer, RequestError]:
    """Send a request and retry it where that is safe.

    A request is retried after `NotRun`, and after any other error except `GaveUp`
    if it is idempotent. Each retry waits at least as long as the instance
    requested, and at least for an exponential backoff with jitter. It uses a new
    request number and counts against the retry budget of ``policy``. The other
    parameters are those of `Flow.request`; the deadline covers all attempts.

    Returns
    -------
    returns.result.Result
        The answer or the last error; `NotRun` only if no attempt can have run.
    """
    deadline_at_s = time.monotonic() + deadline_s
    backoff = Backoff(random.getrandbits(32), BACKOFF_MAX_S)
    may_have_run = False
    policy.budget.count_request()
    for attempt in range(1, policy.attempts + 1):
        remaining_s = deadline_at_s - time.monotonic()
        result = flow.request(method, path, headers, body, idempotent, remaining_s)
        if not isinstance(result, Failure):
            return result
        error = result.failure()
        may_have_run = may_have_run or not isinstance(error, NotRun)
        wait_s = max(
            clamp_retry_s(error.retry_after_ms), backoff.next_s(BACKOFF_BASE_S)
        )
        is_last = attempt == policy.attempts
        if is_last or not _is_retryable(error, idempotent):
            break
        now_s = time.monotonic()
        if now_s + wait_s >= deadline_at_s or not policy.budget.take(now_s):
            break
        policy.sleep(wait_s)
    return Failure(_combine_errors(error, may_have_run))


def _is_retryable(error: RequestError, idempotent: bool) -> bool:
    if isinstance(error, GaveUp):
        return False
    return idempotent or isinstance(error, NotRun)


def _combine_errors(error: RequestError, may_have_run: bool) -> RequestError:
    if isinstance(error, NotRun) and may_have_run:
        reason = f"{error.reason}, and an earlier attempt may have run"
        return OutcomeUnknown(reason, error.retry_after_ms)
    return error
