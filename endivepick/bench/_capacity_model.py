"""Capacity model: the cost of each role at a fleet size, from measured slopes."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from math import ceil, exp

from endivepick.bench._fleet import Fleet, Limits
from endivepick.bench._slopes import Measurement
from endivepick.core.flow_table import CLOCK_SKEW_MARGIN_S, EXPIRY_SCAN_PERIOD_S
from endivepick.core.instance import EXPIRY_EVERY_S
from endivepick.core.roles import RoleSettings
from endivepick.core.settings import FlowSettings
from endivepick.daemon.peers import CONNECTIONS_MAX
from endivepick.daemon.platform import LISTS_PER_S
from endivepick.membership.settings import MembershipSettings
from endivepick.records import cost
from endivepick.records.settings import DisseminationSettings

__all__ = ["Basis", "CapacityLine", "estimate_capacity"]

CHANGES_PER_FAILURE = 2
"""State changes of a failed peer: suspect, dead (assumed)."""
CHANGES_PER_RESTART = 4
"""State changes of a restarted peer: leaving, stopped, back, ready (assumed)."""
ABANDONED_SHARE = 0.01
"""Fraction of flows that their callers abandon without closing them (assumed)."""
INSTANCES_PER_RACK = 40
"""Instances that fail together with a rack or switch (assumed)."""
DIGEST_INTERVAL_RATIO = 1.2
"""Ratio of the longest to the mean interval between two digests."""
WATCH_WAIT_S = 30.0
UPDATES_PER_MESSAGE = MembershipSettings().short_count
_S_PER_MS = 1e-3
_S_PER_US = 1e-6
_DAY_S = 86_400.0


class Basis(Enum):
    """Origin of a value."""

    MEASURED = "measured"
    COMPUTED = "computed"
    ASSUMED = "assumed"


@dataclass(frozen=True)
class CapacityLine:
    """Cost of one role for one resource.

    Attributes
    ----------
    role, what : str
        Role, and what the cost covers.
    value : float
        Cost at the fleet size.
    unit : str
        Unit of ``value`` and ``limit``.
    limit : float or None
        Limit, if there is one.
    basis : Basis
        Origin of the value, for instance measured or computed from slopes.
    """

    role: str
    what: str
    value: float
    unit: str
    limit: float | None
    basis: Basis = Basis.COMPUTED

    @property
    def is_over(self) -> bool:
        """Whether the value exceeds the limit."""
        return self.limit is not None and self.value > self.limit


class _CapacityEstimator:
    """Computes the capacity lines.

    Parameters
    ----------
    fleet : Fleet
        Size of the fleet.
    limits : Limits
        Limits to compare with.
    slopes : mapping of str to Measurement
        Measurements by name.
    """

    def __init__(
        self, fleet: Fleet, limits: Limits, slopes: Mapping[str, Measurement]
    ) -> None:
        self._fleet = fleet
        self._limits = limits
        self._slopes = slopes

    def _get_at_fleet(self, name: str) -> float:
        """Return a quantity at the number of instances of the fleet.

        The value is taken from the fit if it was not measured at this size.
        """
        measured = self._slopes[name]
        if self._fleet.instances in measured.sizes:
            return measured.median(self._fleet.instances)
        return measured.predict(self._fleet.instances)

    def _get_slope(self, name: str) -> float:
        return self._slopes[name].slope

    def _make_core_line(
        self, role: str, what: str, busy_s_per_s: float
    ) -> CapacityLine:
        limit = 100 * self._limits.core_share
        return CapacityLine(role, what, 100 * busy_s_per_s, "% core", limit)

    def _make_traffic_line(self, role: str, what: str, value: float) -> CapacityLine:
        return CapacityLine(role, what, value, "B/s", self._limits.bytes_per_s)

    def _make_memory_line(self, role: str, what: str, value: float) -> CapacityLine:
        return CapacityLine(role, what, value, "B", self._limits.memory_bytes)

    def estimate_all(self) -> Iterator[CapacityLine]:
        """Yield the lines of all roles."""
        yield from self.estimate_node()
        yield from self.estimate_connections()
        yield from self.estimate_failures()
        yield from self.estimate_relay()
        yield from self.estimate_owner()
        yield from self.estimate_placer()
        yield from self.estimate_prober()
        yield from self.estimate_configuration()
        yield from self.estimate_key_holder()
        yield from self.estimate_status_writer()
        yield from self.estimate_platform_client()

    def estimate_node(self) -> Iterator[CapacityLine]:
        """Yield the costs of each node, independent of its roles."""
        role = "every node"
        core = self._slopes["idle_core_percent"]
        growth = self._get_at_fleet("idle_core_percent") - core.median(core.sizes[0])
        idle = (self._slopes["idle_cpu_percent"].last + growth) / 100
        yield self._make_core_line(role, "nothing changing", idle)
        own = self._slopes["memory_bytes"].at_zero
        yield self._make_memory_line(
            role,
            "process, peers and records",
            own + self._get_at_fleet("core_memory_bytes"),
        )
        sent = self._get_at_fleet("membership_sent_bytes_per_s")
        yield self._make_traffic_line(role, "membership, sent and received", 2 * sent)
        period_s = self._fleet.instances / LISTS_PER_S
        listed = self._get_at_fleet("list_bytes")
        yield self._make_traffic_line(role, "list of instances", listed / period_s)
        taken_ms = self._get_at_fleet("list_read_ms") + self._get_at_fleet(
            "list_taken_ms"
        )
        yield self._make_core_line(
            role, "list of instances", taken_ms * _S_PER_MS / period_s
        )

    def estimate_connections(self) -> Iterator[CapacityLine]:
        """Yield the costs of connections.

        The accepting side is assumed to cost as much as the connecting side.
        """
        role, settings = "links", MembershipSettings()
        partners = self._get_at_fleet("link_partners")
        memory = self._get_slope("connection_memory_bytes")
        what = f"membership, 2 x {partners:.0f}"
        yield self._make_memory_line(role, what, 2 * partners * memory)
        yield from self._estimate_heartbeats("heartbeats, membership", partners)
        # A node sends one digest and answers one digest in each period.
        yield from self._estimate_setups(
            "new ones, membership", 2 / settings.sync_period_s
        )
        peers, fleet = self._fleet.instances - 1, self._fleet
        kept = min(peers, CONNECTIONS_MAX)
        yield self._make_memory_line(
            role, f"opens, 2 x {kept:,} kept", 2 * kept * memory
        )
        yield from self._estimate_heartbeats("heartbeats, opens", kept)
        owners = fleet.instances * (1 - exp(-fleet.records_per_instance))
        missed = max(0.0, 1 - kept / owners)
        opens_per_s = fleet.opens_per_s / fleet.instances
        yield from self._estimate_setups("new ones, opens", opens_per_s * missed)

    def _estimate_heartbeats(self, what: str, count: float) -> Iterator[CapacityLine]:
        """Yield the costs of heartbeats, which grow sublinearly with connections."""
        for name, to_line in (
            ("connection_idle_us_per_s", self._make_core_line),
            ("connection_idle_bytes_per_s", self._make_traffic_line),
        ):
            measured = self._slopes[name]
            size = max((s for s in measured.sizes if s <= count), default=0)
            size = size or measured.sizes[0]
            growth_factor = count / size if count < 2 * size else 1.0
            value = 2 * growth_factor * measured.median(size)
            is_time = name.endswith("us_per_s")
            yield to_line("links", what, value * _S_PER_US if is_time else value)

    def _estimate_setups(
        self, what: str, each_way_per_s: float
    ) -> Iterator[CapacityLine]:
        """Yield the costs of connection setups, at equal rates in both directions."""
        busy_s = 2 * each_way_per_s * self._get_slope("connection_setup_us") * _S_PER_US
        yield self._make_core_line("links", what, busy_s)
        setup_bytes = 2 * each_way_per_s * self._get_slope("connection_setup_bytes")
        yield self._make_traffic_line("links", what, setup_bytes)

    def estimate_failures(self) -> Iterator[CapacityLine]:
        """Yield the costs of failures, restarts and partitions at each node."""
        role, fleet = "failures", self._fleet
        per_day = (
            CHANGES_PER_FAILURE * fleet.failures_per_day
            + CHANGES_PER_RESTART * fleet.restarts_per_day
        )
        change_s = self._get_at_fleet("peer_change_ms") * _S_PER_MS
        yield self._make_core_line(
            role, "changes of peers, mean", per_day / _DAY_S * change_s
        )
        news = self._get_at_fleet("news_bytes")
        yield self._make_traffic_line(
            role, "changes of peers, mean", 2 * per_day / _DAY_S * news
        )
        news_per_s = UPDATES_PER_MESSAGE * 2 / MembershipSettings().probe_period_s
        zone_busy_s = self._get_at_fleet("zone_dead_busy_ms") * _S_PER_MS
        zone_dead_s = self._get_at_fleet("zone_dead_s")
        lost = fleet.instances_per_zone
        peer_s = zone_busy_s / lost
        rack = f"rack of {INSTANCES_PER_RACK} lost"
        rack_ms = INSTANCES_PER_RACK * peer_s / _S_PER_MS
        yield CapacityLine(role, f"{rack}: processor", rack_ms, "ms", None)
        flows = INSTANCES_PER_RACK * fleet.flows / fleet.instances
        yield CapacityLine(role, f"{rack}: flows re-issued", flows, "flows", None)
        yield CapacityLine(
            role, "zone lost: told in at least", lost / news_per_s, "s", None
        )
        yield CapacityLine(role, "zone lost: all held dead", zone_dead_s, "s", None)
        what = "zone lost: until then"
        yield self._make_core_line(role, what, zone_busy_s / zone_dead_s)
        sent = self._get_at_fleet("zone_dead_sent_bytes_per_s")
        yield self._make_traffic_line(role, f"{what}, sent", sent)
        away = fleet.instances * (1 - 1 / fleet.regions)
        yield CapacityLine(
            role, "region cut: told in at least", away / news_per_s, "s", None
        )
        view = self._get_at_fleet("join_bytes")
        yield CapacityLine(role, "restart: view of the peers", view, "B", None)
        taken_ms = self._get_at_fleet("records_taken_ms")
        yield CapacityLine(role, "restart: records taken", taken_ms, "ms", None)

    def estimate_relay(self) -> Iterator[CapacityLine]:
        """Yield the costs of opened flows at a relay; nearly all take one hop."""
        role = "relay"
        opens = self._fleet.opens_per_s / self._fleet.instances
        packet_us = self._slopes["real_relay_us"].last
        yield CapacityLine(role, "a packet", packet_us, "us", None, Basis.MEASURED)
        rate = self._slopes["real_relayed_per_s"].last
        yield CapacityLine(role, "flood", rate, "packets/s", None, Basis.MEASURED)
        busy = 100 * opens * packet_us * _S_PER_US
        yield CapacityLine(role, f"{opens:.0f} opens/s", busy, "% core", None)

    def estimate_owner(self) -> Iterator[CapacityLine]:
        """Yield the costs of flows at their owner."""
        role, fleet = "owner", self._fleet
        flow = self._get_slope("real_memory_bytes")
        mean = fleet.flows / fleet.instances
        service = fleet.flows / fleet.records
        busiest = fleet.max_records_per_instance * service
        for what, flows in (("mean", mean), ("one service", service)):
            yield self._make_memory_line(
                role, f"open flows, {what} ({flows:,.0f})", flow * flows
            )
        yield self._make_memory_line(
            role,
            f"open flows, {fleet.max_records_per_instance} services",
            flow * busiest,
        )
        yield from self._estimate_retained_flows(role, flow, mean)
        open_us = self._slopes["real_open_us"].last
        yield CapacityLine(role, "an open", open_us, "us", None, Basis.MEASURED)
        own_us = self._slopes["real_owner_us"].last
        yield CapacityLine(role, "a packet", own_us, "us", None, Basis.MEASURED)
        rate = self._slopes["real_owner_per_s"].last
        yield CapacityLine(role, "flood", rate, "packets/s", None, Basis.MEASURED)
        moved = self._slopes["hand_over_bytes"].predict(service)
        yield CapacityLine(role, "planned stop: bytes", moved, "B", None)
        stop_ms = self._slopes["hand_over_us"].predict(service) / 1000
        yield CapacityLine(role, "planned stop: processor", stop_ms, "ms", None)

    def _estimate_retained_flows(
        self, role: str, flow_bytes: float, open_flows: float
    ) -> Iterator[CapacityLine]:
        """Yield the costs of closed and of abandoned flows."""
        settings = FlowSettings()
        opens_per_s = self._fleet.opens_per_s / self._fleet.instances
        closed = opens_per_s * (settings.unacknowledged_s + EXPIRY_EVERY_S)
        yield self._make_memory_line(
            role, f"closed flows ({closed:,.0f})", flow_bytes * closed
        )
        kept_s = settings.token_lifetime_s + CLOCK_SKEW_MARGIN_S + EXPIRY_SCAN_PERIOD_S
        left = ABANDONED_SHARE * opens_per_s * kept_s
        what = f"flows left open, {100 * ABANDONED_SHARE:.0f} % ({left:,.0f})"
        line = self._make_memory_line(role, what, flow_bytes * left)
        yield replace(line, basis=Basis.ASSUMED)
        expire_s = self._get_slope("expire_us") * _S_PER_US / EXPIRY_EVERY_S
        held = open_flows + closed + left
        yield self._make_core_line(role, f"expiry ({held:,.0f} flows)", expire_s * held)

    def estimate_placer(self) -> Iterator[CapacityLine]:
        """Yield the costs of the dispatcher of one service."""
        role, targets = "placer", self._fleet.targets_per_record
        held = self._slopes["target_bytes"].predict(targets)
        yield self._make_memory_line(role, f"a service of {targets} targets", held)
        request_us = self._slopes["dispatch_request_us"].predict(targets)
        yield CapacityLine(role, "a request", request_us, "us", None)
        tick_us = self._slopes["dispatch_tick_us"].predict(targets)
        yield self._make_core_line(role, "ticks of a service", 20 * tick_us * _S_PER_US)

    def estimate_prober(self) -> Iterator[CapacityLine]:
        """Yield the costs of the health probes of the targets of a node."""
        role, fleet = "prober", self._fleet
        per_s = fleet.targets_per_record / RoleSettings().probe_every_s
        probe_us = self._get_slope("probe_round_us")
        probe_us += self._slopes["dispatch_probe_us"].predict(fleet.targets_per_record)
        probe_bytes = self._get_slope("probe_round_bytes")
        for services in (1, fleet.max_records_per_instance):
            what = f"{services} services" if services > 1 else "one service"
            rate = services * per_s
            yield self._make_core_line(role, what, rate * probe_us * _S_PER_US)
            yield self._make_traffic_line(role, what, rate * probe_bytes)

    def estimate_configuration(self) -> Iterator[CapacityLine]:
        """Yield the costs of the dissemination of records."""
        role, fleet = "configuration", self._fleet
        change_ms = self._get_at_fleet("record_change_ms")
        busy = fleet.changes_per_s * change_ms * _S_PER_MS
        yield self._make_core_line(role, "changes taken in", busy)
        for rate, factor in (("mean", 1), ("ten times", 10)):
            spread = _estimate_tiers(fleet, factor * fleet.changes_per_s)
            yield self._make_traffic_line(
                role, f"leaf, {rate}", spread.leaf_bytes_per_s
            )
            yield self._make_traffic_line(
                role, f"watcher, {rate}", spread.busiest_bytes_per_s
            )
        settings = DisseminationSettings()
        hops = _estimate_tiers(fleet, fleet.changes_per_s).hops
        digest_s = settings.digest_interval_s * DIGEST_INTERVAL_RATIO
        silent_s = settings.silence_intervals * settings.digest_interval_s
        limit_s = self._limits.propagation_s
        lost_s = hops * digest_s
        yield CapacityLine(role, "in force, each push lost once", lost_s, "s", limit_s)
        dead_s = lost_s + silent_s + digest_s
        yield CapacityLine(role, "and a feeder dead", dead_s, "s", limit_s)

    def estimate_key_holder(self) -> Iterator[CapacityLine]:
        """Yield the costs of keys; there are nine with one rotation a day."""
        role = "key holder"
        keys = ceil(FlowSettings().token_lifetime_s / _DAY_S) + 8
        yield self._make_memory_line(
            role, "keyring", self._slopes["keyring_held_bytes"].predict(keys)
        )
        object_bytes = self._slopes["keyring_bytes"].predict(keys)
        limit = self._limits.object_bytes
        yield CapacityLine(role, "object", object_bytes, "B", limit)
        for name in ("seal_us", "unseal_us"):
            value = self._slopes[name].last
            yield CapacityLine(role, name, value, "us", None, Basis.MEASURED)

    def estimate_status_writer(self) -> Iterator[CapacityLine]:
        """Yield the costs of the writer of the status of a zone."""
        role, limit = "status writer", self._limits.object_bytes
        for kind in ("zone", "group"):
            size = self._get_at_fleet(f"status_{kind}_bytes")
            yield CapacityLine(role, f"object of a {kind}", size, "B", limit)
            written = self._get_at_fleet(f"status_{kind}_written_bytes_per_s")
            yield self._make_traffic_line(role, f"writes of a {kind}", written)
            step_s = self._get_at_fleet(f"status_{kind}_step_ms") * _S_PER_MS
            call_s = self._slopes["platform_call_us"].predict(size) * _S_PER_US
            writes_per_s = self._get_status_writes_per_s(kind)
            yield self._make_core_line(role, f"merges of a {kind}", step_s)
            yield self._make_core_line(
                role, f"calls of a {kind}", call_s * writes_per_s
            )
        parts = self._get_at_fleet("status_parts_bytes_per_s")
        yield self._make_traffic_line(role, "parts received", parts)

    def _get_status_writes_per_s(self, kind: str) -> float:
        written = self._get_at_fleet(f"status_{kind}_written_bytes_per_s")
        return written / self._get_at_fleet(f"status_{kind}_bytes")

    def estimate_platform_client(self) -> Iterator[CapacityLine]:
        """Yield the rates of platform calls of the whole fleet."""
        role, fleet, limits = "platform", self._fleet, self._limits
        watchers = DisseminationSettings().watchers * fleet.zones
        watches = watchers * (fleet.changes_per_s + 1 / WATCH_WAIT_S)
        lists = LISTS_PER_S
        reads = watches + lists
        yield CapacityLine(role, "reads", reads, "1/s", limits.reads_per_s)
        groups = self._get_at_fleet("status_objects") - 1
        of_zone = self._get_status_writes_per_s("zone")
        of_zone += groups * self._get_status_writes_per_s("group")
        writes = fleet.zones * of_zone + fleet.changes_per_s
        yield CapacityLine(role, "writes", writes, "1/s", limits.writes_per_s)


def _estimate_tiers(fleet: Fleet, changes_per_s: float) -> cost.DisseminationCost:
    """Return the dissemination cost with tiers of watchers and feeders."""
    shape = cost.Fleet(
        "",
        fleet.zones,
        fleet.instances,
        fleet.records,
        fleet.targets_per_record,
        changes_per_s,
    )
    ways = cost.estimate_dissemination_costs(shape, DisseminationSettings())
    return next(strategy for strategy in ways if "chosen" in strategy.strategy)


def estimate_capacity(
    fleet: Fleet, limits: Limits, slopes: Mapping[str, Measurement]
) -> list[CapacityLine]:
    """Compute the cost of each role.

    Parameters
    ----------
    fleet : Fleet
        Size of the fleet.
    limits : Limits
        Limits to compare with.
    slopes : mapping of str to Measurement
        Measurements by name.
    """
    return list(_CapacityEstimator(fleet, limits, slopes).estimate_all())
