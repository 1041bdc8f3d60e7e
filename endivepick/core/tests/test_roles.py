import unittest
from dataclasses import replace

from endivepick.core.catalog import Catalog
from endivepick.core.dispatch import (
    DispatchSettings,
    ProbeResult,
    Queued,
    Start,
    TargetHealth,
)
from endivepick.core.dispatch.tests.support import intent
from endivepick.core.executor import RequestExecutor
from endivepick.core.flow_table import FlowTable, Identity
from endivepick.core.membership_translator import MembershipActionTranslator
from endivepick.core.peer_messages import InFlightReport
from endivepick.core.roles import RoleSettings, ServiceRoles
from endivepick.core.settings import FlowSettings
from endivepick.core.tests.test_bad_input import record_body
from endivepick.membership import InstanceView, PeerChanged, PeerState
from endivepick.records.cache import Change
from endivepick.records.objects import StoredObject


class Owners:
    """Owner choice that counts how often it is asked."""

    def __init__(self):
        self.mine = set()
        self.unsettled = set()
        self.asked = 0

    def pop_ownership_candidates(self):
        unsettled, self.unsettled = self.unsettled, set()
        return unsettled

    def owner_name(self, service):
        return "a" if service in self.mine else "b"

    def is_owned_here(self, service):
        self.asked += 1
        return service in self.mine


class TestReview(unittest.TestCase):
    def setUp(self):
        self.owners = Owners()
        self.catalog = Catalog()
        names = [f"service-{number}" for number in range(50)]
        self.catalog.apply(
            tuple(
                Change(None, StoredObject("service", name, number + 1, record_body()))
                for number, name in enumerate(names)
            )
        )
        settings = FlowSettings()
        table = FlowTable(settings, Identity("a", 1), iter(range(1, 99)).__next__)
        self.executor = RequestExecutor(settings, table, lambda: 0.5)
        self.roles = ServiceRoles(
            RoleSettings(),
            DispatchSettings(),
            "z1",
            self.catalog,
            table,
            self.executor,
            self.owners,
            "a",
        )
        self.roles.tick(0.0)
        self.owners.asked = 0

    def test_asks_for_no_service_while_nobody_comes_or_goes(self):
        for second in range(1, 20):
            self.roles.tick(float(second))
        self.assertEqual(self.owners.asked, 0)

    def test_takes_up_and_lets_go_when_an_instance_comes_or_goes(self):
        self.owners.mine = {"service-7", "service-9"}
        self.owners.unsettled = {"service-1", "service-7", "service-9"}
        self.roles.review_soon()
        self.roles.tick(1.1)
        self.assertEqual(set(self.roles.active), {"service-7", "service-9"})
        self.owners.mine = {"service-9"}
        self.roles.review_soon()
        self.roles.tick(1.2)
        self.assertEqual(set(self.roles.active), {"service-9"})

    def test_lets_go_of_a_service_that_was_only_opened_here(self):
        self.roles.activate("service-3", 1.0)
        self.roles.tick(5.0)
        self.assertEqual(set(self.roles.active), set())

    def test_takes_up_a_service_whose_record_changed(self):
        self.owners.mine = {"service-4"}
        self.roles.records_changed(["service-4", "unknown"], 1.0)
        self.assertEqual(set(self.roles.active), {"service-4"})

    def test_slots_of_a_lost_owner_are_free_again(self):
        self.owners.mine = {"service-3"}
        for lost, decided in (("c", Queued), ("b", Start)):
            self.roles.activate("service-3", 1.0)
            ready = ProbeResult(TargetHealth.READY, "service-3", 7)
            self.roles.on_probed("service-3", "t0", ready, 1.0)
            self.roles.on_report("b", InFlightReport("service-3", {"t0": 2}), 1.0)
            self.roles.forget_peer(lost)
            self.roles.tick(1.1)
            dispatcher = self.executor.dispatchers["service-3"]
            decisions = dispatcher.submit(intent(lost), 1.1, 0.5)
            self.assertIsInstance(decisions[-1], decided)
            dispatcher.cancel(lost, 1.1)


class TestMemberActions(unittest.TestCase):
    def lost(self, new):
        old = InstanceView("b", "z1", 7, "127.0.0.1:1", PeerState.ALIVE)
        lost = []
        members = MembershipActionTranslator(lambda _: [], lost.append, lambda _: [])
        members.translate([PeerChanged(old, new and replace(old, **new))], 1.0)
        return lost

    def test_tells_of_incarnations_that_ended(self):
        self.assertEqual(self.lost({"state": PeerState.DEAD}), ["b"])
        self.assertEqual(self.lost({"incarnation": 8}), ["b"])
        self.assertEqual(self.lost(None), ["b"])
        self.assertEqual(self.lost({"state": PeerState.SUSPECT}), [])


if __name__ == "__main__":
    unittest.main()
