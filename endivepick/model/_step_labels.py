"""Labels of steps in counterexamples."""

from functools import cache

from endivepick.core.messages import Open
from endivepick.core.packet_codec import decode_caller_packet
from endivepick.core.token import FlowToken
from endivepick.model._environment import View
from endivepick.model._flow_node import CODEC, NOW_S

__all__ = ["describe", "describe_view", "token_of"]


@cache
def token_of(datagram: bytes) -> FlowToken:
    """Return the token in a caller's datagram."""
    packet = decode_caller_packet(datagram)
    assert not isinstance(packet, Open)
    return CODEC.unseal(packet.token, NOW_S)


@cache
def describe(datagram: bytes) -> str:
    """Describe a caller's datagram for a counterexample."""
    packet = decode_caller_packet(datagram)
    token = token_of(datagram)
    seq = getattr(packet, "seq", "")
    name = type(packet).__name__
    return f"{name} {seq} under binding {token.binding} of {token.owner}"


@cache
def describe_view(view: View) -> str:
    """Describe an instance's belief, unless it is the usual one."""
    parts = []
    if view.suspected:
        parts.append("holder suspected")
    if view.dead:
        parts.append("holder given up")
    if view.successor:
        parts.append(f"successor {view.successor.name}#{view.successor.incarnation}")
    if view.opener:
        parts.append(f"opener {view.opener.name}")
    return f", believing {' and '.join(parts)}" if parts else ""
