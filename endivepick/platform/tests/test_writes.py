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


class Store:
    """Object store with a script of faults, one for each call.

    ``lost`` takes effect without an answer, ``cut`` has no effect and no answer,
    a callable runs first.
    """

    def __init__(self, *script):
        self.script = list(script)
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
        fault = self.script.pop(0) if self.script else "ok"
        if isinstance(fault, NotSent | Answer):
            return fault
        if callable(fault):
            fault(self)
        answer = Answer(404, b"", None) if fault == "cut" else self._run(method, body)
        return AnswerLost("reset") if fault in ("lost", "cut") else answer

    def _run(self, method, body):
        if method == "GET":
            return self._show() if self.current else Answer(404, b"", None)
        standing = self.current.version if self.current else 0
        if body["if_version"] != standing:
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
        pause=lambda wait_s: None,
        random_share=lambda: 0.5,
    )
    body = {"write_id": "mine"}
    return writer.put(ConditionalWrite("service", "notes", body, if_version, None))


class TestPut(unittest.TestCase):
    def test_lost_answer_after_the_effect_is_found_out(self):
        for if_version in (0, 1):
            store = Store("lost")
            for _ in range(if_version):
                store.write("other")
            with self.subTest(if_version=if_version):
                version = put(store, if_version).unwrap().version
                self.assertEqual(version, if_version + 1)
                self.assertEqual(len(store.events), if_version + 1)

    def test_call_cut_before_the_effect_is_sent_again(self):
        for if_version in (0, 1):
            store = Store("cut", "cut")
            for _ in range(if_version):
                store.write("other")
            with self.subTest(if_version=if_version):
                self.assertEqual(
                    put(store, if_version).unwrap().version, if_version + 1
                )

    def test_lost_answer_and_a_later_writer(self):
        store = Store("lost", lambda store: store.write("other"))
        store.write("first")
        self.assertEqual(put(store, 1).unwrap().version, 2)

    def test_later_writer_and_no_history_leaves_it_unknown(self):
        store = Store("lost", lambda store: store.write("other"))
        store.write("first")
        result = put(store, 1, lambda *args: Failure(WatchExpiredError("gone")))
        self.assertIsInstance(result.failure(), WriteOutcomeUnknownError)

    def test_platform_gone_after_a_lost_answer_leaves_it_unknown(self):
        store = Store("lost", *[NotSent("refused")] * 9)
        self.assertIsInstance(put(store, 0).failure(), WriteOutcomeUnknownError)

    def test_platform_gone_from_the_start_wrote_nothing(self):
        for outcome in (NotSent("refused"), Answer(429, b"", 2.0), Answer(503, b"", 1)):
            result = put(Store(outcome), 0)
            self.assertIsInstance(result.failure(), PlatformUnavailableError)

    def test_loser_of_a_race_sees_what_changed(self):
        store = Store()
        store.write("first")
        store.write("other")
        error = put(store, 1).failure()
        self.assertIsInstance(error, RecordConflictError)
        self.assertEqual(error.current.version, 2)
