"""Real instances for the benchmarks; requires ``standins`` from a checkout."""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

__all__ = ["make_uniform_shape", "sort_owner_first", "running_cluster"]

TARGETS_PER_SERVICE = 2
SETTLE_S = 3.0
"""Time for instances that have become ready to agree on owners, in seconds."""


def make_uniform_shape(instances: int, services: int, zones: int = 1) -> Any:
    """Return the shape of an installation with equal services and instances."""
    from standins.shapes import InstancePlan, ServicePlan, Shape, TargetPlan

    names = tuple(f"zone{number + 1}" for number in range(zones))
    plans = tuple(
        InstancePlan(
            f"entry-{n}", names[n % zones], f"127.{n % zones + 1}.0.{n // zones + 1}"
        )
        for n in range(instances)
    )
    return Shape(
        name="flat",
        zones=names,
        instances=plans,
        services=tuple(
            ServicePlan(
                f"service-{s}",
                "request",
                tuple(
                    TargetPlan(
                        f"service-{s}",
                        f"target-{s}-{t}",
                        names[t % zones],
                        f"127.{t % zones + 1}.1.{s * TARGETS_PER_SERVICE + t + 1}",
                        slots=2,
                    )
                    for t in range(TARGETS_PER_SERVICE)
                ),
            )
            for s in range(services)
        ),
        zone_delay_ms=0.0,
        caller_delay_ms=0.0,
    )


def sort_owner_first(cluster: Any) -> list[Any]:
    """Return the instances, with the only owner of services first.

    Waits until there is one owner, because an instance that becomes ready before the
    others owns all services temporarily.
    """
    from standins.process import wait_until

    time.sleep(SETTLE_S)

    def owners() -> list[Any]:
        found = [one for one in cluster.instances.values() if one.status()["services"]]
        return found if len(found) == 1 else []

    [owner] = wait_until(owners, "one instance to own the service")
    return [owner, *(one for one in cluster.instances.values() if one is not owner)]


@contextmanager
def running_cluster(
    shape: Any, instance_settings: dict[str, dict[str, Any]] | None = None
) -> Iterator[Any]:
    """Run an installation for the duration of the context."""
    from standins.cluster import ClusterSettings, cluster

    settings = ClusterSettings(shape, instance_settings=instance_settings or {})
    with cluster(settings) as running:
        yield running
