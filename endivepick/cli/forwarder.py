"""Commands for forwarders: validate settings, show states and load, trace a flow."""

import json as json_format
import urllib.error
import urllib.request
from collections.abc import Iterator, Sequence
from typing import Any

import msgspec
from msgspec.structs import asdict

from endivepick.cli.command_errors import CommandError, option_values
from endivepick.cli.exit_codes import ExitCode
from endivepick.cli.forwarder_load import print_load
from endivepick.cli.output import print_json, print_line, print_table
from endivepick.forwarder.load_status import LoadStatus
from endivepick.forwarder.settings import (
    OVERLOAD_REQUIREMENT,
    ForwarderSettings,
    load_forwarder_settings,
)
from endivepick.timeline import LogEvent, format_fields, read_log, trace_flow

__all__ = ["ForwarderCommands"]

STATUS_TIMEOUT_S = 5.0
"""Timeout of reading a forwarder's status; it answers within milliseconds."""
_NOT_FOUND = 404
_HEADER = (
    *("service", "target", "zone", "state", "for", "reached", "for"),
    *("fitness", "for", "flows"),
)


class ForwarderCommands:
    """Validate settings of forwarders, show target states and load, trace a flow.

    Examples
    --------
    endivepick forwarder check settings.json
    endivepick forwarder status 10.1.0.10:7720
    endivepick forwarder load 10.1.0.10:7720
    endivepick forwarder flow 100.64.0.7:40001 logs/front-1.log logs/front-2.log
    """

    def check(self, file: str) -> None:
        """Validate a settings file and print key and remedy of an error.

        Prints whether load is shared and overload limited, with the reason, and lists
        the mechanisms that the settings disable.

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
        shares, limits = settings.shares_load, settings.limits_overload
        print_line(f"shares load: {_yes_or_no(shares)} ({_why_shared(settings)})")
        print_line(f"limits overload: {_yes_or_no(limits)} ({_why_limited(settings)})")
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

    def load(self, address: str, json: bool = False) -> None:
        """Show the shared load of services, zones and targets, and what is admitted.

        Examples
        --------
        endivepick forwarder load 10.1.0.10:7720
        endivepick forwarder load 10.1.0.10:7720 --json

        Parameters
        ----------
        address : str
            host:port of the metrics endpoint of the forwarder.
        json : bool
            Print JSON with all targets.
        """
        load = _read_load(address)
        if json:
            print_json(msgspec.to_builtins(load))
        else:
            print_load(load)

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
    body = _read_page(address, "/status")
    try:
        return json_format.loads(body)
    except ValueError as error:
        raise _unusable_page(f"http://{address}/status", error) from None


def _read_load(address: str) -> LoadStatus:
    body = _read_page(address, "/load")
    try:
        return msgspec.json.decode(body, type=LoadStatus)
    except msgspec.DecodeError as error:
        raise _unusable_page(f"http://{address}/load", error) from None


def _read_page(address: str, path: str) -> bytes:
    url = f"http://{address}{path}"
    try:
        with urllib.request.urlopen(url, timeout=STATUS_TIMEOUT_S) as answer:
            return answer.read()
    except urllib.error.HTTPError as error:
        error.close()
        if error.code != _NOT_FOUND:
            raise _unusable_page(url, error) from None
        message = f"{url}: not found. The forwarder runs a build without this page."
        raise CommandError(message, ExitCode.NOT_FOUND) from None
    except (OSError, ValueError) as error:
        raise _unusable_page(url, error) from None


def _unusable_page(url: str, error: Exception) -> CommandError:
    message = f"{url}: {error}. Give the metrics address of a running forwarder."
    return CommandError(message, ExitCode.FAILURE)


def _yes_or_no(enabled: bool) -> str:
    return "yes" if enabled else "no"


def _why_shared(settings: ForwarderSettings) -> str:
    if settings.share_load is not None:
        return f"share_load is {str(settings.share_load).lower()}"
    if settings.shares_load:
        return f"requirement {OVERLOAD_REQUIREMENT}"
    return f"no requirement {OVERLOAD_REQUIREMENT}, share_load is not set"


def _why_limited(settings: ForwarderSettings) -> str:
    if settings.limit_overload is not None:
        return f"limit_overload is {str(settings.limit_overload).lower()}"
    if settings.limits_overload:
        return f"requirement {OVERLOAD_REQUIREMENT}"
    if settings.share_load is False:
        return "share_load is false"
    return f"no requirement {OVERLOAD_REQUIREMENT}, limit_overload is not set"


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
