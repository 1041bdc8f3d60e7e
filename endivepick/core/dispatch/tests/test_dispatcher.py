import dataclasses
import unittest

from endivepick.core.dispatch import (
    CancelRunning,
    CostClass,
    DispatchSettings,
    Fail,
    FailReason,
    FinishKind,
    FlowActivity,
    ProbeFailed,
    Queued,
    RefusalReason,
    Refuse,
    Repin,
    ServiceDispatcher,
    TargetHealth,
    WaitingAllowance,
)
from endivepick.core.dispatch.tests.support import (
    make_dispatcher,
    make_record,
    ready,
    starts,
    submit,
)
from endivepick.records.model import Affinity

FLOW = Affinity.FLOW


def mark_draining(record, name, version=2):
    targets = tuple(
        dataclasses.replace(t, draining=t.name == name) for t in record.targets
    )
    return dataclasses.replace(record, targets=targets, version=version)


class PlacementTest(unittest.TestCase):
    def test_requests_use_all_slots_before_waiting(self):
        dispatcher = make_dispatcher()
        chosen = [starts(submit(dispatcher, i)).get(i) for i in range(3)]
        self.assertEqual(sorted(chosen), ["t0", "t1", "t2"])
        self.assertEqual(submit(dispatcher, 3), [Queued(3)])
        decisions = dispatcher.finished(1, 1.0, FinishKind.OK, 1.0)
        self.assertEqual(starts(decisions), {3: chosen[1]})

    def test_start_contains_incarnation_and_time_left(self):
        dispatcher = make_dispatcher(make_record(targets=1))
        (start,) = submit(dispatcher, "a", now_s=1.0, deadline_at_s=4.0)
        self.assertEqual(start.target_incarnation, 100)
        self.assertEqual(start.timeout_s, 3.0)

    def test_request_waits_until_probe_confirms_identity(self):
        dispatcher = make_dispatcher(make_record(FLOW, targets=1), probe=False)
        self.assertEqual(submit(dispatcher, "a", pinned="t0"), [Queued("a")])
        self.assertEqual(
            dispatcher.on_probe("t0", 0.1, ready(service="other")),
            [],
        )
        self.assertEqual(starts(dispatcher.on_probe("t0", 0.2, ready())), {"a": "t0"})

    def test_misdirected_target_gets_no_request_before_next_probe(self):
        dispatcher = make_dispatcher(make_record(targets=2))
        first = starts(submit(dispatcher, "a"))["a"]
        decisions = dispatcher.finished("a", 0.1, FinishKind.MISDIRECTED, 0.1)
        self.assertNotEqual(starts(decisions)["a"], first)
        self.assertEqual(submit(dispatcher, "b", now_s=0.2), [Queued("b")])

    def test_new_flows_are_balanced_by_slots(self):
        dispatcher = make_dispatcher(make_record(FLOW))
        chosen = [dispatcher.place_flow(FlowActivity(), 0.0, 0.9) for _ in range(6)]
        self.assertEqual(sorted(chosen), ["t0", "t0", "t1", "t1", "t2", "t2"])

    def test_request_affinity_pins_no_flow(self):
        self.assertEqual(make_dispatcher().place_flow(FlowActivity(), 0.0, 0.5), "")

    def test_pinned_request_waits_for_its_target(self):
        dispatcher = make_dispatcher(make_record(FLOW))
        submit(dispatcher, "a", pinned="t1")
        self.assertEqual(submit(dispatcher, "b", pinned="t1"), [Queued("b")])
        decisions = dispatcher.finished("a", 1.0, FinishKind.OK, 1.0)
        self.assertEqual(starts(decisions), {"b": "t1"})

    def test_stream_uses_no_slot(self):
        dispatcher = make_dispatcher(make_record(FLOW, targets=1))
        submit(dispatcher, "s", pinned="t0", stream=True)
        self.assertEqual(dispatcher.in_flight("t0"), 0)
        self.assertEqual(starts(submit(dispatcher, "a", pinned="t0")), {"a": "t0"})

    def test_waiting_stream_needs_no_slot(self):
        dispatcher = make_dispatcher(make_record(FLOW, targets=1), probe=False)
        submit(dispatcher, "a", pinned="t0")
        submit(dispatcher, "s", pinned="t0", stream=True)
        self.assertEqual(
            starts(dispatcher.on_probe("t0", 0.1, ready())), {"a": "t0", "s": "t0"}
        )

    def test_peer_in_flight_count_reserves_slots_until_it_expires(self):
        dispatcher = make_dispatcher(make_record(targets=1))
        dispatcher.on_peer_in_flight("other", {"t0": 1}, 0.0)
        self.assertEqual(submit(dispatcher, "a"), [Queued("a")])
        self.assertEqual(starts(dispatcher.tick(5.0)), {"a": "t0"})

    def test_spill_share_limits_requests_to_other_zones(self):
        dispatcher = make_dispatcher(make_record(slots=2, spill_share=0.0))
        chosen = [starts(submit(dispatcher, i))[i] for i in range(3)]
        self.assertEqual(chosen[:2], ["t0", "t0"])
        self.assertNotEqual(chosen[2], "t0")


