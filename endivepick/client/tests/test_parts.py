"""Unit tests of the components of the protocol core."""

import unittest

from endivepick.client._core.answer_window import AnswerWindow
from endivepick.client._core.event_stream import EventParser, EventTooLongError
from endivepick.client._core.receiver import PartReceiver
from endivepick.client._core.sender import SEND_WINDOW_PARTS, PartSender
from endivepick.client._core.timing import NEVER_S, Backoff, Timers


class FakeTimed:
    def __init__(self, due_at_s):
        self.due_at_s = due_at_s
        self.queued_at_s = NEVER_S


class TestReceiver(unittest.TestCase):
    def setUp(self):
        self.receiver = PartReceiver(AnswerWindow(64, 256))

    def _accept(self, *indexes, now_s=0.0):
        for index in indexes:
            self.receiver.accept(index, False, b"", now_s)
            list(self.receiver.take_ready())

    def test_missing_part_is_reported_after_three_later_ones(self):
        self._accept(0, 2, 3)
        self.assertIsNone(self.receiver.report_if_due(0.0, 0.03))
        self._accept(4)
        self.assertEqual(self.receiver.report_if_due(0.0, 0.03), [1])
        self._accept(5)
        self.assertIsNone(self.receiver.report_if_due(0.0, 0.03))

    def test_missing_part_is_reported_again_after_the_repeat_time(self):
        self._accept(0, 2, 3, 4)
        self.receiver.report_if_due(0.0, 0.03)
        self._accept(*range(5, 21))
        self.assertEqual(self.receiver.report_if_due(0.1, 0.03), [1])

    def test_report_without_progress_or_loss_is_not_sent(self):
        self._accept(0, 2, 3, 4)
        self.receiver.report_if_due(0.0, 0.03)
        self._accept(*range(5, 21))
        self.assertIsNone(self.receiver.report_if_due(0.01, 0.03))

    def test_spurious_loss_extends_the_reorder_wait(self):
        self._accept(0, 2, 3, 4)
        self.receiver.report_if_due(0.0, 0.03)
        self._accept(1, now_s=0.004)
        self._accept(1, now_s=0.005)
        self._accept(6, 7, 8, now_s=0.01)
        self.assertIsNone(self.receiver.report_if_due(0.01, 0.03))
        self.assertEqual(self.receiver.report_if_due(0.02, 0.03), [5])


class TestWindow(unittest.TestCase):
    def test_window_grows_and_halves_on_heavy_loss(self):
        window = AnswerWindow(64, 256)
        window.on_part(0)
        self.assertEqual(window.size_parts, 80)
        window.on_losses(40)
        window.on_part(200)
        self.assertEqual(window.size_parts, 40)


class TestSender(unittest.TestCase):
    def test_window_bounds_unconfirmed_parts(self):
        sender = PartSender(bytes(100 * 1024))
        self.assertEqual(len(list(sender.take_new(0.0))), SEND_WINDOW_PARTS)
        self.assertEqual(sender.on_report(2, [3, 5], 1.0, 0.03), [3, 5])
        self.assertEqual(list(sender.take_new(1.0)), [32, 33])
        again = list(sender.take_unconfirmed(2.0))
        self.assertEqual(again[:4], [2, 3, 5, 6])

    def test_recently_sent_part_is_not_retransmitted(self):
        sender = PartSender(bytes(5000))
        list(sender.take_new(0.0))
        self.assertEqual(sender.on_report(0, [1], 0.01, 0.03), [])

    def test_report_that_confirms_less_than_before_is_used(self):
        sender = PartSender(bytes(30 * 1024))
        list(sender.take_new(0.0))
        sender.on_report(20, [], 1.0, 0.03)
        self.assertEqual(sender.on_report(0, [1, 2], 2.0, 0.03), [1, 2])
        self.assertEqual(list(sender.take_unconfirmed(3.0))[:2], [0, 1])


class TestTiming(unittest.TestCase):
    def test_timers_return_due_items_and_drop_cancelled_ones(self):
        timers = Timers()
        items = [FakeTimed(float(due)) for due in range(1, 201)]
        for item in items:
            timers.update(item)
        for item in items[1:]:
            timers.cancel(item)
        self.assertLess(len(timers), 100)
        self.assertIs(timers.pop_due(500.0), items[0])
        self.assertIsNone(timers.pop_due(500.0))

    def test_postponed_item_is_returned_at_its_new_time(self):
        timers = Timers()
        item = FakeTimed(1.0)
        timers.update(item)
        item.due_at_s = 5.0
        self.assertIsNone(timers.pop_due(2.0))
        self.assertIs(timers.pop_due(5.0), item)

    def test_backoff_doubles_up_to_its_limit_with_jitter(self):
        backoff = Backoff(seed=1, limit_s=1.0)
        waits_s = [backoff.next_s(0.05) for _ in range(40)]
        self.assertLess(waits_s[0], 0.07)
        self.assertTrue(all(0.75 <= wait_s <= 1.25 for wait_s in waits_s[10:]))
        self.assertGreater(len(set(waits_s)), 30)

    def test_long_interval_of_a_paired_backoff_is_followed_by_the_base(self):
        backoff = Backoff(seed=1, limit_s=1.0, pairs_from_s=0.2)
        waits_s = [backoff.next_s(0.05) for _ in range(9)]
        wanted_s = (0.05, 0.1, 0.2, 0.05, 0.4, 0.05, 0.8, 0.05, 1.0)
        for wait_s, about_s in zip(waits_s, wanted_s, strict=True):
            self.assertTrue(0.75 * about_s <= wait_s <= 1.25 * about_s)


class TestEventParser(unittest.TestCase):
    def test_events_do_not_depend_on_chunk_boundaries(self):
        text = b": hi\r\nid: 1\r\nevent: alert\r\ndata: a\r\ndata: b\r\n\r\ndata:c\n\n"
        for size in (1, 2, 7, len(text)):
            parser = EventParser()
            events = []
            for start in range(0, len(text), size):
                events += parser.feed(text[start : start + size])
            self.assertEqual([e.data for e in events], ["a\nb", "c"])
            self.assertEqual([e.event for e in events], ["alert", "message"])
            self.assertEqual(parser.last_event_id, "1")

    def test_unterminated_event_is_rejected(self):
        with self.assertRaises(EventTooLongError):
            list(EventParser().feed(bytes(2 << 20)))


if __name__ == "__main__":
    unittest.main()
