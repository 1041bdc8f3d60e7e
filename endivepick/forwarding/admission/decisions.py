"""Results of the decision whether an opening is admitted."""

from msgspec import Struct

__all__ = ["Admitted", "Rejected"]


class Admitted(Struct, frozen=True):
    """The opening may be placed."""


class Rejected(Struct, frozen=True):
    """The opening is rejected, since its service is overloaded.

    Attributes
    ----------
    service : str
        The overloaded service.
    priority : int
        Priority of the opening's route.
    admitted_share : float
        Share of the openings of this priority that is admitted.
    short_share : float
        Share of short answers among all answers of the service.
    busy_per_slot : float
        Requests in progress per slot of the service.
    age_s : float
        Time since these were known, in seconds.
    """

    service: str
    priority: int
    admitted_share: float
    short_share: float
    busy_per_slot: float
    age_s: float
