"""Fleets for the tests of the membership, and news drawn at random."""

from hypothesis import strategies as st

from endivepick.membership import (
    MembershipSettings,
    PeerChanged,
    PeerState,
)
from endivepick.membership._simulated_fleet import Loop
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


def started(count=9, seed=1, only_own=SETTINGS, **network):
    """Start a fleet; ``only_own`` are the settings of its first instance."""
    loop = Loop(seed, **network)
    for number in range(count):
        own = only_own if number == 0 else SETTINGS
        loop.add(f"entry-{number}", ZONES[number % 3], own)
    loop.list_all()
    loop.run_until(lambda: everybody_sees(loop, count), 30)
    return loop


def everybody_sees(loop, count):
    return all(len(node.live_names()) == count for node in loop.nodes.values())


def deaths(loop):
    return [
        (at_s, observer, action.new.name)
        for at_s, observer, action in loop.actions
        if isinstance(action, PeerChanged)
        and action.new is not None
        and action.new.state is PeerState.DEAD
    ]


def count_of(loop, kind):
    return sum(isinstance(action, kind) for _, _, action in loop.actions)


def random_update(name, incarnation=5, generation=1, phase=1, refutation=0, dead=0):
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


def updates():
    return st.builds(
        random_update,
        st.sampled_from(["b", "c", "entry-0", "entry-1"]),
        st.integers(0, 3),
        st.just(1),
        st.integers(0, 3),
        st.integers(0, 3),
        st.integers(0, 2),
    )


OLDER = [(name, number) for name in ("b", "c") for number in (1, 2, 3)]


def messages():
    number = st.integers(0, 2**40)
    news = st.lists(updates(), max_size=3)
    hand_over = st.builds(
        HandedOver, number, st.just("notes"), st.just("b"), number, number, number
    )
    hand_overs = st.lists(hand_over, max_size=3)
    wanted = st.lists(st.integers(-1, 300), max_size=300)
    kinds = st.sampled_from(Phase), st.sampled_from(Liveness)
    short = st.builds(ShortUpdate, st.integers(0, 9), kinds[0], number, kinds[1])
    shorts = st.lists(short, max_size=3)
    message = st.one_of(
        st.builds(Ping, number, number, number, news, hand_overs, shorts),
        st.builds(Ack, number, news, hand_overs, shorts),
        st.builds(PingRequest, number, st.sampled_from(["b", "entry-1"])),
        st.builds(ProbeReport, number, st.just("entry-1"), st.booleans(), news),
        st.builds(SyncRequest, number, updates()),
        st.builds(SyncPage, number, wanted, news, hand_overs),
        st.builds(SyncDigest, wanted, wanted),
        st.builds(LeaveWish, number),
    )
    return st.tuples(st.sampled_from(["b", "entry-0", "entry-1"]), message)