class LeavingTargetTest(unittest.TestCase):
    def assert_waiting_request_moves(self, make_target_leave):
        record = make_record(FLOW, targets=2)
        dispatcher = make_dispatcher(record)
        submit(dispatcher, "a", pinned="t0")
        submit(dispatcher, "b", pinned="t0")
        decisions = make_target_leave(dispatcher, record)
        self.assertEqual(decisions[0], Repin("b", "t0", "t1"))
        self.assertEqual(starts(decisions), {"b": "t1"})
        dispatcher.finished("a", 1.0, FinishKind.OK, 1.0)
        dispatcher.finished("b", 1.0, FinishKind.OK, 1.0)
        self.assertEqual(
            starts(submit(dispatcher, "c", now_s=1.0, pinned="t0")), {"c": "t1"}
        )

    def test_record_marks_target_draining(self):
        self.assert_waiting_request_moves(
            lambda d, record: d.update_record(mark_draining(record, "t0"), 0.5)
        )

    def test_health_endpoint_reports_draining(self):
        result = ready(state=TargetHealth.DRAINING)
        self.assert_waiting_request_moves(lambda d, _: d.on_probe("t0", 0.5, result))

    def test_peer_reports_draining_before_health_endpoint(self):
        def make_target_leave(dispatcher, _):
            decisions = dispatcher.on_draining_note("t0", 100, 0.5)
            dispatcher.on_probe("t0", 0.6, ready())
            return decisions

        self.assert_waiting_request_moves(make_target_leave)

    def test_target_removed_from_record(self):
        def make_target_leave(dispatcher, record):
            newer = dataclasses.replace(record, targets=record.targets[1:], version=2)
            return dispatcher.update_record(newer, 0.5)

        self.assert_waiting_request_moves(make_target_leave)

    def test_older_record_is_ignored(self):
        record = make_record(version=5)
        dispatcher = make_dispatcher(record)
        dispatcher.update_record(mark_draining(record, "t0", version=4), 0.5)
        self.assertEqual(dispatcher.snapshot().record_version, 5)
        self.assertEqual(dispatcher.snapshot().targets[0].state, "ready")


