"""The compared placement policies by name."""

from endivepick.bench.independent import (
    BoundedHashPolicy,
    LeastLoadedPolicy,
    RandomPolicy,
    RoundRobinPolicy,
    TwoChoicesPolicy,
)
from endivepick.bench.owners import (
    OwnerOwnZonePolicy,
    OwnerPerZonePolicy,
    OwnerPolicy,
)
from endivepick.bench.perfect import PerfectPolicy
from endivepick.bench.policy import Policy
from endivepick.bench.shards import OwnerShardsPolicy, TargetOwnersPolicy

__all__ = ["POLICIES"]

POLICIES: dict[str, type[Policy]] = {
    "perfect": PerfectPolicy,
    "owner": OwnerPolicy,
    "owner_per_zone": OwnerPerZonePolicy,
    "owner_own_zone": OwnerOwnZonePolicy,
    "owner_shards": OwnerShardsPolicy,
    "target_owners": TargetOwnersPolicy,
    "random": RandomPolicy,
    "round_robin": RoundRobinPolicy,
    "bounded_hash": BoundedHashPolicy,
    "two_choices": TwoChoicesPolicy,
    "least_loaded": LeastLoadedPolicy,
}
