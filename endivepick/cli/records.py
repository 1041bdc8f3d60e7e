"""Commands that read and write service records."""

import itertools
import time
from collections.abc import Iterator
from typing import Any

from endivepick.cli.command_errors import option_values, value_of
from endivepick.cli.connection import platform_client
from endivepick.cli.exit_codes import ExitCode
from endivepick.cli.object_writes import ObjectName, put_object, read_object
from endivepick.cli.output import print_json, print_line, print_table
from endivepick.cli.record_file import RecordFile, read_record_file
from endivepick.errors import RecordConflictError, WatchExpiredError
from endivepick.platform import PlatformClient
from endivepick.records import (
    SERVICE_KIND,
    FieldDifference,
    ServiceRecord,
    StoredObject,
    compare_bodies,
    parse_service,
)

__all__ = ["RecordCommands"]


class RecordCommands:
    """Read and write service records."""

    def apply(
        self,
        file: str,
        replace: bool = False,
        dry_run: bool = False,
        json: bool = False,
        platform: str = "",
    ) -> None:
        """Write a record from a file.

        A file with a ``version`` (as ``records get`` prints it) is written only
        over that version.  A file without one creates a record; over an existing
        one it needs --replace.

        Examples
        --------
        endivepick records apply notes.json5
        endivepick records apply notes.json5 --replace

        Parameters
        ----------
        file : str
            Record file: JSON with comments.
        replace : bool
            Write over whatever version stands.
        dry_run : bool
            Check and show the differences, write nothing.
        json : bool
            Print JSON.
        platform : str
            host:port of the object API; ENDIVEPICK_PLATFORM by default.
        """
        record = read_record_file(file)
        with platform_client(platform) as client:
            current = value_of(client.get(SERVICE_KIND, record.name))
            differences = _differences(current, record)
            if not (replace or dry_run):
                _check_base(record, current, differences)
            if current is not None and not differences:
                _report("unchanged", current, differences, json)
            elif dry_run:
                _report("would change", current, differences, json)
            else:
                name = ObjectName(SERVICE_KIND, record.name)
                stored = put_object(client, name, record.body, current)
                _report("accepted", stored, differences, json)

    def get(self, name: str, platform: str = "") -> None:
        """Print a record as a file that ``records apply`` takes.

        Examples
        --------
        endivepick records get notes > notes.json5

        Parameters
        ----------
        name : str
            Name of the service.
        platform : str
            host:port of the object API; ENDIVEPICK_PLATFORM by default.
        """
        with platform_client(platform) as client:
            stored = read_object(client, ObjectName(SERVICE_KIND, name))
        print_json(_as_file(stored))

    def list(self, json: bool = False, platform: str = "") -> None:
        """List all records.

        Examples
        --------
        endivepick records list
        endivepick records list --json

        Parameters
        ----------
        json : bool
            Print JSON.
        platform : str
            host:port of the object API; ENDIVEPICK_PLATFORM by default.
        """
        with platform_client(platform) as client:
            listed = value_of(client.list(SERVICE_KIND))
        stored = sorted(listed.objects, key=lambda item: item.name)
        if json:
            print_json([_as_file(item) for item in stored])
            return
        header = ("record", "version", "schema", "affinity", "targets", "draining")
        print_table(header, [_summary(item) for item in stored])

    def diff(self, file: str, json: bool = False, platform: str = "") -> None:
        """Show what a file would change; exit code 9 if anything.

        Examples
        --------
        endivepick records diff notes.json5

        Parameters
        ----------
        file : str
            Record file.
        json : bool
            Print JSON.
        platform : str
            host:port of the object API; ENDIVEPICK_PLATFORM by default.
        """
        record = read_record_file(file)
        with platform_client(platform) as client:
            current = value_of(client.get(SERVICE_KIND, record.name))
        differences = _differences(current, record)
        if json:
            print_json([vars(difference) for difference in differences])
        else:
            for difference in differences:
                print_line(str(difference))
        if differences:
            raise SystemExit(ExitCode.DIFFERENT)

    def delete(self, name: str, version: str = "", platform: str = "") -> None:
        """Delete a record.

        Examples
        --------
        endivepick records delete notes
        endivepick records delete notes --version 12

        Parameters
        ----------
        name : str
            Name of the service.
        version : int
            Version that has to stand; the one that is read by default.
        platform : str
            host:port of the object API; ENDIVEPICK_PLATFORM by default.
        """
        with option_values("--version"):
            wanted = int(version) if version else None
        with platform_client(platform) as client:
            stored = read_object(client, ObjectName(SERVICE_KIND, name))
            if_version = stored.version if wanted is None else wanted
            value_of(client.delete(SERVICE_KIND, name, if_version))
        print_line(f"{name}: deleted")

    def watch(
        self,
        name: str = "",
        count: str = "",
        json: bool = False,
        platform: str = "",
    ) -> None:
        """Print changes of records as they happen, until interrupted.

        Examples
        --------
        endivepick records watch
        endivepick records watch notes --count 1 --json

        Parameters
        ----------
        name : str
            Only this record.
        count : int
            End after so many changes.
        json : bool
            Print JSON, one object per line.
        platform : str
            host:port of the object API; ENDIVEPICK_PLATFORM by default.
        """
        with option_values("--count"):
            left = int(count) if count else None
        with platform_client(platform) as client:
            wanted = (e for e in _changes(client) if name in ("", e.name))
            for event in itertools.islice(wanted, left):
                _print_change(event, json)


