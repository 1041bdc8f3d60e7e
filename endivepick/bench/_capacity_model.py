"""What each role costs at a given size, worked out from measured slopes."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from math import ceil, exp

from endivepick.bench._fleet import Fleet, Limits
from endivepick.bench._slopes import Measured
from endivepick.core.flow_table import CLOCK_SKEW_MARGIN_S, LOOK_EVERY_S
from endivepick.core.instance import EXPIRY_EVERY_S
from endivepick.core.roles import RoleSettings
from endivepick.core.settings import FlowSettings
from endivepick.daemon.peers import CONNECTIONS_MAX
from endivepick.daemon.platform import LISTS_PER_S
from endivepick.membership.settings import MembershipSettings
from endivepick.records import cost
from endivepick.records.settings import DisseminationSettings

__all__ = ["Basis", "CapacityLine", "capacity_lines"]

CHANGES_PER_FAILURE = 2
"""Suspected, dead (assumed)."""
CHANGES_PER_RESTART = 4
"""Leaving, stopped, back, ready (assumed)."""
ABANDONED_SHARE = 0.01
"""Flows whose callers go away without closing them (assumed)."""
RACK_INSTANCES = 40
"""Instances that a rack or switch takes along (assumed)."""
DIGEST_SPREAD = 1.2
"""Longest wait between two digests over the mean one."""
WATCH_WAIT_S = 30.0
NEWS_PER_MESSAGE = MembershipSettings().short_count
_S_PER_MS = 1e-3
_S_PER_US = 1e-6
_DAY_S = 86_400.0


class Basis(Enum):
    """Where a figure comes from."""

    MEASURED = "measured"
    COMPUTED = "computed"
    ASSUMED = "assumed"


@dataclass(frozen=True)
class CapacityLine:
    """One cost of one role.

    Attributes
    ----------
    role, what : str
        Role, and what it spends.
    value : float
        Cost at the given size.
    unit : str
        Unit of value and limit.
    limit : float or None
        Limit, if there is one.
    basis : Basis
        Measured at this size, or computed from slopes.
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


