import unittest

from endivepick.forwarder.load_status import LoadStatus, PriorityStatus
from endivepick.forwarder.load_status_builder import (
    AdmissionStatus,
    build_load_status,
    read_load_status,
)
from endivepick.forwarding import Reset
from endivepick.forwarding.admission.tests.test_admission import (
    BULK_PORT,
    URGENT_PORT,
    Signals,
    make_limited_core,
    tick_until,
)
from endivepick.forwarding.admission.tests.test_admission import (
    open_flow as open_bulk_flow,
)
from endivepick.forwarding.model import TargetPhase
from endivepick.forwarding.tests.support import make_core, make_target

NOW_S = 5.0
TARGETS = (
    make_target("i-1", "a"),
    make_target("i-2", "a", slots=4),
    make_target("i-3", "b"),
    make_target("i-4", "b", "mail"),
    make_target("i-5", "a", phase=TargetPhase.DRAINING),
)
BUSY = {("notes", "a"): 9.0, ("notes", "b"): 0.5, ("mail", "b"): 0.0}


class FixedLoad:
    """Load that stays as it is, or is unknown."""

    def __init__(self, known=True):
        self.known = known

    def target_load(self, belief, now_s):
        return 1.23456 if self.known else None

    def zone_busy(self, service, target_zone, now_s):
        return BUSY[service, target_zone] if self.known else None

    def short_share(self, service, now_s):
        return 0.25 if self.known and service == "notes" else None

    def others_age_s(self, now_s):
        return 0.4 if self.known else None


def admit(service):
    if service == "mail":
        return AdmissionStatus()
    share = PriorityStatus(priority=1, admitted_share=0.5, rejected_openings=3)
    return AdmissionStatus(state="overloaded", state_for_s=2.0, priorities=(share,))


def build(load, admission=admit):
    return build_load_status(make_core(TARGETS).registry, load, admission, NOW_S)


class TestBuildLoadStatus(unittest.TestCase):
    def test_one_zone_of_one_service_is_overloaded(self):
        status = build(FixedLoad())
        self.assertTrue(status.enabled and status.limits_overload)
        self.assertEqual(status.age_s, 0.4)
        mail, notes = status.services
        self.assertEqual((notes.state, notes.state_for_s), ("overloaded", 2.0))
        self.assertEqual((notes.busy, notes.slots, notes.short_share), (9.5, 8, 0.25))
        self.assertEqual(notes.priorities[0].rejected_openings, 3)
        self.assertEqual((mail.state, mail.short_share), ("normal", None))
        zones = [(each.service, each.zone, each.slots) for each in status.zones]
        self.assertEqual(
            zones, [("mail", "b", 2), ("notes", "a", 6), ("notes", "b", 2)]
        )
        self.assertEqual(status.zones[1].busy_per_slot, 1.5)

    def test_draining_target_takes_no_new_load_and_is_left_out(self):
        status = build(FixedLoad())
        names = [each.name for each in status.targets]
        self.assertEqual(names, ["i-1", "i-2", "i-3", "i-4"])
        self.assertEqual(status.targets[0].load, 1.234)

    def test_feeder_was_lost_so_load_is_unknown(self):
        status = build(FixedLoad(known=False))
        self.assertTrue(status.enabled)
        self.assertIsNone(status.age_s)
        self.assertIsNone(status.services[1].busy_per_slot)
        self.assertEqual({each.load for each in status.targets}, {None})

    def test_load_is_shared_and_nothing_is_rejected(self):
        status = build(FixedLoad(), admission=None)
        self.assertFalse(status.limits_overload)
        self.assertEqual({each.state for each in status.services}, {"normal"})
        self.assertEqual(status.limited_services, 0)

    def test_no_targets(self):
        status = build_load_status([], FixedLoad(), admit, NOW_S)
        self.assertEqual(
            status, LoadStatus(enabled=True, limits_overload=True, age_s=0.4)
        )


class TestReadFromCore(unittest.TestCase):
    def test_load_is_not_shared(self):
        self.assertEqual(read_load_status(make_core([]), 1.0), LoadStatus())

    def test_state_and_rejections_of_an_overloaded_service(self):
        core = make_limited_core(Signals(), limits_overload=True)
        tick_until(core, 0.0, 1.0)
        for port in (URGENT_PORT, BULK_PORT):
            open_bulk_flow(core, 1000, 1.0, port)
        tick_until(core, 1.0, 10.0)
        rejected = sum(
            isinstance(open_bulk_flow(core, port, 10.0), Reset) for port in range(50)
        )
        (notes,) = read_load_status(core, 10.0).services
        self.assertEqual(notes.state, "overloaded")
        self.assertAlmostEqual(notes.state_for_s, 9.5, places=1)
        by_priority = {each.priority: each for each in notes.priorities}
        self.assertGreater(rejected, 0)
        self.assertEqual(by_priority[2].rejected_openings, rejected)
        self.assertLess(by_priority[2].admitted_share, by_priority[0].admitted_share)


if __name__ == "__main__":
    unittest.main()
