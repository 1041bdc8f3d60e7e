"""The caller library's rules about one request, in the abstract."""

from collections.abc import Iterator

from endivepick.core.messages import (
    Acknowledge,
    AnswerPart,
    Cancel,
    FlowClosed,
    InstancePacket,
    Refused,
    Reissued,
)
from endivepick.core.messages import Outcome as OutcomePacket
from endivepick.core.packet_codec import encode_packet
from endivepick.model._flow_state import Bounds, Caller, Outcome, World, request

__all__ = ["steps"]

CallerStep = tuple[str, Caller, frozenset[bytes]]
_NOTHING: frozenset[bytes] = frozenset()


def steps(world: World, bounds: Bounds) -> Iterator[CallerStep]:
    """Yield what the caller may do: label, state after it, packets sent."""
    caller = world.caller
    if caller.outcome is Outcome.WAITING:
        for packet in world.told:
            yield from _receive(caller, packet, bounds)
        if bounds.cancels:
            sent = frozenset([encode_packet(Cancel(caller.token, caller.seq))])
            yield "gives up", caller._replace(outcome=Outcome.UNKNOWN), sent
        if bounds.closes:
            closed = caller._replace(outcome=Outcome.UNKNOWN)
            yield "closes the flow", closed, _closing(caller)
        return
    if bounds.closes and not _closing(caller) <= world.packets:
        yield "closes the flow", caller, _closing(caller)
    if bounds.acknowledges:
        done = encode_packet(Acknowledge(caller.token, caller.seq, 1, [], 1, True))
        if done not in world.packets:
            yield "acknowledges the end", caller, frozenset([done])
    if bounds.next_request and not caller.next_seq:
        seq = caller.seq + 1
        sent = frozenset([request(caller.token, seq, bounds)])
        yield "sends its next request", caller._replace(next_seq=seq), sent
    if caller.outcome is Outcome.NOT_RUN and caller.new_numbers:
        yield _try_again(caller, bounds)


def _closing(caller: Caller) -> frozenset[bytes]:
    return frozenset([encode_packet(FlowClosed(caller.token))])


def _receive(
    caller: Caller, packet: InstancePacket, bounds: Bounds
) -> Iterator[CallerStep]:
    match packet:
        case Reissued(old_binding=caller.binding):
            yield from _reissued(caller, packet, bounds)
        case AnswerPart(binding=caller.binding, seq=caller.seq):
            yield "gets the answer", _ended(caller, Outcome.ANSWERED), _NOTHING
        case OutcomePacket(binding=caller.binding, seq=caller.seq):
            yield "hears 'outcome unknown'", _ended(caller, Outcome.UNKNOWN), _NOTHING
        case Refused(binding=caller.binding, seq=caller.seq):
            yield "hears 'not run'", _refused(caller, bounds), _NOTHING


def _ended(caller: Caller, outcome: Outcome) -> Caller:
    return caller._replace(outcome=outcome)


def _refused(caller: Caller, bounds: Bounds) -> Caller:
    if caller.may_have_run and not bounds.caller.believes_last_refusal:
        return _ended(caller, Outcome.UNKNOWN)
    return _ended(caller, Outcome.NOT_RUN)


def _reissued(caller: Caller, packet: Reissued, bounds: Bounds) -> Iterator[CallerStep]:
    if packet.continues:
        if packet.token == caller.token:
            return
        sent = request(packet.token, caller.seq, bounds)
        yield "goes on", caller._replace(token=packet.token), frozenset([sent])
        return
    if not (bounds.idempotent or bounds.caller.resends_non_idempotent):
        ended = _ended(caller, Outcome.UNKNOWN)
        ended = ended._replace(token=packet.token, binding=packet.binding)
        yield "learns that the owner was lost", ended, _NOTHING
        return
    seq = caller.seq + 1
    again = caller._replace(
        token=packet.token, binding=packet.binding, seq=seq, may_have_run=True
    )
    sent = request(packet.token, seq, bounds)
    yield "sends again under a new binding", again, frozenset([sent])


def _try_again(caller: Caller, bounds: Bounds) -> CallerStep:
    """Use a new number after "not run"."""
    again = caller._replace(
        seq=caller.seq + 1,
        outcome=Outcome.WAITING,
        new_numbers=caller.new_numbers - 1,
    )
    sent = frozenset([request(again.token, again.seq, bounds)])
    return "tries again under a new number", again, sent
