"""Settings of the failure detection."""

from dataclasses import dataclass

__all__ = ["MembershipSettings"]


@dataclass(frozen=True)
class MembershipSettings:
    """Periods, time-outs and bounds of the membership.

    Attributes
    ----------
    probe_period_s : float
        Time between two probes that this instance starts, whatever the number of
        peers, in seconds.
    probe_timeout_s : float
        Time after which peers are asked to probe as well, in seconds.
    probe_deadline_s : float
        Time after which a probe has failed, in seconds.
    first_contact_s : float
        Time after which a probe of an incarnation that has not answered before has
        failed, in seconds: the connections have to be set up as well.
    indirect_probes : int
        Peers that are asked to probe as well.
    watchers : int
        Peers that probe an instance, and that it probes on average; half of them
        in its own zone.
    all_probed_up_to : int
        In a fleet of at most as many instances everybody probes everybody.
    suspect_min_s, suspect_max_s : float
        Time from suspicion to death, with and without confirmations, in seconds.
    suspect_confirmations : int
        Independent suspicions after which ``suspect_min_s`` holds.
    mass_count : int
        Fewer lost peers than this are never a mass loss.
    mass_share : float
        A larger share of the peers, or of a zone's, lost at once is a mass loss.
    mass_dead_after_s : float
        Time from suspicion to death in a mass loss, in seconds.
    mass_window_s : float
        How long a dead peer counts as lost at the same time, in seconds.
    fresh_evidence_s : float
        A death by hearsay is only a suspicion this long after an own probe was
        answered, in seconds.
    pause_s : float
        A longer gap between two events means that this instance was paused.
    health_max : int
        Probe time-outs grow up to ``1 + health_max`` times on own trouble.
    dead_probe_period_s : float
        Time between two probes of dead peers, in seconds; in a fleet above
        ``all_probed_up_to`` each dead peer gets as many a period from all together.
    dead_kept_s : float
        Time for which dead peers are remembered, in seconds.
    dead_kept_count : int
        Dead incarnations that are remembered at most.
    departed_kept_s : float
        Time for which hand-overs are remembered: the token lifetime, in seconds.
    departed_kept_count : int
        Hand-overs that are remembered at most.
    piggyback_count : int
        Updates of peers, and of hand-overs, that one message carries at most.
    short_count : int
        Known peers that one message names in short, when there are news of more
        than ``piggyback_count`` of them.
    spread_factor : int
        Each update is sent this many times the binary logarithm of the number of
        peers.
    join_retry_s : float
        Time until the next peer is asked for its view, in seconds.
    join_timeout_s : float
        Time after which an instance goes on without an answer, in seconds.
    sync_period_s : float
        Time between two comparisons with a random peer, in seconds.
    sync_page_entries : int
        Entries at which a page ends; it exceeds them by one bucket at most.
    unknown_dead_after_s : float
        Time after which an incarnation that nobody knows counts as dead, in seconds.
    seed_addresses : tuple of str
        ``host:port`` of peers to ask while the platform's list cannot be had.
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
