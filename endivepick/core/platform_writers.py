"""Components that write to the platform: zone status and key rotation."""

from collections.abc import Callable

from endivepick.core.actions import Action
from endivepick.core.catalog import Catalog
from endivepick.core.core_settings import CoreSettings
from endivepick.core.key_rotator import KeyRotator
from endivepick.core.platform_calls import CallPurpose, PlatformAnswer
from endivepick.core.status_sources import InstanceStatusSources, RotationView
from endivepick.core.zone_status import ZoneStatusReporter
from endivepick.membership import Membership
from endivepick.records.peer_messages import InstanceStatus

__all__ = ["PlatformWriters"]


class PlatformWriters:
    """Passes time, call results and updates to the components that write.

    Parameters
    ----------
    settings : CoreSettings
        Settings of the decision core.
    membership : Membership
        State of each instance.
    catalog : Catalog
        Keyring in force.
    sources : InstanceStatusSources
        Inputs for the zone status and key rotation.
    random_number : callable
        Returns a float from 0 (inclusive) to 1 (exclusive).
    """

    def __init__(
        self,
        settings: CoreSettings,
        membership: Membership,
        catalog: Catalog,
        sources: InstanceStatusSources,
        random_number: Callable[[], float],
    ) -> None:
        self._random_number = random_number
        self._status = ZoneStatusReporter(
            settings.status, settings.name, settings.zone, sources
        )
        self._rotation_view = RotationView(settings.name, membership, sources)
        self._keys = KeyRotator(
            settings.keys,
            settings.flow.token_lifetime_s,
            settings.zone,
            catalog.keys,
            self._rotation_view,
        )

    def tick(self, now_s: float) -> list[Action]:
        """Return the actions that are due.

        Parameters
        ----------
        now_s : float
            Current time, in seconds since the epoch.
        """
        actions = self._status.tick(self._random_number(), now_s)
        return actions + self._keys.tick(now_s)

    def record_instance_status(
        self, sender: str, part: InstanceStatus, now_s: float
    ) -> None:
        """Record the status that another instance of the zone reported."""
        self._status.record_part(sender, part, now_s)

    def set_listed_instances(self, names: frozenset[str]) -> None:
        """Set the names on the platform's list of instances."""
        self._rotation_view.listed = names

    def answered(
        self, purpose: CallPurpose, answer: PlatformAnswer, now_s: float
    ) -> list[Action]:
        """Pass the result of a platform call to the component that made it."""
        random_share = self._random_number()
        match purpose:
            case CallPurpose.STATUS:
                return self._status.answered(answer, random_share, now_s)
            case CallPurpose.KEYS:
                return self._keys.answered(answer, random_share, now_s)
