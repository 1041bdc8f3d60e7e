"""Settings of the membership protocol."""

from dataclasses import dataclass

__all__ = ["MembershipSettings"]


@dataclass(frozen=True)
class MembershipSettings:
    """Periods, timeouts and limits of the membership protocol.

    Attributes
    ----------
    probe_period_s : float
        Time between two probes sent by this instance, in seconds; independent of
        the number of peers.
    probe_timeout_s : float
        Time after which indirect probes are requested, in seconds.
    probe_deadline_s : float
        Time after which a probe has failed, in seconds.
    first_contact_s : float
        Time after which a probe of an incarnation that has not answered before has
        failed, in seconds; it includes the time to establish connections.
    indirect_probes : int
        Number of peers that are asked for an indirect probe.
    watchers : int
        Number of peers that probe an instance, and that it probes on average; half
        of them are in its own zone.
    all_probed_up_to : int
        Largest fleet in which every instance probes all others.
    suspect_min_s, suspect_max_s : float
        Suspicion timeout with all and without any confirmations, in seconds.
    suspect_confirmations : int
        Number of independent confirmations after which ``suspect_min_s`` applies.
    mass_count : int
        Minimum number of lost peers in a mass loss.
    mass_share : float
        Share of all peers, or of the peers of a zone, above which a simultaneous
        loss is a mass loss.
    mass_dead_after_s : float
        Suspicion timeout in a mass loss, in seconds.
    mass_window_s : float
        Time for which a dead peer counts towards a mass loss, in seconds.
    fresh_evidence_s : float
        Time after an answered probe during which a death reported by others only
        counts as a suspicion, in seconds.
    pause_s : float
        Longest gap between two events, in seconds; after a longer one this instance
        is considered to have been paused.
    health_max : int
        Highest local health score; probe timeouts are extended by a factor of up to
        ``1 + health_max``.
    dead_probe_period_s : float
        Time between two probes of dead peers, in seconds.  In a fleet larger than
        ``all_probed_up_to``, all instances together send on average that many probes
        per period to each dead peer.
    dead_kept_s : float
        Time for which dead peers are stored, in seconds.
    dead_kept_count : int
        Maximum number of stored superseded incarnations.
    departed_kept_s : float
        Time for which handovers are stored, in seconds; equals the token lifetime.
    departed_kept_count : int
        Maximum number of stored handovers.
    piggyback_count : int
        Maximum number of peer updates, and of handovers, per message.
    short_count : int
        Maximum number of short updates per message; they are used when updates of
        more than ``piggyback_count`` known peers are queued.
    spread_factor : int
        Each update is sent ``spread_factor * ceil(log2(peers + 2))`` times.
    join_retry_s : float
        Time between two join requests, in seconds.
    join_timeout_s : float
        Time after which an instance continues without a peer's view, in seconds.
    sync_period_s : float
        Time between two digest exchanges with a random peer, in seconds.
    sync_page_entries : int
        Number of entries after which a page ends; the last bucket may exceed it.
    unknown_dead_after_s : float
        Time after which an unknown incarnation counts as dead, in seconds.
    seed_addresses : tuple of str
        ``host:port`` of peers that are contacted while the platform's list is
        unavailable.
    """

    probe_period_s: float = 0.25
    probe_timeout_s: float = 0.1
    probe_deadline_s: float = 0.25
    first_contact_s: float = 1.0
    indirect_probes: int = 3
    watchers: int = 8
    all_probed_up_to: int = 32
    suspect_min_s: float = 1.0
    suspect_max_s: float = 3.0
    suspect_confirmations: int = 2
    mass_count: int = 2
    mass_share: float = 0.5
    mass_dead_after_s: float = 6.0
    mass_window_s: float = 10.0
    fresh_evidence_s: float = 1.0
    pause_s: float = 0.5
    health_max: int = 4
    dead_probe_period_s: float = 1.0
    dead_kept_s: float = 3600.0
    dead_kept_count: int = 20_000
    departed_kept_s: float = 86_400.0
    departed_kept_count: int = 40_000
    piggyback_count: int = 6
    short_count: int = 32
    spread_factor: int = 3
    join_retry_s: float = 0.5
    join_timeout_s: float = 3.0
    sync_period_s: float = 10.0
    sync_page_entries: int = 32
    unknown_dead_after_s: float = 6.0
    seed_addresses: tuple[str, ...] = ()
