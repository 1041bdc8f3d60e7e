"""Commands about forwarders: check settings, show beliefs, explain a flow."""

import json as json_format
import urllib.error
import urllib.request
from collections.abc import Iterator, Sequence
from typing import Any

from msgspec.structs import asdict

from endivepick.cli.command_errors import CommandError, option_values
from endivepick.cli.exit_codes import ExitCode
from endivepick.cli.output import print_json, print_line, print_table
from endivepick.forwarder.settings import load_forwarder_settings
from endivepick.timeline import LogEvent, fields_text, read_log, trace_flow

__all__ = ["ForwarderCommands"]

STATUS_TIMEOUT_S = 5.0
"""Longest wait for a forwarder's status; it answers within milliseconds."""
_HEADER = (
    *("service", "target", "zone", "state", "for", "reached", "for"),
    *("fitness", "for", "flows"),
)


class ForwarderCommands:
    """Check settings of forwarders, show what they believe, explain a flow.

    Examples
    --------
    endivepick forwarder check settings.json
    endivepick forwarder status 10.1.0.10:7720
    endivepick forwarder flow 100.64.0.7:40001 logs/front-1.log logs/front-2.log
    """

    def check(self, file: str) -> None:
        """Check a settings file; key and remedy of the fault if it is refused.

        Mechanisms that the settings switch off are named.

        Examples
        --------
        endivepick forwarder check settings.json

        Parameters
        ----------
        file : str
            Settings file.
        """
        settings = load_forwarder_settings(file)
        print_line(f"{file}: fine for forwarder {settings.name} in {settings.zone}")
        for name, used in asdict(settings.mechanisms).items():
            if not used:
                print_line(f"off: {name}")

    def status(self, address: str, json: bool = False) -> None:
        """Show what a forwarder believes of its targets, and since when.

        Examples
        --------
        endivepick forwarder status 10.1.0.10:7720
        endivepick forwarder status 10.1.0.10:7720 --json

        Parameters
        ----------
        address : str
            host:port of its metrics.
        json : bool
            Print JSON.
        """
        status = _read_status(address)
        if json:
            print_json(status)
            return
        print_line(
            f"ready: {status['ready']}, flows: {status['flows']}, configuration "
            f"version {status['config_version']} for {status['config_since_s']} s"
        )
        print_table(_HEADER, [_row(target) for target in status["targets"]])

    def flow(
        self, key: str, *logs: str, before_s: str = "10", after_s: str = "2"
    ) -> None:
        """Show what concerns a flow in the logs of all forwarders.

        Its own lines, what was believed of its targets, and what happened to the
        processes that saw it.

        Examples
        --------
        endivepick forwarder flow 100.64.0.7:40001 logs/*.log
        endivepick forwarder flow 100.64.0.7:40001 logs/*.log --before_s 30

        Parameters
        ----------
        key : str
            Caller's address and port.
        logs : str
            Log files.
        before_s : float
            How long before the flow to show targets and processes.
        after_s : float
            How long after it.
        """
        with option_values("--before_s"):
            before = float(before_s)
        with option_values("--after_s"):
            after = float(after_s)
        found = trace_flow(list(_events(logs)), key, before, after)
        if not found:
            message = (
                f"No line names {key}. Give the logs of all forwarders of that day."
            )
            raise CommandError(message, ExitCode.NOT_FOUND)
        for event in found:
            print_line(_line(event))


def _read_status(address: str) -> dict[str, Any]:
    url = f"http://{address}/status"
    try:
        with urllib.request.urlopen(url, timeout=STATUS_TIMEOUT_S) as answer:
            return json_format.load(answer)
    except (urllib.error.URLError, ValueError) as error:
        message = f"{url}: {error}. Give the metrics address of a running forwarder."
        raise CommandError(message, ExitCode.FAILURE) from None


def _row(target: dict[str, Any]) -> tuple[Any, ...]:
    return (
        target["service"],
        target["name"],
        target["zone"],
        target["state"],
        f"{target['state_for_s']} s",
        target["reachability"],
        f"{target['reachability_for_s']} s",
        target["fitness"],
        f"{target['fitness_for_s']} s",
        target["flows"],
    )


def _events(logs: Sequence[str]) -> Iterator[LogEvent]:
    for log in logs:
        try:
            yield from read_log(log)
        except OSError as error:
            message = f"{log}: {error.strerror}. Name log files that can be read."
            raise CommandError(message, ExitCode.USAGE) from None


def _line(event: LogEvent) -> str:
    head = f"{event.at_s:.3f} {event.process} {event.event}"
    return f"{head} {fields_text(event)}".rstrip()
