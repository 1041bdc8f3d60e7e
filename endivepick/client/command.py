"""Commands that send one request through the fabric."""

import json
import sys
from collections.abc import Iterable

from returns.result import Failure, Success

from endivepick.cli.exit_codes import ExitCode
from endivepick.client.caller import Flow, open_caller
from endivepick.client.errors import (
    NotRun,
    OpenError,
    OutcomeUnknown,
    RequestError,
    StreamAnswerError,
)
from endivepick.client.model import Answer, StreamEvent
from endivepick.client.settings import CallerSettings

__all__ = ["call", "stream"]

MIN_ERROR_STATUS = 400


def call(
    service: str,
    path: str = "/",
    method: str = "GET",
    body: str = "",
    header: str | Iterable[str] = (),
    idempotent: bool = False,
    deadline_s: float = 10.0,
    fabric: str = "127.0.0.1:7000",
    as_json: bool = False,
) -> ExitCode:
    """Send one request and print its answer.

    Parameters
    ----------
    service : str
        Name of the service.
    path, method, body : str
        Method, path and body of the request.
    header : str or iterable of str
        Request headers as ``Name: value``.
    idempotent : bool
        Whether the request may run more than once.
    deadline_s : float
        Time limit for the answer, in seconds.
    fabric : str
        ``host:port`` of the fabric.
    as_json : bool
        Print a JSON object with status, headers and body instead of the body.

    Returns
    -------
    ExitCode
        Exit code that tells scripts how the request ended.
    """
    try:
        headers = _parse_headers(header)
        settings = CallerSettings(fabric_address=fabric)
    except ValueError as error:
        return _fail(error, ExitCode.USAGE)
    with open_caller(settings) as caller:
        match caller.open(service, deadline_s):
            case Success(Flow() as flow):
                result = flow.request(
                    method, path, headers, str(body).encode(), idempotent, deadline_s
                )
                return _report(result, as_json)
            case Failure(error):
                return _fail(error, ExitCode.NOT_OPENED)
    return ExitCode.NOT_OPENED


def stream(
    service: str,
    path: str = "/",
    events: int = 0,
    deadline_s: float = 12 * 3600.0,
    fabric: str = "127.0.0.1:7000",
) -> ExitCode:
    """Print the events of a stream, one JSON object per line.

    Parameters
    ----------
    service, path, deadline_s, fabric
        As in `call`.
    events : int
        Number of events after which to stop; 0 prints all events.

    Returns
    -------
    ExitCode
        Exit code that tells scripts how the stream ended.
    """
    try:
        settings = CallerSettings(fabric_address=fabric)
    except ValueError as error:
        return _fail(error, ExitCode.USAGE)
    with open_caller(settings) as caller:
        match caller.open(service):
            case Success(Flow() as flow):
                return _print_events(flow.stream(path, deadline_s=deadline_s), events)
            case Failure(error):
                return _fail(error, ExitCode.NOT_OPENED)
    return ExitCode.NOT_OPENED


def _parse_headers(header: str | Iterable[str]) -> list[tuple[str, str]]:
    lines = [header] if isinstance(header, str) else list(header)
    pairs = [line.partition(":") for line in lines]
    if not all(colon for _, colon, _ in pairs):
        raise ValueError("Give each header as 'Name: value'.")
    return [(name.strip(), value.strip()) for name, _, value in pairs]


def _report(result: object, as_json: bool) -> ExitCode:
    match result:
        case Success(Answer() as answer):
            _print_answer(answer, as_json)
            failed = answer.status >= MIN_ERROR_STATUS
            return ExitCode.ERROR_STATUS if failed else ExitCode.OK
        case Failure(NotRun() as error):
            return _fail(error, ExitCode.NOT_RUN)
        case Failure(RequestError() as error):
            return _fail(error, ExitCode.REQUEST_OUTCOME_UNKNOWN)
    raise TypeError(f"Expected the result of a request, got {result!r}.")


def _print_answer(answer: Answer, as_json: bool) -> None:
    text = answer.body.decode("utf-8", "replace")
    if not as_json:
        print(text)
        return
    print(
        json.dumps({"status": answer.status, "headers": answer.headers, "body": text})
    )


def _print_events(events: Iterable[StreamEvent], limit: int) -> ExitCode:
    try:
        for count, event in enumerate(events, start=1):
            line = {"id": event.event_id, "event": event.event, "data": event.data}
            print(json.dumps(line), flush=True)
            if count == limit:
                break
    except StreamAnswerError as error:
        return _fail(error, ExitCode.ERROR_STATUS)
    except OutcomeUnknown as error:
        return _fail(error, ExitCode.REQUEST_OUTCOME_UNKNOWN)
    except NotRun as error:
        return _fail(error, ExitCode.NOT_RUN)
    return ExitCode.OK


def _fail(error: OpenError | RequestError | Exception, code: ExitCode) -> ExitCode:
    print(error, file=sys.stderr)
    return code
