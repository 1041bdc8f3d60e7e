"""Small parts of the core."""

import unittest

from endivepick.client._core.answer_window import AnswerWindow
from endivepick.client._core.event_stream import EventParser, EventTooLongError
from endivepick.client._core.receiver import PartReceiver
from endivepick.client._core.sender import SEND_WINDOW_PARTS, PartSender
from endivepick.client._core.timing import NEVER_S, Backoff, Timers


class Item:
    def __init__(self, due_at_s):
        self.due_at_s = due_at_s
        self.listed_at_s = NEVER_S


class TestReceiver(unittest.TestCase):
    def setUp(self):
        self.receiver = PartReceiver(AnswerWindow(64, 256))

    def _accept(self, *indexes, now_s=0.0):
        for index in indexes:
            self.receiver.accept(index, False, b"", now_s)
            list(self.receiver.take_ready())

    def test_missing_part_is_listed_after_three_later_ones(self):
        self._accept(0, 2, 3)
        self.assertIsNone(self.receiver.report_if_due(0.0, 0.03))
        self._accept(4)
        self.assertEqual(self.receiver.report_if_due(0.0, 0.03), [1])
        self._accept(5)
        self.assertIsNone(self.receiver.report_if_due(0.0, 0.03))

    def test_missing_part_is_listed_again_after_a_while(self):
        self._accept(0, 2, 3, 4)
        self.receiver.report_if_due(0.0, 0.03)
        self._accept(*range(5, 21))
        self.assertEqual(self.receiver.report_if_due(0.1, 0.03), [1])

    def test_report_without_progress_or_loss_is_not_sent(self):
        self._accept(0, 2, 3, 4)
        self.receiver.report_if_due(0.0, 0.03)
        self._accept(*range(5, 21))
        self.assertIsNone(self.receiver.report_if_due(0.01, 0.03))

    def test_part_that_came_late_teaches_patience(self):
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
    def test_window_bounds_parts_under_way(self):
        sender = PartSender(bytes(100 * 1024))
        self.assertEqual(len(list(sender.take_new(0.0))), SEND_WINDOW_PARTS)
        self.assertEqual(sender.report(2, [3, 5], 1.0, 0.03), [3, 5])
        self.assertEqual(list(sender.take_new(1.0)), [32, 33])
        again = list(sender.take_unconfirmed(2.0))
        self.assertEqual(again[:4], [2, 3, 5, 6])

    def test_part_sent_a_moment_ago_is_not_sent_again(self):
        sender = PartSender(bytes(5000))
        list(sender.take_new(0.0))
        self.assertEqual(sender.report(0, [1], 0.01, 0.03), [])

    def test_last_report_counts_also_if_less_is_confirmed_than_before(self):
        sender = PartSender(bytes(30 * 1024))
        list(sender.take_new(0.0))
        sender.report(20, [], 1.0, 0.03)
        self.assertEqual(sender.report(0, [1, 2], 2.0, 0.03), [1, 2])
        self.assertEqual(list(sender.take_unconfirmed(3.0))[:2], [0, 1])


class TestTiming(unittest.TestCase):
    def test_timers_give_items_when_due_and_drop_ended_ones(self):
        timers = Timers()
        items = [Item(float(due)) for due in range(1, 201)]
        for item in items:
            timers.update(item)
        for item in items[1:]:
            timers.cancel(item)
        self.assertLess(len(timers), 100)
        self.assertIs(timers.pop_due(500.0), items[0])
        self.assertIsNone(timers.pop_due(500.0))

    def test_item_that_moved_ahead_comes_up_later(self):
        timers = Timers()
        item = Item(1.0)
        timers.update(item)
        item.due_at_s = 5.0
        self.assertIsNone(timers.pop_due(2.0))
        self.assertIs(timers.pop_due(5.0), item)

    def test_backoff_doubles_up_to_its_limit_with_spread(self):
        backoff = Backoff(seed=1, limit_s=1.0)
        waits_s = [backoff.next_s(0.05) for _ in range(40)]
        self.assertLess(waits_s[0], 0.07)
        self.assertTrue(all(0.75 <= wait_s <= 1.25 for wait_s in waits_s[10:]))
        self.assertGreater(len(set(waits_s)), 30)

    def test_each_long_interval_of_a_paired_backoff_is_followed_by_the_base(self):
        backoff = Backoff(seed=1, limit_s=1.0, pairs_from_s=0.2)
        waits_s = [backoff.next_s(0.05) for _ in range(9)]
        wanted_s = (0.05, 0.1, 0.2, 0.05, 0.4, 0.05, 0.8, 0.05, 1.0)
        for wait_s, about_s in zip(waits_s, wanted_s, strict=True):
            self.assertTrue(0.75 * about_s <= wait_s <= 1.25 * about_s)


class TestEventParser(unittest.TestCase):
    def test_events_are_the_same_however_the_bytes_are_cut(self):
        text = b": hi\r\nid: 1\r\nevent: alert\r\ndata: a\r\ndata: b\r\n\r\ndata:c\n\n"
        for size in (1, 2, 7, len(text)):
            parser = EventParser()
            events = []
            for start in range(0, len(text), size):
                events += parser.feed(text[start : start + size])
            self.assertEqual([e.data for e in events], ["a\nb", "c"])
            self.assertEqual([e.event for e in events], ["alert", "message"])
            self.assertEqual(parser.last_event_id, "1")

    def test_event_without_end_is_refused(self):
        with self.assertRaises(EventTooLongError):
            list(EventParser().feed(bytes(2 << 20)))


if __name__ == "__main__":
    unittest.main()
