"""An operator's wish, read from the platform, that this instance stops."""

from typing import Literal

import pydantic

from endivepick.records.cache import Change
from endivepick.records.objects import INSTANCE_KIND, StoredObject

__all__ = ["StopWish"]


class _WishBody(pydantic.BaseModel):
    """Body of an object of the kind ``instance``."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)

    schema_version: Literal[1]
    write_id: str = pydantic.Field("", max_length=64)
    draining: bool


class StopWish:
    """Tells a wish to this process from one to an earlier process of its name.

    The object outlives the process that it was written for.  What stood when this
    process had its first whole configuration was not meant for it.

    Parameters
    ----------
    name : str
        Name of this instance.

    Examples
    --------
    >>> body = {"schema_version": 1, "draining": True}
    >>> old, new = (StoredObject("instance", "entry-1", v, body) for v in (4, 9))
    >>> wish = StopWish("entry-1")
    >>> wish.set_known(old)
    >>> wish.is_new(Change(None, old)), wish.is_new(Change(old, new))
    (False, True)
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._known_version: int | None = None

    def set_known(self, stored: StoredObject | None) -> None:
        """Take what stands when the first whole configuration is here."""
        self._known_version = 0 if stored is None else stored.version

    def is_new(self, change: Change) -> bool:
        """Tell whether a change asks this process to stop."""
        stored = change.after
        if (stored.kind, stored.name) != (INSTANCE_KIND, self._name):
            return False
        if self._known_version is None or stored.version <= self._known_version:
            return False
        return _asks_to_stop(stored)


def _asks_to_stop(stored: StoredObject) -> bool:
    if stored.body is None:
        return False
    try:
        return _WishBody.model_validate(dict(stored.body)).draining
    except pydantic.ValidationError:
        return False