class AdmissionTest(unittest.TestCase):
    def test_request_with_too_long_predicted_wait_is_refused(self):
        dispatcher = make_dispatcher(make_record(targets=1), initial_service_time_s=1)
        submit(dispatcher, "a")
        submit(dispatcher, "b")
        (refusal,) = submit(dispatcher, "c", deadline_at_s=2.0)
        self.assertEqual(refusal.reason, RefusalReason.WAIT_TOO_LONG)
        self.assertGreaterEqual(refusal.retry_after_ms, 2000)

    def test_full_queue_refuses_last_request_in_order(self):
        dispatcher = make_dispatcher(make_record(targets=1, waiting_per_slot=1))
        submit(dispatcher, "a")
        submit(dispatcher, "new", established=False)
        decisions = submit(dispatcher, "old")
        self.assertEqual(decisions[0].request_id, "new")
        self.assertEqual(decisions[0].reason, RefusalReason.QUEUE_FULL)
        self.assertEqual(decisions[1], Queued("old"))
        (refusal,) = submit(dispatcher, "late", now_s=0.1)
        self.assertEqual(refusal.request_id, "late")

    def test_new_flows_fill_only_a_share_of_the_queue(self):
        dispatcher = make_dispatcher(make_record(targets=1, waiting_per_slot=4))
        submit(dispatcher, "running")
        for name in "ab":
            submit(dispatcher, name, established=False)
        (refusal,) = submit(dispatcher, "c", established=False)
        self.assertEqual(refusal.reason, RefusalReason.QUEUE_FULL)
        self.assertEqual(submit(dispatcher, "d"), [Queued("d")])

    def test_queue_limit_counts_only_usable_slots(self):
        dispatcher = make_dispatcher(
            make_record(targets=2, waiting_per_slot=1), attempts=1
        )
        submit(dispatcher, "a")
        submit(dispatcher, "b")
        dispatcher.finished("a", 0.1, FinishKind.SHED, 0.1, 9.0)
        self.assertEqual(submit(dispatcher, "c", now_s=0.2), [Queued("c")])
        (refusal,) = submit(dispatcher, "d", now_s=0.2)
        self.assertEqual(refusal.reason, RefusalReason.QUEUE_FULL)

    def test_service_cannot_use_waiting_share_of_another(self):
        allowance = WaitingAllowance(capacity=2)
        allowance.add_service("other")
        dispatcher = ServiceDispatcher(
            DispatchSettings(), make_record(targets=1), "zone0", 0.0, allowance
        )
        submit(dispatcher, "a")
        submit(dispatcher, "b")
        (refusal,) = submit(dispatcher, "c")
        self.assertEqual(refusal.reason, RefusalReason.INSTANCE_FULL)
        self.assertTrue(allowance.acquire("other"))

    def test_expired_request_is_refused_as_not_run(self):
        dispatcher = make_dispatcher(make_record(targets=1))
        submit(dispatcher, "a")
        submit(dispatcher, "b", deadline_at_s=1.0)
        (refusal,) = dispatcher.tick(1.0)
        self.assertIsInstance(refusal, Refuse)
        self.assertEqual(refusal.reason, RefusalReason.DEADLINE_PASSED)

    def test_waiting_request_that_would_miss_its_deadline_is_refused(self):
        dispatcher = make_dispatcher(make_record(targets=1), initial_service_time_s=1)
        submit(dispatcher, "a")
        submit(dispatcher, "b", deadline_at_s=3.0, idempotent=False)
        (refusal,) = dispatcher.finished("a", 2.5, FinishKind.OK, 1.0)
        self.assertEqual(refusal.reason, RefusalReason.DEADLINE_PASSED)

    def test_short_requests_precede_long_ones_without_starvation(self):
        dispatcher = make_dispatcher(make_record(targets=1), long_request_delay_s=2)
        submit(dispatcher, "a")
        submit(dispatcher, "long", cost_class=CostClass.LONG)
        submit(dispatcher, "short", now_s=1.0)
        submit(dispatcher, "later", now_s=2.5)
        order = []
        running = "a"
        for now_s in (3.0, 4.0, 5.0):
            decisions = dispatcher.finished(running, now_s, FinishKind.OK, 1.0)
            (running,) = starts(decisions)
            order.append(running)
        self.assertEqual(order, ["short", "long", "later"])

    def test_cancel_removes_waiting_and_cancels_running_request(self):
        dispatcher = make_dispatcher(make_record(targets=1))
        submit(dispatcher, "a")
        submit(dispatcher, "b")
        (refusal,) = dispatcher.cancel("b", 0.1)
        self.assertEqual(refusal.reason, RefusalReason.CANCELLED)
        self.assertIsInstance(dispatcher.cancel("a", 0.1)[0], CancelRunning)
        self.assertEqual(dispatcher.finished("a", 0.2, FinishKind.CANCELLED, 0.2), [])
        self.assertEqual(dispatcher.in_flight("t0"), 0)


