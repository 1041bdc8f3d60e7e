"""Settings of the whole decision core."""

from dataclasses import dataclass, field

from endivepick.core.dispatch import DispatchSettings
from endivepick.core.key_rotator import KeySettings
from endivepick.core.roles import RoleSettings
from endivepick.core.settings import FlowSettings
from endivepick.membership import MembershipSettings
from endivepick.records.settings import DisseminationSettings, StatusSettings

__all__ = ["CoreSettings"]


@dataclass(frozen=True)
class CoreSettings:
    """Settings of the decision core.

    Attributes
    ----------
    name, zone : str
        Name and availability zone of this instance.
    flow : FlowSettings
        How flows are kept.
    roles : RoleSettings
        How services are looked after.
    dispatch : DispatchSettings
        How requests are placed.
    membership : MembershipSettings
        How peers are watched.
    records : DisseminationSettings
        How records spread.
    status : StatusSettings
        How often the status of the zone is told and written.
    keys : KeySettings
        How keys for flow tokens rotate.
    """

    name: str
    zone: str
    flow: FlowSettings = field(default_factory=FlowSettings)
    roles: RoleSettings = field(default_factory=RoleSettings)
    dispatch: DispatchSettings = field(default_factory=DispatchSettings)
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    records: DisseminationSettings = field(default_factory=DisseminationSettings)
    status: StatusSettings = field(default_factory=StatusSettings)
    keys: KeySettings = field(default_factory=KeySettings)
