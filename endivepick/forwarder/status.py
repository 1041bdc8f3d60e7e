"""Status page: the beliefs of a forwarder and their ages."""

from typing import Any

from endivepick.forwarder.logs import truncate_number
from endivepick.forwarding import ForwardingCore, TargetBelief

__all__ = ["build_status"]


def build_status(core: ForwardingCore, now_s: float) -> dict[str, Any]:
    """Return the beliefs of a forwarder as JSON values.

    Parameters
    ----------
    core : ForwardingCore
        Core whose beliefs are returned.
    now_s : float
        Current time, in seconds.
    """
    configuration = core.routes.configuration
    return {
        "ready": core.ready,
        "flows": len(core.flows),
        "config_version": configuration.version if configuration else None,
        "config_since_s": truncate_number(now_s - core.routes.since_s),
        "evacuated_zones": [each.zone for each in core.evacuations.zones.list_zones()],
        "targets": [_target(belief, now_s) for belief in core.registry],
    }


def _target(belief: TargetBelief, now_s: float) -> dict[str, Any]:
    return {
        "name": belief.name,
        "service": belief.target.service,
        "zone": belief.target.zone,
        "born_ms": belief.target.born_ms,
        "state": belief.state.value,
        "state_for_s": truncate_number(now_s - belief.state_since_s),
        "reachability": belief.reachability.value,
        "reachability_for_s": truncate_number(now_s - belief.reachability_since_s),
        "fitness": belief.fitness.value,
        "fitness_for_s": truncate_number(now_s - belief.fitness_since_s),
        "requests": {
            "good": truncate_number(belief.requests.good),
            "failed": truncate_number(belief.requests.failed),
            "poor": truncate_number(belief.requests.poor),
            "late": truncate_number(belief.requests.late),
            "counted_before_s": truncate_number(now_s - belief.requests.at_s),
        },
        "flows": belief.flows,
        "busy_flows": belief.busy_flows,
    }
