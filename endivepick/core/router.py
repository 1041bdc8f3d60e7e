"""Routing of caller packets to the owner of their flow."""

from endivepick.core.actions import Action, Count
from endivepick.core.flow_owner import FlowOwner, TokenPacket
from endivepick.core.flow_table import FlowTable, Identity
from endivepick.core.messages import CallerAddress, CallerPacket, Open
from endivepick.core.relay import (
    FlowLocation,
    Holder,
    HolderLost,
    HolderSuspected,
    Relay,
)
from endivepick.core.roles import ServiceRoles
from endivepick.core.token import UNKNOWN_KEY, FlowToken, TokenCodec
from endivepick.errors import TokenInvalidError

__all__ = ["PacketRouter"]

UNKNOWN_SERVICE_RETRY_MS = 1000


class PacketRouter:
    """Handles each caller packet locally, forwards it, or replies for its owner.

    Parameters
    ----------
    me : Identity
        This instance.
    codec : TokenCodec
        Codec that verifies tokens.
    table : FlowTable
        Flows of this instance.
    owner : FlowOwner
        Handler for packets of flows of this instance.
    relay : Relay
        Handler for all other packets.
    roles : ServiceRoles
        Services that have a dispatcher at this instance.
    """

    def __init__(
        self,
        me: Identity,
        codec: TokenCodec,
        table: FlowTable,
        owner: FlowOwner,
        relay: Relay,
        roles: ServiceRoles,
    ) -> None:
        self._me = me
        self._codec = codec
        self._table = table
        self._owner = owner
        self._relay = relay
        self._roles = roles

    def route(
        self,
        packet: CallerPacket,
        caller: CallerAddress,
        datagram: bytes,
        hops: int,
        now_s: float,
    ) -> list[Action]:
        """Handle a packet from the fabric (``hops`` is 0) or from another instance.

        Raises
        ------
        TokenInvalidError
            If the packet's token is forged or expired.
        """
        match packet:
            case Open():
                return self._handle_open(packet, caller, datagram, hops, now_s)
            case _:
                return self._handle_token_packet(packet, caller, datagram, hops, now_s)

    def _handle_open(
        self,
        packet: Open,
        caller: CallerAddress,
        datagram: bytes,
        hops: int,
        now_s: float,
    ) -> list[Action]:
        name = self._relay.reachable_owner_name(packet.service)
        # A relayed open is handled here even if the membership views differ, which
        # prevents forwarding loops.  A leaving instance opens no flow.
        opens_here = name == self._me.name or (hops > 0 and not self._owner.leaving)
        if not opens_here:
            return self._relay.forward(Identity(name, 0), caller, hops, datagram)
        if self._owner.leaving or not self._roles.activate(packet.service, now_s):
            reason = "leaving" if self._owner.leaving else "unknown_service"
            return self._relay.refuse_open(
                packet.open_id, reason, UNKNOWN_SERVICE_RETRY_MS, caller
            )
        return self._owner.open_flow(packet.service, packet.open_id, caller, now_s)

    def _handle_token_packet(
        self,
        packet: TokenPacket,
        caller: CallerAddress,
        datagram: bytes,
        hops: int,
        now_s: float,
    ) -> list[Action]:
        try:
            token = self._codec.unseal(packet.token, now_s)
        except TokenInvalidError as error:
            if error.reason != UNKNOWN_KEY:
                raise
            # The new keyring has not arrived yet; the caller retransmits.
            return [Count("packets_dropped", UNKNOWN_KEY)]
        if self._table.get(token.binding) is not None:
            return self._handle_here(token, packet, caller, now_s)
        match self._locate(token):
            case Holder(identity=identity) if identity == self._me:
                return self._handle_as_holder(token, packet, caller, now_s)
            case Holder(identity=identity):
                self._relay.record_relayed_flow(token)
                return self._relay.forward(identity, caller, hops, datagram)
            case HolderSuspected(identity=identity):
                # A suspected instance may be alive and able to handle the packet.
                # Forward as well: the reply below may be lost.
                self._relay.record_relayed_flow(token)
                forwarded = self._relay.forward(identity, caller, hops, datagram)
                seq = getattr(packet, "seq", 0)
                unreachable = self._relay.reply_unreachable(
                    token, identity, seq, caller
                )
                return forwarded + unreachable
            case HolderLost():
                return self._relay.reissue_after_loss(token, caller, now_s)

    def _locate(self, token: FlowToken) -> FlowLocation:
        flow_successor = self._table.successor(token.binding)
        if flow_successor is None:
            return self._relay.locate(token)
        return self._relay.resolve_holder(flow_successor, token.service)

    def _handle_as_holder(
        self,
        token: FlowToken,
        packet: TokenPacket,
        caller: CallerAddress,
        now_s: float,
    ) -> list[Action]:
        issued_here = token.owner_incarnation == self._me.incarnation
        was_handed_over = self._table.successor(token.binding) is not None
        if not issued_here or was_handed_over:
            # The token names another owner whose flow was not received here, or the
            # flow was handed over from here.  A new empty window could run requests
            # twice.
            return self._relay.reissue_after_loss(token, caller, now_s)
        if not self._table.may_adopt(token):
            return self._relay.reissue_removed_flow(token, caller, now_s)
        return self._handle_here(token, packet, caller, now_s)

    def _handle_here(
        self,
        token: FlowToken,
        packet: TokenPacket,
        caller: CallerAddress,
        now_s: float,
    ) -> list[Action]:
        self._roles.activate(token.service, now_s)
        flow = self._owner.get_or_adopt_flow(token, caller, now_s)
        actions = self._owner.handle(flow, packet, caller, now_s)
        if token.owner_incarnation != self._me.incarnation and not flow.frozen:
            # The caller still uses the previous owner's token.
            actions.append(self._owner.reissue(flow, now_s))
        return actions
