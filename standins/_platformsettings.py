"""Settings and switches of the platform stand-in."""

from typing import Any, Literal

import pydantic

from standins.control import AddressText, BorderModel, ProgramSettings

__all__ = ["InstanceEntry", "PlatformControl", "PlatformSettings", "PutRequest"]


class PlatformControl(BorderModel):
    """Switches of the platform stand-in.

    Attributes
    ----------
    outage : str or None
        ``"refuse"`` closes each connection without an answer and without an
        effect, ``"unavailable"`` answers 503, ``"hang"`` holds every call until
        the switch changes and handles it then.
    slow_ms : float
        Added before each call is handled.
    lose_answers : int
        That many of the next writes take effect but get no answer; the number
        counts down.
    lose_answers_kind : str or None
        Restrict `lose_answers` to one kind of object.
    stale_reads : int
        Gets and lists answer from the store as it was that many revisions ago.
    writes_per_s, reads_per_s : float
        Rates above which calls get 429; a waiting watch is one read.
    instances_lag_s : float
        Age of the instance list that callers see.
    history_limit : int
        Revisions kept for watches; watches from before get 410.
    """

    outage: Literal["refuse", "unavailable", "hang"] | None = None
    slow_ms: float = 0.0
    lose_answers: int = 0
    lose_answers_kind: str | None = None
    stale_reads: int = 0
    writes_per_s: float = 300.0
    reads_per_s: float = 2000.0
    instances_lag_s: float = 0.0
    history_limit: int = 10_000


class InstanceEntry(BorderModel):
    """One instance as the owner of the machines knows it."""

    name: str
    zone: str
    peer_address: AddressText
    data_address: AddressText
    state: Literal["live", "leaving"] = "live"


class PutRequest(BorderModel):
    """Body of a PUT of an object; `if_version` 0 means: must not exist."""

    body: Any
    if_version: pydantic.StrictInt | None = None


class PlatformSettings(ProgramSettings):
    """Settings of the program; addresses are ``"host:port"``."""

    listen: AddressText = "127.0.0.1:0"
    control: PlatformControl = PlatformControl()
    instances: list[InstanceEntry] = []
