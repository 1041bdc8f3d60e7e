"""Detection of operator requests to stop this instance."""

from typing import Literal

import pydantic

from endivepick.records.cache import Change
from endivepick.records.objects import INSTANCE_KIND, StoredObject

__all__ = ["StopRequestFilter"]


class _WishBody(pydantic.BaseModel):
    """Body of a stored object of kind ``instance``: a request to stop it.

    A planned stop is requested if ``draining`` is true.
    """

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)

    schema_version: Literal[1]
    write_id: str = pydantic.Field("", max_length=64)
    draining: bool


class StopRequestFilter:
    """Accepts stop requests that are meant for this process.

    An operator requests a stop by writing the instance's object on the platform.
    The object outlives the process that it was written for.  Therefore a version
    that already exists when this process first has the complete configuration is
    ignored: it was meant for an earlier process of the same name.

    Parameters
    ----------
    name : str
        Name of this instance.

    Examples
    --------
    >>> body = {"schema_version": 1, "draining": True}
    >>> old, new = (StoredObject("instance", "entry-1", v, body) for v in (4, 9))
    >>> stop_requests = StopRequestFilter("entry-1")
    >>> stop_requests.set_baseline(old)
    >>> changes = Change(None, old), Change(old, new)
    >>> [stop_requests.is_stop_request(change) for change in changes]
    [False, True]
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._baseline_version: int | None = None

    def set_baseline(self, stored: StoredObject | None) -> None:
        """Set the object that exists when the configuration is first complete."""
        self._baseline_version = 0 if stored is None else stored.version

    def is_stop_request(self, change: Change) -> bool:
        """Return whether a change requests a stop of this process."""
        stored = change.after
        if (stored.kind, stored.name) != (INSTANCE_KIND, self._name):
            return False
        if self._baseline_version is None or stored.version <= self._baseline_version:
            return False
        return _requests_stop(stored)


def _requests_stop(stored: StoredObject) -> bool:
    if stored.body is None:
        return False
    try:
        return _WishBody.model_validate(dict(stored.body)).draining
    except pydantic.ValidationError:
        return False
