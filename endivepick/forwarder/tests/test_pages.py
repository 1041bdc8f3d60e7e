import unittest

import msgspec

from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.load_status import (
    LoadStatus,
    PriorityStatus,
    ServiceLoadStatus,
    TargetLoadStatus,
    ZoneLoadStatus,
    sort_by_fullness,
)
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.metrics import ForwarderMetrics
from endivepick.forwarder.pages import Pages
from endivepick.forwarder.tests.test_settings import decode
from endivepick.forwarding import ForwardingCore, ForwardingSettings

SHARED = LoadStatus(
    enabled=True,
    age_s=0.5,
    services=(
        ServiceLoadStatus(
            service="notes",
            state="overloaded",
            slots=4,
            busy=6.0,
            priorities=(PriorityStatus(priority=1, admitted_share=0.5),),
        ),
        ServiceLoadStatus(service="mail", state="recovering"),
        ServiceLoadStatus(service="maps"),
    ),
    zones=(ZoneLoadStatus(service="notes", zone="hall", slots=4, busy=6.0),),
    targets=(TargetLoadStatus(name="i-1", service="notes", zone="hall", slots=2),),
)


def make_pages(*load):
    core = ForwardingCore(ForwardingSettings("hall"), lambda: 0.5)
    decisions = DecisionLog(BoundedLog("front-1", len), ForwarderMetrics())
    return Pages(
        *(decode(), core, {}, None, lambda: None, decisions, None, lambda: True),
        *load,
    )


class TestLoadPage(unittest.TestCase):
    def read(self, pages):
        response = pages.answer("/load", "")
        self.assertEqual(response.content_type, "application/json")
        return msgspec.json.decode(response.body)

    def test_instance_that_shares_no_load(self):
        page = self.read(make_pages())
        self.assertFalse(page["enabled"])
        self.assertEqual(page["targets"], [])

    def test_overload_of_one_service(self):
        page = self.read(make_pages(lambda: SHARED))
        self.assertEqual(msgspec.convert(page, LoadStatus), SHARED)
        (notes, *_) = page["services"]
        self.assertEqual((notes["state"], notes["busy"]), ("overloaded", 6.0))
        self.assertEqual(notes["priorities"][0]["admitted_share"], 0.5)

    def test_page_is_read_at_each_request(self):
        current = LoadStatus()
        pages = make_pages(lambda: current)
        self.read(pages)
        current = SHARED
        self.assertTrue(self.read(pages)["enabled"])


class TestLoadMetrics(unittest.TestCase):
    def test_limited_services_and_age_of_reports(self):
        text = make_pages(lambda: SHARED).answer("/metrics", "").body
        self.assertIn(b"endivepick_forwarder_limited_services 2", text)
        self.assertIn(b"endivepick_forwarder_load_age_seconds 0.5", text)

    def test_no_gauges_while_no_load_is_shared(self):
        text = make_pages().answer("/metrics", "").body
        self.assertNotIn(b"limited_services", text)
        self.assertNotIn(b"load_age", text)

    def test_no_age_before_the_first_report(self):
        text = make_pages(lambda: LoadStatus(enabled=True)).answer("/metrics", "").body
        self.assertIn(b"endivepick_forwarder_limited_services 0", text)
        self.assertNotIn(b"load_age", text)


class TestFullestTargets(unittest.TestCase):
    def make(self, name, slots, load):
        common = {"service": "notes", "zone": "hall"}
        return TargetLoadStatus(name=name, slots=slots, load=load, **common)

    def test_targets_of_unequal_slots_are_sorted_by_load_per_slot(self):
        large = self.make("i-1", 8, 4.0)
        small = self.make("i-2", 2, 2.0)
        unknown = self.make("i-3", 2, None)
        without_slots = self.make("i-4", 0, 1.0)
        found = sort_by_fullness([without_slots, unknown, large, small])
        self.assertEqual(found, [small, large, unknown, without_slots])


if __name__ == "__main__":
    unittest.main()
