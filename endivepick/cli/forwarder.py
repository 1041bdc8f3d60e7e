"""Commands for forwarders: validate settings, show target states, trace a flow."""

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
from endivepick.timeline import LogEvent, format_fields, read_log, trace_flow

__all__ = ["ForwarderCommands"]

STATUS_TIMEOUT_S = 5.0
"""Timeout of reading a forwarder's status; it answers within milliseconds."""
_HEADER = (
    *("service", "target", "zone", "state", "for", "reached", "for"),
    *("fitness", "for", "flows"),
)


class ForwarderCommands:
    """Validate settings of forwarders, show target states, trace a flow.

    Examples
    --------
    endivepick forwarder check settings.json
    endivepick forwarder status 10.1.0.10:7720
    endivepick forwarder flow 100.64.0.7:40001 logs/front-1.log logs/front-2.log
    """

    def check(self, file: str) -> None:
        """Validate a settings file and print key and remedy of an error.

        Lists the mechanisms that the settings disable.

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
        """Show the state of each target at a forwarder, and its duration.

        Examples
        --------
        endivepick forwarder status 10.1.0.10:7720
        endivepick forwarder status 10.1.0.10:7720 --json

        Parameters
        ----------
        address : str
            host:port of the metrics endpoint of the forwarder.
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
        if status.get("evacuated_zones"):
            print_line(f"evacuated zones: {', '.join(status['evacuated_zones'])}")
        print_table(_HEADER, [_to_cells(target) for target in status["targets"]])

    def flow(
        self, key: str, *logs: str, before_s: str = "10", after_s: str = "2"
    ) -> None:
        """Show the events related to a flow in the logs of all forwarders.

        Includes the events of the flow, state changes of its targets, and events of
        the processes that forwarded it.

        Examples
        --------
        endivepick forwarder flow 100.64.0.7:40001 logs/*.log
        endivepick forwarder flow 100.64.0.7:40001 logs/*.log --before_s 30

        Parameters
        ----------
        key : str
            Address and port of the caller.
        logs : str
            Log files.
        before_s : float
            Time before the flow for events of targets and processes, in seconds.
        after_s : float
            Time after the flow for these events, in seconds.
        """
        with option_values("--before_s"):
            before = float(before_s)
        with option_values("--after_s"):
            after = float(after_s)
        found = trace_flow(list(_read_events(logs)), key, before, after)
        if not found:
            message = (
                f"No event names {key}. Give the logs of all forwarders of that day."
            )
            raise CommandError(message, ExitCode.NOT_FOUND)
        for event in found:
            print_line(_format_event(event))


def _read_status(address: str) -> dict[str, Any]:
    url = f"http://{address}/status"
    try:
        with urllib.request.urlopen(url, timeout=STATUS_TIMEOUT_S) as answer:
            return json_format.load(answer)
    except (urllib.error.URLError, ValueError) as error:
        message = f"{url}: {error}. Give the metrics address of a running forwarder."
        raise CommandError(message, ExitCode.FAILURE) from None


def _to_cells(target: dict[str, Any]) -> tuple[Any, ...]:
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


def _read_events(logs: Sequence[str]) -> Iterator[LogEvent]:
    for log in logs:
        try:
            yield from read_log(log)
        except OSError as error:
            message = f"{log}: {error.strerror}. Name readable log files."
            raise CommandError(message, ExitCode.USAGE) from None


def _format_event(event: LogEvent) -> str:
    head = f"{event.at_s:.3f} {event.process} {event.event}"
    return f"{head} {format_fields(event)}".rstrip()