def _differences(
    current: StoredObject | None, record: RecordFile
) -> tuple[FieldDifference, ...]:
    return compare_bodies(current.body if current else None, record.body)


def _check_base(
    record: RecordFile,
    current: StoredObject | None,
    differences: tuple[FieldDifference, ...],
) -> None:
    """Refuse to write over a version that the file was not made from."""
    stands = current.version if current else 0
    if not differences or (record.version or 0) == stands:
        return
    now = f"version {stands}" if current else "absent"
    file = f"version {record.version}" if record.version else "no version"
    changes = "; ".join(map(str, differences))
    raise RecordConflictError(
        f"Record {record.name} is {now}, the file says {file}. Differences from what "
        f"stands to the file: {changes}. Compare, then write version: {stands} into "
        "the file, or use --replace.",
        current,
        differences,
    )


def _report(
    outcome: str,
    stored: StoredObject | None,
    differences: tuple[FieldDifference, ...],
    as_json: bool,
) -> None:
    version = stored.version if stored else 0
    if as_json:
        changes = [vars(difference) for difference in differences]
        print_json({"outcome": outcome, "version": version, "differences": changes})
        return
    for difference in differences:
        print_line(f"  {difference}")
    print_line(
        f"{stored.name if stored else 'new record'}: {outcome}, version {version}"
    )


def _as_file(stored: StoredObject) -> dict[str, Any]:
    body = dict(stored.body or {})
    body.pop("write_id", None)
    return {"name": stored.name, "version": stored.version, **body}


def _parsed(stored: StoredObject) -> ServiceRecord | None:
    parsed = parse_service(stored.name, stored.version, stored.body or {})
    return parsed.value_or(None)


def _summary(stored: StoredObject) -> tuple[Any, ...]:
    record = _parsed(stored)
    if record is None:
        schema = (stored.body or {}).get("schema_version", "?")
        return (stored.name, stored.version, schema, "not readable", "", "")
    draining = [target.name for target in record.targets if target.draining]
    return (
        *(stored.name, stored.version, record.schema_version, record.affinity.value),
        *(len(record.targets), ",".join(draining)),
    )


def _changes(client: PlatformClient) -> Iterator[StoredObject]:
    """Yield changes from now on; lists again where the history has a gap."""
    revision = value_of(client.list(SERVICE_KIND)).revision
    while True:
        try:
            watched = value_of(client.watch([SERVICE_KIND], revision))
        except WatchExpiredError:
            revision = value_of(client.list(SERVICE_KIND)).revision
            print_line("(some changes were missed)")
            continue
        yield from watched.events
        revision = watched.revision


def _print_change(event: StoredObject, as_json: bool) -> None:
    if as_json:
        print_json({"deleted": event.deleted, **_as_file(event)}, indent=None)
        return
    what = "deleted" if event.deleted else "changed"
    print_line(f"{time.strftime('%H:%M:%S')}  {event.name}  {what}  {event.version}")
