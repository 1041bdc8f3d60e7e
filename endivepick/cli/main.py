"""Entry point of the ``endivepick`` command.

Commands import their modules when they run, which keeps the start-up time short.
"""

import os
import sys
from collections.abc import Sequence
from typing import Any

import fire
from fire.parser import DefaultParseValue

from endivepick.cli.command_errors import CommandError, option_values
from endivepick.cli.exit_codes import ExitCode, exit_code_of
from endivepick.cli.option_names import check_option_names
from endivepick.cli.output import print_line
from endivepick.errors import EndivepickError

__all__ = ["Commands", "main"]


class Commands:
    """Layer-4 load balancer: run instances, manage records, inspect the state.

    Examples
    --------
    endivepick check-settings entry-1.json5
    endivepick run --settings entry-1.json5
    endivepick records apply notes.json5 --platform 10.0.0.5:8080
    endivepick status
    endivepick timeline /var/log/endivepick --flow 1f00aa --format html --out t.html

    Exit codes: 0 success, 1 failure, 2 usage error, 3 invalid settings, 4 invalid
    record, 5 conflict with another writer, 6 platform unreachable, 7 outcome of the
    write unknown, 8 not found, 9 differences found.
    """

    def run(self, settings: str) -> None:
        """Run an instance until SIGTERM, which starts a planned stop.

        Examples
        --------
        endivepick run --settings entry-1.json5

        Parameters
        ----------
        settings : str
            Settings file; see endivepick settings --explain.
        """
        # HTTP libraries must import the sockets that gevent has patched.
        from gevent import monkey

        monkey.patch_all()
        from endivepick.daemon.run import run
        from endivepick.settings import load_settings

        raise SystemExit(run(load_settings(settings)))

    def check_settings(self, file: str) -> None:
        """Validate a settings file and print line, key and remedy of each error.

        Examples
        --------
        endivepick check-settings entry-1.json5

        Parameters
        ----------
        file : str
            Settings file.
        """
        from endivepick.settings import load_settings

        settings = load_settings(file)
        instance = settings.instance
        print_line(f"{file}: fine for instance {instance.name} in {instance.zone}")

    def settings(self, explain: bool = False, markdown: bool = False) -> None:
        """Print all settings with meaning, unit, default and range.

        Examples
        --------
        endivepick settings --explain
        endivepick settings --explain --markdown

        Parameters
        ----------
        explain : bool
            Print the description of all settings.
        markdown : bool
            Print it as Markdown.
        """
        from endivepick.settings import explain as explain_text
        from endivepick.settings import explain_markdown

        if not explain:
            message = "Nothing to do. Use: endivepick settings --explain."
            raise CommandError(message, ExitCode.USAGE)
        print_line((explain_markdown() if markdown else explain_text()).rstrip("\n"))

    def call(
        self,
        service: str,
        path: str = "/",
        method: str = "GET",
        body: str = "",
        header: str = "",
        idempotent: bool = False,
        deadline_s: str = "10",
        fabric: str = "",
        json: bool = False,
    ) -> None:
        """Open a flow to a service, send one request and print its answer.

        Examples
        --------
        endivepick call notes /health --fabric 10.0.0.9:7000
        endivepick call notes /notes --method POST --body '{"text": "seen"}'

        Exit codes: 0 answered, 10 answered with status 400 or more, 11 request not
        run, 12 outcome unknown, 13 no flow opened.

        Parameters
        ----------
        service : str
            Name of the service.
        path, method, body : str
            Path, method and body of the request.
        header : str
            Header as 'Name: value'; several headers are separated by newlines.
        idempotent : bool
            The request is idempotent and may be retried.
        deadline_s : float
            Deadline of the request, in seconds.
        fabric : str
            host:port of the fabric; ENDIVEPICK_FABRIC by default.
        json : bool
            Print status, headers and body as JSON.
        """
        from endivepick.cli.fabric_connection import fabric_address
        from endivepick.client.command import call

        with option_values("--deadline_s"):
            wait_s = float(deadline_s)
        address = fabric_address(fabric)
        request = (service, path, method, body, header.splitlines())
        raise SystemExit(call(*request, idempotent, wait_s, address, json))

    def stream(
        self, service: str, path: str = "/", events: str = "0", fabric: str = ""
    ) -> None:
        """Open an event stream and print its events, one JSON object per line.

        Examples
        --------
        endivepick stream alerts /alerts --events 10

        Parameters
        ----------
        service : str
            Name of the service.
        path : str
            Path of the stream.
        events : int
            Number of events after which to stop; 0 for no limit.
        fabric : str
            host:port of the fabric; ENDIVEPICK_FABRIC by default.
        """
        from endivepick.cli.fabric_connection import fabric_address
        from endivepick.client.command import stream

        with option_values("--events"):
            limit = int(events)
        address = fabric_address(fabric)
        raise SystemExit(stream(service, path, limit, fabric=address))

    @property
    def records(self) -> Any:
        """Read and write service records."""
        from endivepick.cli.records import RecordCommands

        return RecordCommands()

    @property
    def drain(self) -> Any:
        """Take a target or an instance out of service."""
        from endivepick.cli.drain import DrainCommands

        return DrainCommands()

    @property
    def keys(self) -> Any:
        """Rotate and list the keys of flow tokens."""
        from endivepick.cli.keys import KeyCommands

        return KeyCommands()

    @property
    def forwarder(self) -> Any:
        """Validate settings of forwarders, show states and load, trace a flow."""
        from endivepick.cli.forwarder import ForwarderCommands

        return ForwarderCommands()

    @property
    def bench(self) -> Any:
        """Benchmark placement policies and the cost of components."""
        from endivepick.cli.bench import BenchCommands

        return BenchCommands()

    def timeline(
        self,
        *logs: str,
        flow: str = "",
        request: str = "",
        target: str = "",
        record: str = "",
        since: str = "",
        until: str = "",
        format: str = "text",
        out: str = "",
    ) -> None:
        """Merge the logs of all processes into one list in causal order.

        Examples
        --------
        endivepick timeline var/logs --flow 1f00aa
        endivepick timeline var/logs --since 2026-07-01T02:00 --format json
        endivepick timeline logs/*.log --flow 100.64.0.7:40001
        endivepick timeline entry-1.jsonl notes-1.jsonl --format html --out t.html

        Parameters
        ----------
        logs : str
            Log files, or directories that are searched for *.jsonl.
        flow : str
            Only this flow, as a hexadecimal id.  For forwarders, the address:port of
            its caller; includes related events of its targets and forwarders.
        request : str
            Only this request, as flow-binding-number as in the logs.
        target : str
            Only this target.
        record : str
            Only this service record.
        since : str
            Earliest time, in seconds since 1970 or as an ISO time, UTC by default.
        until : str
            Latest time, in the same formats.
        format : str
            text, json (one object per line) or html (one page).
        out : str
            Output file; standard output by default.
        """
        from endivepick.cli.timeline import TimelineOptions, show_timeline

        options = TimelineOptions(
            *(flow, request, target, record, since, until, format)
        )
        show_timeline(logs, options, out)

    def status(self, json: bool = False, platform: str = "", rows: str = "100") -> None:
        """Show records by zone, targets with owner and load, and instances.

        A record is in force everywhere once "not reached" lists no zone.

        Examples
        --------
        endivepick status
        endivepick status --rows 20
        endivepick status --json

        Parameters
        ----------
        json : bool
            Print JSON with all rows.
        platform : str
            host:port of the object API; ENDIVEPICK_PLATFORM by default.
        rows : int
            Maximum number of rows of each table, abnormal states first; 0 for all.
        """
        from endivepick.cli.status import show_status

        with option_values("--rows"):
            limit = int(rows)
            if limit < 0:
                raise ValueError("write the number of rows, or 0 for all")
        show_status(platform, json, limit)

    def version(self) -> None:
        """Print the version.

        Examples
        --------
        endivepick version
        """
        from endivepick import __version__

        print_line(__version__)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run a command and end the process with its exit code.

    Parameters
    ----------
    arguments : sequence of str, default=None
        Command-line arguments after ``endivepick``; ``sys.argv[1:]`` by default.
    """
    words = sys.argv[1:] if arguments is None else list(arguments)
    commands = Commands()
    try:
        check_option_names(commands, words)
        fire.Fire(commands, command=list(map(_quote_number, words)), name="endivepick")
    except CommandError as error:
        _exit_with_error(error, error.code)
    except EndivepickError as error:
        _exit_with_error(error, exit_code_of(error))
    except KeyboardInterrupt:
        raise SystemExit(ExitCode.OK) from None
    except BrokenPipeError:
        # The reader closed the pipe; /dev/null avoids a second error at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        raise SystemExit(ExitCode.FAILURE) from None


def _quote_number(word: str) -> str:
    """Quote a value that fire would parse as a number, such as a flow id 1e5."""
    flag, separator, value = word.rpartition("=")
    if word[:1] != "-":
        flag, separator, value = "", "", word
    if value[:1] == "-" or isinstance(DefaultParseValue(value), str | bool):
        return word
    return f"{flag}{separator}{value!r}"


def _exit_with_error(error: EndivepickError, code: ExitCode) -> None:
    sys.stderr.write(f"endivepick: {error}\n")
    raise SystemExit(code)
