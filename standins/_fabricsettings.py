"""Settings and switches of the fabric stand-in."""

from standins.control import AddressText, BorderModel, ProgramSettings

__all__ = ["DirectionFaults", "FabricControl", "FabricInstance", "FabricSettings"]


class DirectionFaults(BorderModel):
    """Faults of one direction; shares are between 0 and 1."""

    loss: float = 0.0
    duplicate: float = 0.0
    delay_ms_min: float = 0.0
    delay_ms_max: float = 0.0

    def has_no_effect(self) -> bool:
        """Tell whether datagrams pass untouched."""
        return not (self.loss or self.duplicate or self.delay_ms_max)


class FabricInstance(BorderModel):
    """One instance that datagrams go to; further fields are ignored."""

    model_config = {"extra": "ignore"}

    name: str
    zone: str
    data_address: AddressText
    state: str = "live"


class FabricControl(BorderModel):
    """Switches of the fabric stand-in.

    Attributes
    ----------
    to_instances, to_callers : DirectionFaults
        Faults of each direction.
    cut_zones, cut_instances : list of str
        Instances that get and give nothing; datagrams sprayed to them are lost.
    avoid_cut : bool
        Spray only over instances that are not cut.
    only_instances : list of str or None
        Spray only over these; answers of all instances pass.
    instances : list or None
        Fixed list in place of the platform's.
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
