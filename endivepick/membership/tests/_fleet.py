"""Fleets and hypothesis strategies for the membership tests."""

from hypothesis import strategies as st

from endivepick.membership import (
    MembershipSettings,
    PeerChanged,
    PeerState,
)
from endivepick.membership._simulated_fleet import SimulatedFleet
from endivepick.membership.peer_messages import (
    Ack,
    HandedOver,
    LeaveWish,
    Liveness,
    MemberUpdate,
    Phase,
    Ping,
    PingRequest,
    ProbeReport,
    ShortUpdate,
    SyncDigest,
    SyncPage,
    SyncRequest,
)

SETTINGS = MembershipSettings()
ZONES = ("fukuoka", "kumamoto", "kagoshima")


def start_fleet(count=9, seed=1, first_settings=SETTINGS, **network):
    """Start a fleet; ``first_settings`` are the settings of its first instance."""
    fleet = SimulatedFleet(seed, **network)
    for number in range(count):
        own = first_settings if number == 0 else SETTINGS
        fleet.add(f"entry-{number}", ZONES[number % 3], own)
    fleet.deliver_list()
    fleet.run_until(lambda: all_see_live_count(fleet, count), 30)
    return fleet


def all_see_live_count(fleet, count):
    return all(len(node.live_names()) == count for node in fleet.nodes.values())


def find_deaths(fleet):
    return [
        (at_s, observer, action.new.name)
        for at_s, observer, action in fleet.actions
        if isinstance(action, PeerChanged)
        and action.new is not None
        and action.new.state is PeerState.DEAD
    ]


def count_actions(fleet, kind):
    return sum(isinstance(action, kind) for _, _, action in fleet.actions)


def make_update(name, incarnation=5, generation=1, phase=1, refutation=0, dead=0):
    return MemberUpdate(
        name,
        "thamel",
        "127.0.0.1:1",
        incarnation,
        generation,
        Phase(phase),
        refutation,
        Liveness(dead),
    )


def update_strategy():
    return st.builds(
        make_update,
        st.sampled_from(["b", "c", "entry-0", "entry-1"]),
        st.integers(0, 3),
        st.just(1),
        st.integers(0, 3),
        st.integers(0, 3),
        st.integers(0, 2),
    )


KNOWN_INCARNATIONS = [(name, number) for name in ("b", "c") for number in (1, 2, 3)]


def message_strategy():
    number = st.integers(0, 2**40)
    update_lists = st.lists(update_strategy(), max_size=3)
    hand_over = st.builds(
        HandedOver, number, st.just("notes"), st.just("b"), number, number, number
    )
    hand_overs = st.lists(hand_over, max_size=3)
    wanted = st.lists(st.integers(-1, 300), max_size=300)
    kinds = st.sampled_from(Phase), st.sampled_from(Liveness)
    short = st.builds(ShortUpdate, st.integers(0, 9), kinds[0], number, kinds[1])
    shorts = st.lists(short, max_size=3)
    message = st.one_of(
        st.builds(Ping, number, number, number, update_lists, hand_overs, shorts),
        st.builds(Ack, number, update_lists, hand_overs, shorts),
        st.builds(PingRequest, number, st.sampled_from(["b", "entry-1"])),
        st.builds(ProbeReport, number, st.just("entry-1"), st.booleans(), update_lists),
        st.builds(SyncRequest, number, update_strategy()),
        st.builds(SyncPage, number, wanted, update_lists, hand_overs),
        st.builds(SyncDigest, wanted, wanted),
        st.builds(LeaveWish, number),
    )
    return st.tuples(st.sampled_from(["b", "entry-0", "entry-1"]), message)
