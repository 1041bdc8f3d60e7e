import unittest

from returns.result import Failure, Success

from endivepick.errors import (
    PlatformUnavailableError,
    RecordConflictError,
    WatchExpiredError,
    WriteOutcomeUnknownError,
)
from endivepick.platform.answers import WatchResult
from endivepick.platform.settings import PlatformSettings
from endivepick.platform.writes import ConditionalWrite, ConditionalWriter
from endivepick.records.objects import StoredObject
from endivepick.store import Answer, AnswerLost, NotSent


class FaultyStore:
    """Object store with one injected fault per call.

    With ``lost`` the call takes effect and its answer is lost, with ``cut`` it has
    neither effect nor answer.  A callable runs before the call.
    """

    def __init__(self, *faults):
        self.faults = list(faults)
        self.events = []

    def write(self, write_id):
        version = len(self.events) + 1
        body = None if write_id is None else {"write_id": write_id}
        self.events.append(StoredObject("service", "notes", version, body))

    @property
    def current(self):
        live = self.events and not self.events[-1].deleted
        return self.events[-1] if live else None

    def call(self, method, path, query=None, body=None, wait_s=0.0):
        fault = self.faults.pop(0) if self.faults else "ok"
        if isinstance(fault, NotSent | Answer):
            return fault
        if callable(fault):
            fault(self)
        answer = Answer(404, b"", None) if fault == "cut" else self._run(method, body)
        return AnswerLost("reset") if fault in ("lost", "cut") else answer

    def _run(self, method, body):
        if method == "GET":
            return self._show() if self.current else Answer(404, b"", None)
        current_version = self.current.version if self.current else 0
        if body["if_version"] != current_version:
            current = self._show().data if self.current else b"null"
            return Answer(409, b'{"current":' + current + b"}", None)
        self.write(body["body"]["write_id"])
        return self._show()

    def _show(self):
        stored = self.current
        text = (
            f'{{"kind":"service","name":"notes","version":{stored.version},'
            f'"body":{{"write_id":"{stored.body["write_id"]}"}}}}'
        )
        return Answer(200, text.encode(), None)

    def history(self, kinds, after, wait_s):
        return Success(WatchResult(after, 9, tuple(self.events[after:])))


def put(store, if_version, history=None):
    writer = ConditionalWriter(
        store,
        PlatformSettings("127.0.0.1:1"),
        history or store.history,
        sleep=lambda wait_s: None,
        random_share=lambda: 0.5,
    )
    body = {"write_id": "mine"}
    return writer.put(ConditionalWrite("service", "notes", body, if_version, None))


class TestPut(unittest.TestCase):
    def test_lost_answer_after_the_effect_is_resolved(self):
        for if_version in (0, 1):
            store = FaultyStore("lost")
            for _ in range(if_version):
                store.write("other")
            with self.subTest(if_version=if_version):
                version = put(store, if_version).unwrap().version
                self.assertEqual(version, if_version + 1)
                self.assertEqual(len(store.events), if_version + 1)

    def test_call_lost_before_the_effect_is_retried(self):
        for if_version in (0, 1):
            store = FaultyStore("cut", "cut")
            for _ in range(if_version):
                store.write("other")
            with self.subTest(if_version=if_version):
                self.assertEqual(
                    put(store, if_version).unwrap().version, if_version + 1
                )

    def test_lost_answer_and_a_later_writer(self):
        store = FaultyStore("lost", lambda store: store.write("other"))
        store.write("first")
        self.assertEqual(put(store, 1).unwrap().version, 2)

    def test_later_writer_without_history_leaves_the_outcome_unknown(self):
        store = FaultyStore("lost", lambda store: store.write("other"))
        store.write("first")
        result = put(store, 1, lambda *args: Failure(WatchExpiredError("gone")))
        self.assertIsInstance(result.failure(), WriteOutcomeUnknownError)

    def test_unreachable_platform_after_a_lost_answer_leaves_the_outcome_unknown(self):
        store = FaultyStore("lost", *[NotSent("refused")] * 9)
        self.assertIsInstance(put(store, 0).failure(), WriteOutcomeUnknownError)

    def test_unreachable_platform_writes_nothing(self):
        for outcome in (NotSent("refused"), Answer(429, b"", 2.0), Answer(503, b"", 1)):
            result = put(FaultyStore(outcome), 0)
            self.assertIsInstance(result.failure(), PlatformUnavailableError)

    def test_conflict_reports_the_stored_version(self):
        store = FaultyStore()
        store.write("first")
        store.write("other")
        error = put(store, 1).failure()
        self.assertIsInstance(error, RecordConflictError)
        self.assertEqual(error.current.version, 2)
