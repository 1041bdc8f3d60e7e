import unittest

from endivepick.core.actions import SendToPeer
from endivepick.core.catalog import Catalog
from endivepick.core.dispatch import DispatchSettings, ProbeResult, TargetHealth
from endivepick.core.executor import RequestExecutor
from endivepick.core.flow_table import FlowTable, Identity
from endivepick.core.peer_messages import InFlightReport, TargetDraining
from endivepick.core.roles import RoleSettings, ServiceRoles
from endivepick.core.settings import FlowSettings
from endivepick.core.tests._fixture import NOW_S, SERVICE, record
from endivepick.records import Change, StoredObject
from endivepick.records.schema import write_service

NOTE = TargetDraining(SERVICE, "t0", 77)
PASSED_ON = TargetDraining(SERVICE, "t0", 77, passed_on=True)


class Owners:
    candidates = ("a", "b", "c", "d")

    def __init__(self, owner):
        self.owner = owner

    def owner_name(self, service):
        return self.owner

    def is_owned_here(self, service):
        return self.owner == "a"


class TestDrainingNotes(unittest.TestCase):
    def setUp(self):
        self.owners = Owners("b")
        catalog = Catalog()
        body = write_service(record(), 2).body
        catalog.apply((Change(None, StoredObject("service", SERVICE, 1, body)),))
        flow = FlowSettings()
        table = FlowTable(flow, Identity("a", 1), lambda: 1)
        self.roles = ServiceRoles(
            RoleSettings(),
            DispatchSettings(),
            "z1",
            catalog,
            table,
            RequestExecutor(flow, table, lambda: 0.5),
            self.owners,
            "a",
        )
        self.roles.activate(SERVICE, NOW_S)

    def probed(self, state):
        outcome = ProbeResult(state, SERVICE, 77)
        return sent(self.roles.on_probed(SERVICE, "t0", outcome, NOW_S))

    def hear_reports(self, *names):
        for name in names:
            self.roles.on_report(name, InFlightReport(SERVICE, {}), NOW_S)

    def test_owner_is_told_after_each_probe(self):
        for _ in range(3):
            self.assertEqual(self.probed(TargetHealth.DRAINING), [("b", NOTE)])

    def test_second_drain_of_one_incarnation_is_told(self):
        self.probed(TargetHealth.DRAINING)
        self.assertEqual(self.probed(TargetHealth.READY), [])
        self.assertEqual(self.probed(TargetHealth.DRAINING), [("b", NOTE)])

    def test_reporter_that_comes_later_is_told(self):
        self.owners.owner = "a"
        self.assertEqual(self.probed(TargetHealth.DRAINING), [])
        self.hear_reports("c")
        self.assertEqual(self.probed(TargetHealth.DRAINING), [("c", NOTE)])

    def test_owner_passes_a_word_on_once(self):
        self.owners.owner = "a"
        self.hear_reports("b", "c", "d")
        actions = self.roles.on_draining_note("b", NOTE, NOW_S)
        self.assertEqual(sent(actions), [("c", PASSED_ON), ("d", PASSED_ON)])
        self.assertEqual(self.roles.on_draining_note("b", PASSED_ON, NOW_S), [])
        self.owners.owner = "b"
        self.assertEqual(self.roles.on_draining_note("b", NOTE, NOW_S), [])


def sent(actions):
    return [(a.name, a.message) for a in actions if isinstance(a, SendToPeer)]


if __name__ == "__main__":
    unittest.main()