class _Sheet:
    """Works the lines out.

    Parameters
    ----------
    fleet : Fleet
        Size to work out.
    limits : Limits
        Limits to compare with.
    slopes : mapping of str to Measured
        Measured slopes by name.
    """

    def __init__(
        self, fleet: Fleet, limits: Limits, slopes: Mapping[str, Measured]
    ) -> None:
        self._fleet = fleet
        self._limits = limits
        self._slopes = slopes

    def _at_fleet(self, name: str) -> float:
        """Return a value that was measured against the number of instances."""
        measured = self._slopes[name]
        if self._fleet.instances in measured.sizes:
            return measured.median(self._fleet.instances)
        return measured.at(self._fleet.instances)

    def _slope(self, name: str) -> float:
        return self._slopes[name].slope

    def _share(self, role: str, what: str, busy_s_per_s: float) -> CapacityLine:
        limit = 100 * self._limits.core_share
        return CapacityLine(role, what, 100 * busy_s_per_s, "% core", limit)

    def _bytes_per_s(self, role: str, what: str, value: float) -> CapacityLine:
        return CapacityLine(role, what, value, "B/s", self._limits.bytes_per_s)

    def _memory(self, role: str, what: str, value: float) -> CapacityLine:
        return CapacityLine(role, what, value, "B", self._limits.memory_bytes)

    def lines(self) -> Iterator[CapacityLine]:
        """Yield all lines, role by role."""
        yield from self.every_node()
        yield from self.connections()
        yield from self.faults()
        yield from self.relay()
        yield from self.owner()
        yield from self.placer()
        yield from self.prober()
        yield from self.configuration()
        yield from self.key_holder()
        yield from self.status_writer()
        yield from self.platform_client()

    def every_node(self) -> Iterator[CapacityLine]:
        """Yield what each node spends, whatever its roles."""
        role = "every node"
        core = self._slopes["idle_core_percent"]
        growth = self._at_fleet("idle_core_percent") - core.median(core.sizes[0])
        idle = (self._slopes["idle_cpu_percent"].last + growth) / 100
        yield self._share(role, "nothing changing", idle)
        own = self._slopes["memory_bytes"].fixed
        yield self._memory(
            role,
            "process, peers and records",
            own + self._at_fleet("core_memory_bytes"),
        )
        sent = self._at_fleet("membership_sent_bytes_per_s")
        yield self._bytes_per_s(role, "membership, sent and received", 2 * sent)
        period_s = self._fleet.instances / LISTS_PER_S
        listed = self._at_fleet("list_bytes")
        yield self._bytes_per_s(role, "list of instances", listed / period_s)
        taken_ms = self._at_fleet("list_read_ms") + self._at_fleet("list_taken_ms")
        yield self._share(role, "list of instances", taken_ms * _S_PER_MS / period_s)

    def connections(self) -> Iterator[CapacityLine]:
        """Yield what connections cost; the accepting side is assumed to cost alike."""
        role, settings = "links", MembershipSettings()
        partners = self._at_fleet("link_partners")
        memory = self._slope("connection_memory_bytes")
        what = f"membership, 2 x {partners:.0f}"
        yield self._memory(role, what, 2 * partners * memory)
        yield from self._heartbeats("heartbeats, membership", partners)
        # One digest is sent in each period, and one is answered.
        yield from self._new_links("new ones, membership", 2 / settings.sync_period_s)
        peers, fleet = self._fleet.instances - 1, self._fleet
        kept = min(peers, CONNECTIONS_MAX)
        yield self._memory(role, f"opens, 2 x {kept:,} kept", 2 * kept * memory)
        yield from self._heartbeats("heartbeats, opens", kept)
        owners = fleet.instances * (1 - exp(-fleet.records_per_instance))
        missed = max(0.0, 1 - kept / owners)
        opens_per_s = fleet.opens_per_s / fleet.instances
        yield from self._new_links("new ones, opens", opens_per_s * missed)

    def _heartbeats(self, what: str, count: float) -> Iterator[CapacityLine]:
        """Yield heartbeats, which grow less than the number of connections."""
        for name, to_line in (
            ("connection_idle_us_per_s", self._share),
            ("connection_idle_bytes_per_s", self._bytes_per_s),
        ):
            measured = self._slopes[name]
            size = max((s for s in measured.sizes if s <= count), default=0)
            size = size or measured.sizes[0]
            growing = count / size if count < 2 * size else 1.0
            value = 2 * growing * measured.median(size)
            is_time = name.endswith("us_per_s")
            yield to_line("links", what, value * _S_PER_US if is_time else value)

    def _new_links(self, what: str, each_way_per_s: float) -> Iterator[CapacityLine]:
        """Yield the cost of as many connections made as are accepted."""
        busy_s = 2 * each_way_per_s * self._slope("connection_setup_us") * _S_PER_US
        yield self._share("links", what, busy_s)
        setup_bytes = 2 * each_way_per_s * self._slope("connection_setup_bytes")
        yield self._bytes_per_s("links", what, setup_bytes)

    def faults(self) -> Iterator[CapacityLine]:
        """Yield what failures, restarts and cuts cost each node."""
        role, fleet = "failures", self._fleet
        per_day = (
            CHANGES_PER_FAILURE * fleet.failures_per_day
            + CHANGES_PER_RESTART * fleet.restarts_per_day
        )
        change_s = self._at_fleet("peer_change_ms") * _S_PER_MS
        yield self._share(role, "changes of peers, mean", per_day / _DAY_S * change_s)
        news = self._at_fleet("news_bytes")
        yield self._bytes_per_s(
            role, "changes of peers, mean", 2 * per_day / _DAY_S * news
        )
        news_per_s = NEWS_PER_MESSAGE * 2 / MembershipSettings().probe_period_s
        zone_busy_s = self._at_fleet("zone_dead_busy_ms") * _S_PER_MS
        zone_dead_s = self._at_fleet("zone_dead_s")
        lost = fleet.instances_per_zone
        peer_s = zone_busy_s / lost
        rack = f"rack of {RACK_INSTANCES} lost"
        rack_ms = RACK_INSTANCES * peer_s / _S_PER_MS
        yield CapacityLine(role, f"{rack}: processor", rack_ms, "ms", None)
        flows = RACK_INSTANCES * fleet.flows / fleet.instances
        yield CapacityLine(role, f"{rack}: flows re-issued", flows, "flows", None)
        yield CapacityLine(
            role, "zone lost: told in at least", lost / news_per_s, "s", None
        )
        yield CapacityLine(role, "zone lost: all held dead", zone_dead_s, "s", None)
        what = "zone lost: until then"
        yield self._share(role, what, zone_busy_s / zone_dead_s)
        sent = self._at_fleet("zone_dead_sent_bytes_per_s")
        yield self._bytes_per_s(role, f"{what}, sent", sent)
        away = fleet.instances * (1 - 1 / fleet.regions)
        yield CapacityLine(
            role, "region cut: told in at least", away / news_per_s, "s", None
        )
        view = self._at_fleet("join_bytes")
        yield CapacityLine(role, "restart: view of the peers", view, "B", None)
        taken_ms = self._at_fleet("records_taken_ms")
        yield CapacityLine(role, "restart: records taken", taken_ms, "ms", None)

    def relay(self) -> Iterator[CapacityLine]:
        """Yield what a relay spends on opens; one hop for nearly all."""
        role = "relay"
        opens = self._fleet.opens_per_s / self._fleet.instances
        packet_us = self._slopes["real_relay_us"].last
        yield CapacityLine(role, "a packet", packet_us, "us", None, Basis.MEASURED)
        rate = self._slopes["real_relayed_per_s"].last
        yield CapacityLine(role, "flood", rate, "packets/s", None, Basis.MEASURED)
        busy = 100 * opens * packet_us * _S_PER_US
        yield CapacityLine(role, f"{opens:.0f} opens/s", busy, "% core", None)

    def owner(self) -> Iterator[CapacityLine]:
        """Yield what an owner spends on flows."""
        role, fleet = "owner", self._fleet
        flow = self._slope("real_memory_bytes")
        mean = fleet.flows / fleet.instances
        service = fleet.flows / fleet.records
        busiest = fleet.most_records * service
        for what, flows in (("mean", mean), ("one service", service)):
            yield self._memory(role, f"open flows, {what} ({flows:,.0f})", flow * flows)
        yield self._memory(
            role, f"open flows, {fleet.most_records} services", flow * busiest
        )
        yield from self._flows_kept(role, flow, mean)
        open_us = self._slopes["real_open_us"].last
        yield CapacityLine(role, "an open", open_us, "us", None, Basis.MEASURED)
        own_us = self._slopes["real_owner_us"].last
        yield CapacityLine(role, "a packet", own_us, "us", None, Basis.MEASURED)
        rate = self._slopes["real_owner_per_s"].last
        yield CapacityLine(role, "flood", rate, "packets/s", None, Basis.MEASURED)
        moved = self._slopes["hand_over_bytes"].at(service)
        yield CapacityLine(role, "planned stop: bytes", moved, "B", None)
        stop_ms = self._slopes["hand_over_us"].at(service) / 1000
        yield CapacityLine(role, "planned stop: processor", stop_ms, "ms", None)

    def _flows_kept(
        self, role: str, flow_bytes: float, open_flows: float
    ) -> Iterator[CapacityLine]:
        """Yield what flows cost that are closed, or left without being closed."""
        settings = FlowSettings()
        opens_per_s = self._fleet.opens_per_s / self._fleet.instances
        closed = opens_per_s * (settings.unacknowledged_s + EXPIRY_EVERY_S)
        yield self._memory(role, f"closed flows ({closed:,.0f})", flow_bytes * closed)
        kept_s = settings.token_lifetime_s + CLOCK_SKEW_MARGIN_S + LOOK_EVERY_S
        left = ABANDONED_SHARE * opens_per_s * kept_s
        what = f"flows left open, {100 * ABANDONED_SHARE:.0f} % ({left:,.0f})"
        line = self._memory(role, what, flow_bytes * left)
        yield replace(line, basis=Basis.ASSUMED)
        expire_s = self._slope("expire_us") * _S_PER_US / EXPIRY_EVERY_S
        held = open_flows + closed + left
        yield self._share(role, f"expiry ({held:,.0f} flows)", expire_s * held)

    def placer(self) -> Iterator[CapacityLine]:
        """Yield what the dispatcher of one service spends."""
        role, targets = "placer", self._fleet.targets_per_record
        held = self._slopes["target_bytes"].at(targets)
        yield self._memory(role, f"a service of {targets} targets", held)
        request_us = self._slopes["dispatch_request_us"].at(targets)
        yield CapacityLine(role, "a request", request_us, "us", None)
        tick_us = self._slopes["dispatch_tick_us"].at(targets)
        yield self._share(role, "ticks of a service", 20 * tick_us * _S_PER_US)

    def prober(self) -> Iterator[CapacityLine]:
        """Yield what the probes of a node's targets cost."""
        role, fleet = "prober", self._fleet
        per_s = fleet.targets_per_record / RoleSettings().probe_every_s
        probe_us = self._slope("probe_round_us")
        probe_us += self._slopes["dispatch_probe_us"].at(fleet.targets_per_record)
        probe_bytes = self._slope("probe_round_bytes")
        for services in (1, fleet.most_records):
            what = f"{services} services" if services > 1 else "one service"
            rate = services * per_s
            yield self._share(role, what, rate * probe_us * _S_PER_US)
            yield self._bytes_per_s(role, what, rate * probe_bytes)

    def configuration(self) -> Iterator[CapacityLine]:
        """Yield what the spreading of records costs."""
        role, fleet = "configuration", self._fleet
        change_ms = self._at_fleet("record_change_ms")
        busy = fleet.changes_per_s * change_ms * _S_PER_MS
        yield self._share(role, "changes taken in", busy)
        for rate, factor in (("mean", 1), ("ten times", 10)):
            spread = _tiers(fleet, factor * fleet.changes_per_s)
            yield self._bytes_per_s(role, f"leaf, {rate}", spread.leaf_bytes_per_s)
            yield self._bytes_per_s(
                role, f"watcher, {rate}", spread.busiest_bytes_per_s
            )
        settings = DisseminationSettings()
        hops = _tiers(fleet, fleet.changes_per_s).hops
        digest_s = settings.digest_interval_s * DIGEST_SPREAD
        silent_s = settings.silence_intervals * settings.digest_interval_s
        limit_s = self._limits.spread_s
        lost_s = hops * digest_s
        yield CapacityLine(role, "in force, each push lost once", lost_s, "s", limit_s)
        dead_s = lost_s + silent_s + digest_s
        yield CapacityLine(role, "and a feeder dead", dead_s, "s", limit_s)

    def key_holder(self) -> Iterator[CapacityLine]:
        """Yield what keys cost; nine with one rotation a day."""
        role = "key holder"
        keys = ceil(FlowSettings().token_lifetime_s / _DAY_S) + 8
        yield self._memory(role, "keyring", self._slopes["keyring_held_bytes"].at(keys))
        object_bytes = self._slopes["keyring_bytes"].at(keys)
        limit = self._limits.object_bytes
        yield CapacityLine(role, "object", object_bytes, "B", limit)
        for name in ("seal_us", "unseal_us"):
            value = self._slopes[name].last
            yield CapacityLine(role, name, value, "us", None, Basis.MEASURED)

    def status_writer(self) -> Iterator[CapacityLine]:
        """Yield what the writer of a zone's status spends."""
        role, limit = "status writer", self._limits.object_bytes
        for kind in ("zone", "group"):
            size = self._at_fleet(f"status_{kind}_bytes")
            yield CapacityLine(role, f"object of a {kind}", size, "B", limit)
            written = self._at_fleet(f"status_{kind}_written_bytes_per_s")
            yield self._bytes_per_s(role, f"writes of a {kind}", written)
            step_s = self._at_fleet(f"status_{kind}_step_ms") * _S_PER_MS
            call_s = self._slopes["platform_call_us"].at(size) * _S_PER_US
            writes_per_s = self._status_writes_per_s(kind)
            yield self._share(role, f"merges of a {kind}", step_s)
            yield self._share(role, f"calls of a {kind}", call_s * writes_per_s)
        parts = self._at_fleet("status_parts_bytes_per_s")
        yield self._bytes_per_s(role, "parts received", parts)

    def _status_writes_per_s(self, kind: str) -> float:
        written = self._at_fleet(f"status_{kind}_written_bytes_per_s")
        return written / self._at_fleet(f"status_{kind}_bytes")

    def platform_client(self) -> Iterator[CapacityLine]:
        """Yield the calls of the whole fleet."""
        role, fleet, limits = "platform", self._fleet, self._limits
        watchers = DisseminationSettings().watchers * fleet.zones
        watches = watchers * (fleet.changes_per_s + 1 / WATCH_WAIT_S)
        lists = LISTS_PER_S
        reads = watches + lists
        yield CapacityLine(role, "reads", reads, "1/s", limits.reads_per_s)
        groups = self._at_fleet("status_objects") - 1
        of_zone = self._status_writes_per_s("zone")
        of_zone += groups * self._status_writes_per_s("group")
        writes = fleet.zones * of_zone + fleet.changes_per_s
        yield CapacityLine(role, "writes", writes, "1/s", limits.writes_per_s)


def _tiers(fleet: Fleet, changes_per_s: float) -> cost.DisseminationCost:
    """Return the cost of the tiers of watchers and feeders."""
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


def capacity_lines(
    fleet: Fleet, limits: Limits, slopes: Mapping[str, Measured]
) -> list[CapacityLine]:
    """Work out what each role costs.

    Parameters
    ----------
    fleet : Fleet
        Size to work out.
    limits : Limits
        Limits to compare with.
    slopes : mapping of str to Measured
        Measured slopes by name.
    """
    return list(_Sheet(fleet, limits, slopes).lines())
