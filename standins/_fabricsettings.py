"""Settings and control document of the fabric stand-in."""

from standins.control import AddressText, BorderModel, ProgramSettings

__all__ = ["DirectionFaults", "FabricControl", "FabricInstance", "FabricSettings"]


class DirectionFaults(BorderModel):
    """Faults of one direction; `loss` and `duplicate` are probabilities."""

    loss: float = 0.0
    duplicate: float = 0.0
    delay_ms_min: float = 0.0
    delay_ms_max: float = 0.0

    def has_no_effect(self) -> bool:
        """Return whether datagrams pass unchanged and without delay."""
        return not (self.loss or self.duplicate or self.delay_ms_max)


class FabricInstance(BorderModel):
    """Instance that receives datagrams; unknown fields are ignored."""

    model_config = {"extra": "ignore"}

    name: str
    zone: str
    data_address: AddressText
    state: str = "live"


class FabricControl(BorderModel):
    """Control document of the fabric stand-in.

    Attributes
    ----------
    to_instances, to_callers : DirectionFaults
        Faults of each direction.
    cut_zones, cut_instances : list of str
        Zones and instances that neither receive nor send; datagrams sprayed to
        them are lost.
    avoid_cut : bool
        Spray only over instances that are not cut off.
    only_instances : list of str or None
        Spray only over these instances; answers of all instances pass.
    instances : list or None
        Fixed list that replaces the list of the platform.
    """

    to_instances: DirectionFaults = DirectionFaults()
    to_callers: DirectionFaults = DirectionFaults()
    cut_zones: list[str] = []
    cut_instances: list[str] = []
    avoid_cut: bool = False
    only_instances: list[str] | None = None
    instances: list[FabricInstance] | None = None


class FabricSettings(ProgramSettings):
    """Settings of the program; addresses are ``"host:port"``."""

    callers: list[AddressText] = ["127.0.0.1:0"]
    instances: AddressText = "127.0.0.1:0"
    platform: AddressText | None = None
    poll_interval_s: float = 0.3
    seed: int = 1
    control: FabricControl = FabricControl()
