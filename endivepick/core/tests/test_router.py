import unittest

from endivepick.core.actions import SendToPeer
from endivepick.core.flow_table import Identity
from endivepick.core.messages import Reissued, Renew, Unreachable
from endivepick.core.relay import Relay
from endivepick.core.router import PacketRouter
from endivepick.core.tests._fixture import CALLER, NOW_S, OwnerFixture, packets


class FakePeers:
    """Beliefs of the leaving instance ``a``."""

    def __init__(self) -> None:
        self.dead: set[Identity] = set()
        self.suspects: set[str] = set()
        self.successors: dict[int, Identity] = {}

    def eligible_names(self) -> tuple[str, ...]:
        return ("b", "c")

    def zone_of(self, name: str) -> str:
        return "z1"

    def is_suspected(self, name: str) -> bool:
        return name in self.suspects

    def is_incarnation_dead(self, name: str, incarnation: int) -> bool:
        return Identity(name, incarnation) in self.dead

    def find_successor(self, incarnation: int, service: str) -> Identity | None:
        return self.successors.get(incarnation)

    def incarnation_of(self, name: str) -> int:
        return {"b": 2, "c": 3}[name]


class TestFlowHandedOverFromHere(unittest.TestCase):
    def setUp(self):
        self.fixture = fixture = OwnerFixture("a")
        self.peers = FakePeers()
        relay = Relay(
            fixture.me,
            self.peers,
            fixture.codec,
            fixture.new_id,
            1.0,
            lambda service: frozenset(),
        )
        self.router = PacketRouter(
            fixture.me, fixture.codec, fixture.table, fixture.owner, relay, None
        )
        token, self.sealed = fixture.open()
        self.taker = Identity("b", 2)
        fixture.table.release(token.binding, self.taker)

    def route(self):
        return self.router.route(Renew(self.sealed), CALLER, b"datagram", 0, NOW_S)

    def receivers(self):
        sent = self.route()
        return [action.name for action in sent if isinstance(action, SendToPeer)]

    def test_goes_to_its_taker(self):
        self.assertEqual(self.receivers(), ["b"])

    def test_goes_to_its_taker_also_while_that_one_is_suspected(self):
        """A suspect that is alive does what is asked, whatever its caller hears."""
        self.peers.suspects.add(self.taker.name)
        self.assertEqual(self.receivers(), ["b"])
        [told] = packets(self.route(), Unreachable)
        self.assertEqual(told.retry_after_ms, 300)

    def test_goes_to_the_last_holder_once_its_taker_has_left_too(self):
        self.peers.dead.add(self.taker)
        self.peers.successors[self.taker.incarnation] = Identity("c", 3)
        self.assertEqual(self.receivers(), ["c"])

    def test_gets_a_new_binding_if_its_taker_was_lost(self):
        self.peers.dead.add(self.taker)
        [reissued] = packets(self.route(), Reissued)
        self.assertFalse(reissued.continues)


if __name__ == "__main__":
    unittest.main()
