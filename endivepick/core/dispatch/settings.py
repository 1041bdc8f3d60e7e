"""Settings of the dispatcher, validated on input."""

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["DispatchSettings"]


class DispatchSettings(BaseModel):
    """Settings for target selection, queues, admission, retries and ejection.

    The defaults suit targets with two or three slots.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    new_flow_delay_s: float = Field(
        default=0.1,
        ge=0,
        le=60,
        description="Head start of requests of established flows over those of new "
        "flows, in seconds of waiting.",
    )
    new_flow_queue_share: float = Field(
        default=0.5,
        gt=0,
        le=1,
        description="Share of a queue that requests of new flows may fill.",
    )
    long_request_queue_share: float = Field(
        default=0.5,
        gt=0,
        le=1,
        description="Share of a queue that long requests may fill.",
    )
    waiting_per_instance: int = Field(
        default=10000,
        ge=1,
        le=1000000,
        description="Requests that may wait in all services of an instance together.",
    )
    long_request_delay_s: float = Field(
        default=2.0,
        ge=0,
        le=600,
        description="Head start of short requests over long ones, in seconds of "
        "waiting.",
    )
    initial_service_time_s: float = Field(
        default=0.1,
        gt=0,
        le=600,
        description="Service time of a short request, assumed before one has been "
        "answered.",
    )
    initial_long_service_time_s: float = Field(
        default=5.0,
        gt=0,
        le=3600,
        description="Service time of a long request, assumed before one has been "
        "answered.",
    )
    service_time_weight: float = Field(
        default=0.1,
        gt=0,
        le=1,
        description="Weight of the newest request in the moving average of service "
        "times.",
    )
    arrival_memory_s: float = Field(
        default=60.0,
        gt=0,
        le=3600,
        description="Time over which the rate of a target's requests is estimated, "
        "from which new flows are placed.",
    )
    retry_share: float = Field(
        default=0.1,
        ge=0,
        le=1,
        description="Attempts beyond the first, as a share of recent requests.",
    )
    retry_constant_per_s: float = Field(
        default=0.5,
        ge=0,
        le=100,
        description="Further attempts allowed in each second, whatever the load.",
    )
    retry_burst: float = Field(
        default=10.0, ge=1, le=1000, description="Most attempts that can be saved up."
    )
    attempts: int = Field(
        default=3,
        ge=1,
        le=10,
        description="Most attempts of one request, the first included.",
    )
    pin_patience_s: float = Field(
        default=0.5,
        ge=0,
        le=60,
        description="Longest back-off of a target for which its flows wait; beyond "
        "it they move to another target.",
    )
    shed_backoff_s: float = Field(
        default=0.25,
        gt=0,
        le=60,
        description="Back-off after a shed answer that names no time.",
    )
    shed_backoff_limit_s: float = Field(
        default=30.0,
        gt=0,
        le=600,
        description="Longest back-off that a target can ask for.",
    )
    connect_backoff_s: float = Field(
        default=0.1,
        gt=0,
        le=60,
        description="Back-off after the first failed connection.",
    )
    connect_backoff_limit_s: float = Field(
        default=2.0,
        gt=0,
        le=60,
        description="Longest back-off after failed connections.",
    )
    failures_to_eject: int = Field(
        default=3,
        ge=1,
        le=100,
        description="Failures in a row after which a target is ejected.",
    )
    stall_factor: float = Field(
        default=8.0,
        ge=2,
        le=1000,
        description="A target whose slots are all held without a completion for "
        "this many usual service times is ejected.",
    )
    stall_min_s: float = Field(
        default=2.0,
        gt=0,
        le=600,
        description="Shortest time without a completion to eject.",
    )
    ejection_s: float = Field(
        default=2.0,
        gt=0,
        le=600,
        description="First ejection; doubles with each further one.",
    )
    ejection_limit_s: float = Field(
        default=60.0, gt=0, le=3600, description="Longest ejection."
    )
    ejected_share_limit: float = Field(
        default=0.5,
        ge=0,
        lt=1,
        description="Largest share of a service's targets that may be ejected at once.",
    )
    trial_idempotent_s: float = Field(
        default=10.0,
        ge=0,
        le=600,
        description="How long a trial waits for an idempotent request before it takes "
        "any.",
    )
    slow_start_s: float = Field(
        default=10.0,
        ge=0,
        le=600,
        description="Time in which a cold target's slots are opened one by one.",
    )
    unhealthy_slot_share: float = Field(
        default=0.5,
        gt=0,
        le=1,
        description="Share of its slots that a target keeps while its health endpoint "
        "fails but requests succeed.",
    )
    load_report_age_limit_s: float = Field(
        default=2.0,
        gt=0,
        le=60,
        description="Age at which a load report counts for nothing.",
    )
    peer_report_age_limit_s: float = Field(
        default=3.0,
        gt=0,
        le=60,
        description="Age at which a peer's in-flight counts count for nothing.",
    )
    draining_note_s: float = Field(
        default=30.0,
        ge=0,
        le=600,
        description="How long a peer's note that a target drains outweighs a health "
        "endpoint that says ready.",
    )
    refused_wait_min_ms: int = Field(
        default=50,
        ge=1,
        le=60000,
        description="Shortest time to come back in a refusal.",
    )
