"""Routes each packet: handle it here, forward it, or answer in the owner's place."""

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
    """Decides for each packet of a caller.

    Parameters
    ----------
    me : Identity
        This instance.
    codec : TokenCodec
        Verifies tokens.
    table : FlowTable
        Flows held here.
    owner : FlowOwner
        Handles packets of flows held here.
    relay : Relay
        Handles all others.
    roles : ServiceRoles
        Services that can be opened here.
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
        """Handle a packet from the fabric (``hops`` 0) or from another instance.

        Raises
        ------
        TokenInvalidError
            If its token is forged or expired.
        """
        match packet:
            case Open():
                return self._open(packet, caller, datagram, hops, now_s)
            case _:
                return self._token_packet(packet, caller, datagram, hops, now_s)

    def _open(
        self,
        packet: Open,
        caller: CallerAddress,
        datagram: bytes,
        hops: int,
        now_s: float,
    ) -> list[Action]:
        name = self._relay.reachable_owner_name(packet.service)
        # What was relayed is opened here even if the views differ, so that no
        # packet goes in circles; a leaving instance takes no new flow.
        opens_here = name == self._me.name or (hops > 0 and not self._owner.leaving)
        if not opens_here:
            return self._relay.forward(Identity(name, 0), caller, hops, datagram)
        if self._owner.leaving or not self._roles.activate(packet.service, now_s):
            reason = "leaving" if self._owner.leaving else "unknown_service"
            return self._relay.refuse_open(
                packet.open_id, reason, UNKNOWN_SERVICE_RETRY_MS, caller
            )
        return self._owner.open_flow(packet.service, packet.open_id, caller, now_s)

    def _token_packet(
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
            # The keyring is on its way here; the caller sends again by itself.
            return [Count("packets_dropped", UNKNOWN_KEY)]
        if self._table.get(token.binding) is not None:
            return self._handle_here(token, packet, caller, now_s)
        match self._locate(token):
            case Holder(identity=identity) if identity == self._me:
                return self._handle_as_holder(token, packet, caller, now_s)
            case Holder(identity=identity):
                self._relay.note_flow(token)
                return self._relay.forward(identity, caller, hops, datagram)
            case HolderSuspected(identity=identity):
                # A suspect may be alive and runs or refuses what it gets; a packet that
                # is dropped here is lost if the caller does not hear the answer.
                self._relay.note_flow(token)
                forwarded = self._relay.forward(identity, caller, hops, datagram)
                seq = getattr(packet, "seq", 0)
                told = self._relay.reply_unreachable(token, identity, seq, caller)
                return forwarded + told
            case HolderLost():
                return self._relay.reissue_after_loss(token, caller, now_s)

    def _locate(self, token: FlowToken) -> FlowLocation:
        taker = self._table.successor(token.binding)
        if taker is None:
            return self._relay.locate(token)
        return self._relay.follow(taker, token.service)

    def _handle_as_holder(
        self,
        token: FlowToken,
        packet: TokenPacket,
        caller: CallerAddress,
        now_s: float,
    ) -> list[Action]:
        issued_here = token.owner_incarnation == self._me.incarnation
        handed_on = self._table.successor(token.binding) is not None
        if not issued_here or handed_on:
            # A predecessor handed its flows over, but this one did not arrive; or
            # it was handed on from here, so that an empty window would be a second.
            return self._relay.reissue_after_loss(token, caller, now_s)
        if not self._table.may_adopt(token):
            return self._relay.reissue_forgotten(token, caller, now_s)
        return self._handle_here(token, packet, caller, now_s)

    def _handle_here(
        self,
        token: FlowToken,
        packet: TokenPacket,
        caller: CallerAddress,
        now_s: float,
    ) -> list[Action]:
        self._roles.activate(token.service, now_s)
        flow = self._owner.find_flow(token, caller, now_s)
        actions = self._owner.handle(flow, packet, caller, now_s)
        if token.owner_incarnation != self._me.incarnation and not flow.frozen:
            # The caller still uses its old token.
            actions.append(self._owner.reissue(flow, now_s))
        return actions