class RetryTest(unittest.TestCase):
    def test_shed_request_is_retried_at_another_target(self):
        dispatcher = make_dispatcher()
        first = starts(submit(dispatcher, "a", idempotent=False))["a"]
        decisions = dispatcher.finished("a", 0.1, FinishKind.SHED, 0.1, 5.0)
        self.assertNotEqual(starts(decisions)["a"], first)

    def test_shedding_target_backs_off_for_the_requested_time(self):
        dispatcher = make_dispatcher(make_record(targets=1))
        submit(dispatcher, "a")
        self.assertEqual(dispatcher.finished("a", 0.1, FinishKind.SHED, 0.1, 5.0), [])
        self.assertEqual(dispatcher.tick(5.0), [])
        self.assertEqual(starts(dispatcher.tick(5.2)), {"a": "t0"})

    def test_retry_budget_limits_retries(self):
        dispatcher = make_dispatcher(
            make_record(targets=20),
            retry_burst=3,
            retry_share=0,
            retry_constant_per_s=0,
        )
        outcomes = []
        for i in range(5):
            submit(dispatcher, i)
            outcomes += dispatcher.finished(i, 0.1, FinishKind.SHED, 0.1, 1.0)
        self.assertEqual(len(starts(outcomes)), 3)
        refused = [d.reason for d in outcomes if isinstance(d, Refuse)]
        self.assertEqual(refused, [RefusalReason.TARGETS_SHED] * 2)

    def test_broken_non_idempotent_request_is_not_retried(self):
        dispatcher = make_dispatcher()
        submit(dispatcher, "a", idempotent=False)
        (failure,) = dispatcher.finished("a", 0.1, FinishKind.BROKEN, 0.1)
        self.assertEqual(failure.reason, FailReason.BROKEN)

    def test_request_is_not_refused_after_attempt_that_may_have_run(self):
        dispatcher = make_dispatcher(attempts=2)
        submit(dispatcher, "a")
        decisions = dispatcher.finished("a", 0.1, FinishKind.BROKEN, 0.1)
        self.assertIn("a", starts(decisions))
        (failure,) = dispatcher.finished("a", 0.2, FinishKind.SHED, 0.1, 1.0)
        self.assertIsInstance(failure, Fail)
        self.assertEqual(failure.reason, FailReason.RETRY_REFUSED)

    def test_failed_connection_moves_the_flow(self):
        dispatcher = make_dispatcher(make_record(FLOW, targets=2))
        submit(dispatcher, "a", pinned="t0", idempotent=False)
        decisions = dispatcher.finished("a", 0.1, FinishKind.CONNECT_FAILED, 0.1)
        self.assertEqual(decisions[0], Repin("a", "t0", "t1"))


