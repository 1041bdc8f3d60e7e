"""Groups about instances together: membership, records, status and keys."""

from pydantic import Field

from endivepick.settings import model
from endivepick.settings._base import Group, RemoteAddresses

__all__ = ["KeyModel", "MembershipModel", "RecordsModel", "StatusModel"]

_DAY_S = 86400.0


class MembershipModel(Group):
    """Detection of failed peers."""

    probe_period_s: float = Field(
        default=model.MembershipSettings.probe_period_s,
        ge=0.02,
        le=10,
        description="Period of probing one peer.",
    )
    probe_timeout_s: float = Field(
        default=model.MembershipSettings.probe_timeout_s,
        ge=0.01,
        le=10,
        description="Time after which other peers are asked to probe as well.",
    )
    probe_deadline_s: float = Field(
        default=model.MembershipSettings.probe_deadline_s,
        ge=0.02,
        le=10,
        description="Time after which a probe has failed.",
    )
    suspect_min_s: float = Field(
        default=model.MembershipSettings.suspect_min_s,
        ge=0.05,
        le=60,
        description="Shortest time from suspicion to death, when enough peers "
        "confirm it.",
    )
    suspect_max_s: float = Field(
        default=model.MembershipSettings.suspect_max_s,
        ge=0.05,
        le=600,
        description="Time from suspicion to death when nobody confirms it.",
    )
    suspect_confirmations: int = Field(
        default=model.MembershipSettings.suspect_confirmations,
        ge=0,
        le=20,
        description="Independent suspicions after which suspect_min_s holds.",
    )
    mass_share: float = Field(
        default=model.MembershipSettings.mass_share,
        ge=0.05,
        le=1,
        description="Share of the peers, or of a zone's, whose loss at once "
        "counts as a mass loss.",
    )
    mass_dead_after_s: float = Field(
        default=model.MembershipSettings.mass_dead_after_s,
        ge=0.1,
        le=600,
        description="Time from suspicion to death in a mass loss, such as a cut zone.",
    )
    pause_s: float = Field(
        default=model.MembershipSettings.pause_s,
        ge=0.1,
        le=60,
        description="A longer gap between two events means that this instance was "
        "paused.",
    )
    sync_period_s: float = Field(
        default=model.MembershipSettings.sync_period_s,
        ge=0.5,
        le=600,
        description="Period of comparing the view with a random peer.",
    )
    seed_addresses: RemoteAddresses = Field(
        default=model.MembershipSettings.seed_addresses,
        max_length=64,
        description="Peer addresses of other instances; asked by an instance that "
        "starts while the platform's list of instances cannot be had.",
    )


class RecordsModel(Group):
    """Spreading of records from the platform to all instances."""

    watchers: int = Field(
        default=model.DisseminationSettings.watchers,
        ge=1,
        le=16,
        description="Instances of each zone that watch the platform.",
    )
    fan_out: int = Field(
        default=model.DisseminationSettings.fan_out,
        ge=1,
        le=64,
        description="Instances that one instance feeds at most if all feeders live.",
    )
    digest_interval_s: float = Field(
        default=model.DisseminationSettings.digest_interval_s,
        ge=0.05,
        le=60,
        description="Period of comparing records with the same peer.",
    )
    report_delay_s: float = Field(
        default=model.DisseminationSettings.report_delay_s,
        ge=0.01,
        le=10,
        description="Longest time from a change to the report that it is in force.",
    )
    silence_intervals: float = Field(
        default=model.DisseminationSettings.silence_intervals,
        ge=1,
        le=100,
        description="Digest periods without a word after which a peer is passed over.",
    )
    ask_patience_s: float = Field(
        default=model.DisseminationSettings.ask_patience_s,
        ge=0.1,
        le=60,
        description="How long a starting instance waits for its peers' records.",
    )


class StatusModel(Group):
    """Status of the zones, as `endivepick status` shows it."""

    write_interval_s: float = Field(
        default=model.StatusSettings.write_interval_s,
        ge=0.1,
        le=300,
        description="Shortest time between two writes of a zone's status.",
    )
    part_expiry_s: float = Field(
        default=model.StatusSettings.part_expiry_s,
        ge=0.5,
        le=600,
        description="Age at which what an instance told about itself is dropped; "
        "it tells three times as often.",
    )
    write_bytes_per_s: float = Field(
        default=model.StatusSettings.write_bytes_per_s,
        ge=100,
        le=1_000_000,
        description="Bytes a second that one instance writes into the status, on "
        "average at most: a large object is written less often.",
    )
    group_instances: int = Field(
        default=model.StatusSettings.group_instances,
        ge=1,
        le=500,
        description="Instances of a zone above which their rows are dealt to "
        "several objects of about this many; equal at all instances.",
    )


class KeyModel(Group):
    """Rotation of the keys for flow tokens."""

    check_every_s: float = Field(
        default=model.KeySettings.check_every_s,
        ge=0.1,
        le=300,
        description="Period of looking which instances hold a pending key.",
    )
    pending_min_s: float = Field(
        default=model.KeySettings.pending_min_s,
        ge=0,
        le=_DAY_S,
        description="Shortest age of a pending key that becomes the current one; as "
        "long as the platform's list of instances may lag.",
    )
    cut_off_allowance_s: float = Field(
        default=model.KeySettings.cut_off_allowance_s,
        ge=0,
        le=365 * _DAY_S,
        description="How long an instance that missed a rotation may go on signing "
        "with the earlier key; keys are kept that much longer than their tokens live.",
    )
