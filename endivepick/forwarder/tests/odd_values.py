"""Odd values of messages and objects, and a forwarder's core that uses the others."""

import json

import msgspec

from endivepick.forwarder.decision_log import DecisionLog
from endivepick.forwarder.load_status_builder import read_load_status
from endivepick.forwarder.logs import BoundedLog
from endivepick.forwarder.metrics import ForwarderMetrics
from endivepick.forwarder.news_handler import NewsHandler
from endivepick.forwarder.status import build_status
from endivepick.forwarding import (
    BeliefChange,
    DecisionRecord,
    Forward,
    OpeningRejected,
)
from endivepick.forwarding.tests.support import (
    data,
    flow_key,
    make_core,
    make_target,
    opening,
)

ODD_VALUES = {
    "nested too deep": b"[" * 5000 + b"]" * 5000,
    "objects nested too deep": b'{"a":' * 5000 + b"1" + b"}" * 5000,
    "nested nearly too deep": b"[" * 900 + b"]" * 900,
    "beyond 64 bits": b"9" * 30,
    "negative beyond 64 bits": b"-" + b"9" * 30,
    "beyond a float": b"9" * 400,
    "negative beyond a float": b"-" + b"9" * 400,
    "longest integer": b"9" * 4300,
    "integer too long": b"9" * 6000,
    "exponent too large": b"1e999",
    "large exponent": b"1e308",
    "smallest number": b"5e-324",
    "no number": b"NaN",
    "port out of range": b'"10.0.0.1:70000"',
    "port 0": b'"10.0.0.1:0"',
    "port too long": b'"10.0.0.1:' + b"9" * 5000 + b'"',
    "port in other digits": '"10.0.0.1:٨٠"'.encode(),
    "route port out of range": b'"/70000/"',
    "negative": b"-1",
    "no UTF-8": b'"\xff"',
    "half of a character": b'"\\ud800"',
    "zero byte": b'"\\u0000"',
    "nothing": b"null",
    "empty text": b'""',
    "list": b"[]",
    "object": b"{}",
}
_PLACE = "the place of the odd value"


def list_variants(message, values=None):
    """Yield the encodings of a message with an odd value at each place of it.

    Parameters
    ----------
    message : Struct or list
        The message.
    values : dict of str to bytes, default=None
        The odd values by their description, all if None.

    Yields
    ------
    tuple of (str, bytes)
        Description and encoding.
    """
    value = msgspec.to_builtins(message)
    for place, variant in _replace_each(value):
        encoded = json.dumps(variant).encode()
        for case, odd in (values or ODD_VALUES).items():
            yield f"{place}: {case}", encoded.replace(json.dumps(_PLACE).encode(), odd)


def _replace_each(value):
    """Yield place and copy of a value, with a part replaced by the place holder."""
    yield "", _PLACE
    if isinstance(value, dict):
        for key, part in value.items():
            for place, variant in _replace_each(part):
                yield f".{key}{place}", value | {key: variant}
        yield ".unknown", value | {"unknown": _PLACE}
    if isinstance(value, list | tuple):
        for index, part in enumerate(value):
            for place, variant in _replace_each(part):
                changed = [*value[:index], variant, *value[index + 1 :]]
                yield f"[{index}]{place}", changed


class Reader:
    """Core and log of a forwarder, used as its tasks use them."""

    def __init__(self, shares_load=False):
        self.lines = []
        log = BoundedLog("a", lambda data: self.lines.append(data) or len(data))
        self.core = make_core(
            [make_target("i-1", cold_s=60.0)],
            zones=2,
            shares_load=shares_load,
            limits_overload=shares_load,
        )
        self.core.set_instance_bound(75)
        self.decisions = DecisionLog(log, ForwarderMetrics())
        self.news = NewsHandler(self.core, self.decisions, log.flush)

    def exercise(self):
        """Open flows, and write what is known to the log, a page and a message."""
        core = self.core
        core.on_wall_clock(1.8e9)
        for number in range(3):
            flow = flow_key(1000 + number, port=8080)
            verdict = core.on_packet(opening(flow), b"", 1.0 + number)
            if isinstance(verdict, Forward):
                core.on_packet(data(flow, verdict.belief.cookie), b"", 1.1 + number)
            core.tick(1.5 + number, 1.0)
        for effect in core.effects:
            match effect:
                case DecisionRecord():
                    self.decisions.log_decision(effect)
                case BeliefChange():
                    self.decisions.log_belief_change(effect)
                case OpeningRejected():
                    self.decisions.log_opening_rejected(effect)
        self.decisions.log.flush()
        msgspec.json.encode(build_status(core, 4.0))
        msgspec.json.encode(read_load_status(core, 4.0))
        pass_on(core.registry.news_since(0))
        pass_on(core.routes.configuration)


def pass_on(message):
    """Encode a message for another instance and decode it there."""
    body = msgspec.json.encode(message)
    return msgspec.json.decode(body, type=type(message))