class FailingTargetTest(unittest.TestCase):
    def states(self, dispatcher):
        return [target.state for target in dispatcher.snapshot().targets]

    def test_stalled_target_is_ejected_although_it_reports_no_load(self):
        dispatcher = make_dispatcher(make_record(targets=2), stall_min_s=2.0)
        stuck = starts(submit(dispatcher, "a"))["a"]
        for tick in range(40):
            now_s = tick * 0.1
            dispatcher.on_probe(stuck, now_s, ready(int(stuck[1:])))
        self.assertEqual(sorted(self.states(dispatcher)), ["ejected", "ready"])

    def test_one_slow_request_causes_no_ejection(self):
        dispatcher = make_dispatcher(make_record(targets=2, slots=2), stall_min_s=2.0)
        target = starts(submit(dispatcher, "slow"))["slow"]
        dispatcher.tick(10.0)
        for i in range(3):
            submit(dispatcher, i, now_s=10.0)
        self.assertEqual(dispatcher.in_flight(target), 2)
        dispatcher.tick(11.0)
        self.assertEqual(self.states(dispatcher), ["ready", "ready"])

    def test_late_answers_to_short_deadlines_cause_no_ejection(self):
        dispatcher = make_dispatcher(make_record(targets=2), initial_service_time_s=1)
        for i in range(20):
            submit(dispatcher, i, now_s=float(i), deadline_at_s=i + 0.05)
            dispatcher.finished(i, i + 0.05, FinishKind.LATE, 0.05)
        self.assertEqual(self.states(dispatcher), ["ready", "ready"])
        self.assertEqual(dispatcher.snapshot().short_service_time_s, 1.0)

    def eject(self, dispatcher):
        dispatcher.on_peer_in_flight("peer", {"t1": 1}, 0.0)
        for i in range(3):
            submit(dispatcher, i, now_s=0.0)
            dispatcher.finished(i, 0.0, FinishKind.LATE, 1.0)
        dispatcher.remove_peer("peer", 0.0)

    def test_ejected_target_is_tried_with_one_idempotent_request(self):
        dispatcher = make_dispatcher(make_record(targets=2, slots=2), ejection_s=2)
        self.eject(dispatcher)
        submit(dispatcher, "x", now_s=3.0, idempotent=False)
        submit(dispatcher, "y", now_s=3.0, idempotent=False)
        self.assertEqual(self.states(dispatcher), ["trial", "ready"])
        self.assertEqual(
            submit(dispatcher, "z", now_s=3.0, idempotent=False), [Queued("z")]
        )
        trial = submit(dispatcher, "a", now_s=3.0)
        self.assertEqual(starts(trial), {"a": "t0"})
        dispatcher.finished("a", 3.5, FinishKind.OK, 0.5)
        self.assertEqual(self.states(dispatcher), ["cold", "ready"])

    def test_ejected_share_limit_is_respected(self):
        dispatcher = make_dispatcher(make_record(targets=4), attempts=1)
        for i in range(60):
            submit(dispatcher, i, now_s=float(i) / 100)
            dispatcher.finished(i, float(i) / 100, FinishKind.LATE, 1.0)
        self.assertEqual(self.states(dispatcher).count("ejected"), 2)

    def test_failing_health_endpoint_halves_usable_slots(self):
        dispatcher = make_dispatcher(make_record(targets=3, slots=2))
        dispatcher.on_probe("t0", 0.1, ProbeFailed())
        for i in range(6):
            submit(dispatcher, i, now_s=0.2)
        self.assertEqual(dispatcher.in_flight("t0"), 1)

    def test_failing_health_endpoint_keeps_all_slots_for_pinned_flows(self):
        dispatcher = make_dispatcher(make_record(FLOW, targets=3, slots=2))
        dispatcher.on_probe("t0", 0.1, ProbeFailed())
        for i in range(2):
            decisions = submit(dispatcher, i, now_s=0.2, pinned="t0")
            self.assertEqual(starts(decisions), {i: "t0"})

    def test_recovered_probe_ends_ejection_after_failed_connections(self):
        dispatcher = make_dispatcher(make_record(targets=2), attempts=1)
        dispatcher.on_peer_in_flight("peer", {"t1": 1}, 0.0)
        for i in range(3):
            submit(dispatcher, i, now_s=3.0 * i)
            dispatcher.finished(i, 3.0 * i, FinishKind.CONNECT_FAILED, 0.0)
            dispatcher.on_peer_in_flight("peer", {"t1": 1}, 3.0 * i)
        self.assertEqual(self.states(dispatcher)[0], "ejected")
        dispatcher.on_probe("t0", 6.1, ProbeFailed())
        dispatcher.on_probe("t0", 6.6, ready(0))
        self.assertEqual(self.states(dispatcher)[0], "trial")

    def test_health_is_ignored_when_all_health_endpoints_fail(self):
        dispatcher = make_dispatcher(make_record(targets=3, slots=2))
        for i in range(3):
            dispatcher.on_probe(f"t{i}", 0.1, ProbeFailed())
        for i in range(6):
            self.assertIn(i, starts(submit(dispatcher, i, now_s=0.2)))

    def test_replaced_target_begins_with_slow_start(self):
        dispatcher = make_dispatcher(make_record(targets=1, slots=2), slow_start_s=10)
        dispatcher.on_probe("t0", 0.1, ready(5))
        self.assertIn("a", starts(submit(dispatcher, "a", now_s=0.2)))
        self.assertEqual(submit(dispatcher, "b", now_s=0.2), [Queued("b")])
        self.assertEqual(starts(dispatcher.tick(5.2)), {"b": "t0"})

    def test_wrong_load_report_leaves_one_slot_usable(self):
        dispatcher = make_dispatcher(make_record(targets=1, slots=2))
        dispatcher.on_probe("t0", 0.1, ready(in_progress=2, waiting=9))
        self.assertIn("a", starts(submit(dispatcher, "a", now_s=0.2)))
        self.assertEqual(submit(dispatcher, "b", now_s=0.2), [Queued("b")])
        self.assertEqual(starts(dispatcher.tick(1.9)), {"b": "t0"})


if __name__ == "__main__":
    unittest.main()
