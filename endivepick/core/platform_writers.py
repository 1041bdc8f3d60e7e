"""What an instance writes into the platform: status of its zone, and keys."""

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
    """Hands time, answers and news to the parts that write.

    Parameters
    ----------
    settings : CoreSettings
        Settings of all parts.
    membership : Membership
        States of the instances.
    catalog : Catalog
        Keys in force.
    sources : InstanceSources
        What the status is made from.
    random_number : callable
        Returns a float from 0 up to 1.
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
        """Do what is due at this time, in seconds since the epoch."""
        actions = self._status.tick(self._random_number(), now_s)
        return actions + self._keys.tick(now_s)

    def record_instance_status(
        self, sender: str, part: InstanceStatus, now_s: float
    ) -> None:
        """Take what another instance of the zone tells about itself."""
        self._status.record_part(sender, part, now_s)

    def set_listed_instances(self, names: frozenset[str]) -> None:
        """Take the names on the platform's list of instances."""
        self._rotation_view.listed = names

    def answered(
        self, purpose: CallPurpose, answer: PlatformAnswer, now_s: float
    ) -> list[Action]:
        """Take what came of a call."""
        random_share = self._random_number()
        match purpose:
            case CallPurpose.STATUS:
                return self._status.answered(answer, random_share, now_s)
            case CallPurpose.KEYS:
                return self._keys.answered(answer, random_share, now_s)
