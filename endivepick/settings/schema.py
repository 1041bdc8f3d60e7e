"""Border model: what a settings file may contain, with ranges and meaning."""

from pydantic import Field

from endivepick.settings._base import Group
from endivepick.settings._coordination_models import (
    KeyModel,
    MembershipModel,
    RecordsModel,
    StatusModel,
)
from endivepick.settings._flow_models import DispatchModel, FlowModel
from endivepick.settings._process_models import (
    FabricModel,
    InstanceModel,
    ListenModel,
    LogModel,
    PlatformModel,
    SecretsModel,
    TargetModel,
)

__all__ = ["SettingsModel"]


class SettingsModel(Group):
    """A settings file."""

    instance: InstanceModel
    listen: ListenModel
    platform: PlatformModel
    secrets: SecretsModel
    fabric: FabricModel = FabricModel()
    log: LogModel = LogModel()
    membership: MembershipModel = MembershipModel()
    records: RecordsModel = RecordsModel()
    status: StatusModel = StatusModel()
    keys: KeyModel = KeyModel()
    flow: FlowModel = FlowModel()
    targets: TargetModel = TargetModel()
    dispatch: DispatchModel = Field(
        default_factory=lambda: DispatchModel.model_validate({})
    )
