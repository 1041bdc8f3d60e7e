"""The harness's side of the platform stand-in: records, lists and outages."""

import uuid
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from standins.endpoint import call, call_ok
from standins.process import ChildProcess

__all__ = ["ListedInstance", "PlatformHandle"]

_CONFLICT = 409
_NOT_FOUND = 404
_WRITE_ATTEMPTS = 20


@dataclass(frozen=True)
class ListedInstance:
    """Entry of the platform's list of instances."""

    name: str
    zone: str
    peer_address: str
    data_address: str
    state: str = "live"


class PlatformHandle:
    """Calls of a running platform stand-in.

    Parameters
    ----------
    process : ChildProcess
        The stand-in, ready.
    """

    def __init__(self, process: ChildProcess) -> None:
        self.process = process
        self.api = process.ready["addresses"]["api"]
        self.control_address = process.ready["addresses"]["control"]

    def control(self, **change: Any) -> dict[str, Any]:
        """Merge a change into the control document and return it."""
        document: dict[str, Any] = call_ok(
            self.control_address, "PUT", "/control", change
        )
        return document

    def stats(self) -> dict[str, Any]:
        """Return calls counted for each source."""
        stats: dict[str, Any] = call_ok(self.control_address, "GET", "/stats")
        return stats

    def list_instances(self, listed: list[ListedInstance]) -> None:
        """Set the list of instances."""
        body = [asdict(entry) for entry in listed]
        call_ok(self.control_address, "PUT", "/control/instances", body)

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object, or None if there is none."""
        reply = call(self.api, "GET", f"/v1/objects/{kind}/{name}")
        return None if reply.status == _NOT_FOUND else reply.body

    def list(self, kind: str) -> list[dict[str, Any]]:
        """Return all objects of a kind."""
        objects: list[dict[str, Any]] = call_ok(self.api, "GET", f"/v1/objects/{kind}")[
            "objects"
        ]
        return objects

    def put(
        self, kind: str, name: str, body: Any, if_version: int | None = None
    ) -> dict[str, Any]:
        """Write an object and return it."""
        request = {"body": body, "if_version": if_version}
        written: dict[str, Any] = call_ok(
            self.api, "PUT", f"/v1/objects/{kind}/{name}", request
        )
        return written

    def change_record(
        self, service: str, change: Callable[[dict[str, Any]], Any]
    ) -> dict[str, Any]:
        """Let ``change`` edit the body of a service's record and write it.

        A lost race is run again on the newer record.
        """
        for _ in range(_WRITE_ATTEMPTS):
            current = self.get("service", service)
            if current is None:
                raise LookupError(f"no record of {service}; write one first")
            body = current["body"]
            change(body)
            body["write_id"] = str(uuid.uuid4())
            request = {"body": body, "if_version": current["version"]}
            reply = call(self.api, "PUT", f"/v1/objects/service/{service}", request)
            if reply.status != _CONFLICT:
                written: dict[str, Any] = reply.body
                return written
        raise RuntimeError(f"lost {_WRITE_ATTEMPTS} races for {service}")
