"""Settings and control document of the platform stand-in."""

from typing import Any, Literal

import pydantic

from standins.control import AddressText, BorderModel, ProgramSettings

__all__ = ["InstanceEntry", "PlatformControl", "PlatformSettings", "PutRequest"]


class PlatformControl(BorderModel):
    """Control document of the platform stand-in.

    Attributes
    ----------
    outage : str or None
        ``"refuse"`` closes each connection without an answer and without an
        effect, ``"unavailable"`` answers 503, ``"hang"`` holds every call until
        this field changes and handles it then.
    slow_ms : float
        Delay before each call is handled.
    lose_answers : int
        Number of next writes that take effect but get no answer; each of them
        decrements it.
    lose_answers_kind : str or None
        Kind of object to which `lose_answers` applies; None for all kinds.
    stale_reads : int
        Number of revisions by which the answers of gets and lists are old.
    writes_per_s, reads_per_s : float
        Rates above which calls are answered with 429; a waiting watch counts as
        one read.
    instances_lag_s : float
        Age of the instance list that is served.
    history_limit : int
        Number of revisions kept for watches; a watch from an earlier revision is
        answered with 410.
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
    """Entry of the instance list as the infrastructure reports it."""

    name: str
    zone: str
    peer_address: AddressText
    data_address: AddressText
    state: Literal["live", "leaving"] = "live"


class PutRequest(BorderModel):
    """Body of a PUT of an object; `if_version` 0 requires that it does not exist."""

    body: Any
    if_version: pydantic.StrictInt | None = None


class PlatformSettings(ProgramSettings):
    """Settings of the program; addresses are ``"host:port"``."""

    listen: AddressText = "127.0.0.1:0"
    control: PlatformControl = PlatformControl()
    instances: list[InstanceEntry] = []
