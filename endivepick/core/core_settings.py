"""Settings of the complete decision core."""

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
    """Settings of the decision core, one group for each component.

    Attributes
    ----------
    name, zone : str
        Name and availability zone of this instance.
    flow : FlowSettings
        Lifetime, limits and timeouts of flows and requests.
    roles : RoleSettings
        Ownership of services and health checks of their targets.
    dispatch : DispatchSettings
        Selection of targets and admission of requests.
    membership : MembershipSettings
        Failure detection of peers.
    records : DisseminationSettings
        Dissemination of records.
    status : StatusSettings
        Reporting and writing of the zone status.
    keys : KeySettings
        Rotation of the keys for flow tokens.
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
