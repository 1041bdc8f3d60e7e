"""Relay: locates the holder of a flow and forwards or answers its packets."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from endivepick.core.actions import Action, Count, Log, SendToCaller, SendToPeer
from endivepick.core.distinct_counter import DistinctCounter
from endivepick.core.flow_table import Identity
from endivepick.core.messages import (
    CallerAddress,
    OpenRefused,
    Reissued,
    Unreachable,
)
from endivepick.core.peer_messages import RelayedPacket
from endivepick.core.service_owners import EligibleInstances, ServiceOwners
from endivepick.core.token import FlowToken, TokenCodec

__all__ = [
    "Holder",
    "HolderLost",
    "HolderSuspected",
    "Peers",
    "Relay",
    "FlowLocation",
]

HOPS_MAX = 4
"""Limit of hops between instances, after which a datagram is dropped."""
REASON_FORGOTTEN = "forgotten"
"""Reason of a reissue when the owner is alive but no longer has the flow."""
SUSPECTED_RETRY_MS = 300
"""Retry delay for callers while the holder is suspected, in milliseconds."""


class Peers(EligibleInstances, Protocol):
    """Membership state that the relay queries."""

    def is_suspected(self, name: str) -> bool:
        """Return whether an instance is suspected and not yet declared dead."""

    def is_incarnation_dead(self, name: str, incarnation: int) -> bool:
        """Return whether an incarnation is known to have ended."""

    def find_successor(self, incarnation: int, service: str) -> Identity | None:
        """Return the instance that took over a service's flows, if any."""

    def incarnation_of(self, name: str) -> int:
        """Return the incarnation of an instance, or 0 if it is unknown."""


@dataclass(frozen=True, slots=True)
class Holder:
    """The identified instance, possibly this one, holds the flow."""

    identity: Identity


@dataclass(frozen=True, slots=True)
class HolderSuspected:
    """The holder does not answer probes but may be alive."""

    identity: Identity


@dataclass(frozen=True, slots=True)
class HolderLost:
    """The holder has ended without handing the flow over."""

    identity: Identity


FlowLocation = Holder | HolderSuspected | HolderLost


class Relay:
    """Locates flow holders, forwards packets and reissues tokens.

    Parameters
    ----------
    me : Identity
        This instance.
    peers : Peers
        Membership state of the other instances.
    codec : TokenCodec
        Codec that seals tokens.
    new_id : callable
        Returns a random 64-bit number.
    renew_after_s : float
        Age at which a caller should renew its token, in seconds.
    zones_of : callable
        Returns the zones of a service's targets; empty for an unknown service.

    Attributes
    ----------
    flows_relayed : DistinctCounter
        Counter of flows with a relayed packet.
    """

    def __init__(
        self,
        me: Identity,
        peers: Peers,
        codec: TokenCodec,
        new_id: Callable[[], int],
        renew_after_s: float,
        zones_of: Callable[[str], frozenset[str]],
    ) -> None:
        self._me = me
        self._peers = peers
        self._codec = codec
        self._new_id = new_id
        self._renew_after_s = renew_after_s
        self.flows_relayed = DistinctCounter()
        self._owners = ServiceOwners(me.name, peers, zones_of)

    def locate(self, token: FlowToken) -> FlowLocation:
        """Return the location of a token's flow."""
        named = Identity(token.owner, token.owner_incarnation)
        return self.resolve_holder(named, token.service)

    def resolve_holder(self, holder: Identity, service: str) -> FlowLocation:
        """Return the location of a service's flows, given a former holder."""
        successor = self._peers.find_successor(holder.incarnation, service)
        holder = successor or holder
        if holder == self._me:
            return Holder(holder)
        if self.is_lost(holder):
            return HolderLost(holder)
        if self._peers.is_suspected(holder.name):
            return HolderSuspected(holder)
        return Holder(holder)

    def is_lost(self, identity: Identity) -> bool:
        """Return whether an incarnation is known to have ended."""
        return self._peers.is_incarnation_dead(identity.name, identity.incarnation)

    def is_valid_successor(self, identity: Identity) -> bool:
        """Return whether an instance can still act as the chosen successor."""
        if self._peers.incarnation_of(identity.name) != identity.incarnation:
            return False
        known = identity.name in self._peers.eligible_names()
        return known and not self._peers.is_suspected(identity.name)

    def forward(
        self, identity: Identity, caller: CallerAddress, hops: int, datagram: bytes
    ) -> list[Action]:
        """Forward a datagram to another instance."""
        if hops >= HOPS_MAX:
            return [Count("packets_dropped", "too_many_hops")]
        message = RelayedPacket(caller, hops + 1, datagram)
        return [SendToPeer(identity.name, message), Count("packets_relayed")]

    def record_relayed_flow(self, token: FlowToken) -> None:
        """Count the flow of a relayed packet."""
        self.flows_relayed.add(token.flow_id)

    def reply_unreachable(
        self, token: FlowToken, holder: Identity, seq: int, caller: CallerAddress
    ) -> list[Action]:
        """Tell the caller to retry, without stating whether the request ran."""
        packet = Unreachable(token.flow_id, token.binding, seq, SUSPECTED_RETRY_MS)
        ids = {"flow": token.flow_id, "binding": token.binding, "seq": seq}
        text = "flow holder is suspected; caller told to retry"
        return [
            Log("relay", "holder_suspected", text, {**ids, "peer": holder.name}),
            SendToCaller(caller, packet),
            Count("owner_unreachable"),
        ]

    def reissue_after_loss(
        self, token: FlowToken, caller: CallerAddress, now_s: float
    ) -> list[Action]:
        """Issue a new token for a flow that is not held at its owner.

        The owner is lost, or the flow was not received there or was handed over.
        The token has a new binding, whose replay window is empty.
        """
        text = "owner lost or flow not held there; issued a token with a new binding"
        return self._reissue(token, caller, now_s, text, "")

    def reissue_removed_flow(
        self, token: FlowToken, caller: CallerAddress, now_s: float
    ) -> list[Action]:
        """Issue a new token for a flow that was removed from the table.

        The token has a new binding, whose replay window is empty.

        It is no longer known whether its requests ran, so the reply "not run" could
        be wrong.  No request of the old binding runs again.
        """
        text = "packet of a removed flow; issued a token with a new binding"
        return self._reissue(token, caller, now_s, text, REASON_FORGOTTEN)

    def _reissue(
        self,
        token: FlowToken,
        caller: CallerAddress,
        now_s: float,
        text: str,
        reason: str,
    ) -> list[Action]:
        owner = self._current_owner(token.service)
        renewed = FlowToken(
            service=token.service,
            flow_id=token.flow_id,
            binding=self._new_id(),
            owner=owner.name,
            owner_incarnation=owner.incarnation,
            target=token.target,
            issued_at_s=int(now_s),
            drawn_by_relay=True,
        )
        packet = Reissued(
            flow_id=token.flow_id,
            old_binding=token.binding,
            token=self._codec.seal(renewed),
            binding=renewed.binding,
            continues=False,
            renew_after_s=self._renew_after_s,
        )
        return [
            Log(
                "relay",
                "flow_reissued",
                text,
                {
                    "flow": token.flow_id,
                    "binding": renewed.binding,
                    "old_binding": token.binding,
                    "peer": owner.name,
                },
            ),
            SendToCaller(caller, packet),
            Count("flows_reissued", reason),
        ]

    def _current_owner(self, service: str) -> Identity:
        name = self.reachable_owner_name(service)
        incarnation = self._peers.incarnation_of(name)
        if name == self._me.name or not incarnation:
            return self._me
        return Identity(name, incarnation)

    def pop_ownership_candidates(self) -> set[str]:
        """Return and clear the services that this instance may now own.

        These are the services whose ownership may have moved to this instance since
        the last call.
        """
        return self._owners.pop_ownership_candidates()

    def owner_name(self, service: str) -> str:
        """Return the instance that currently opens a service's flows."""
        return self._owners.owner(service) or self._me.name

    def is_owned_here(self, service: str) -> bool:
        """Return whether this instance currently opens a service's flows."""
        return self._owners.is_owned_here(service)

    def record_changed(self, service: str) -> None:
        """Discard a service's cached owner: its targets' zones may have changed."""
        self._owners.invalidate(service)

    def reachable_owner_name(self, service: str) -> str:
        """Return the first instance in rank order that is not suspected."""
        name = self._owners.first_matching(
            service, lambda name: not self._peers.is_suspected(name)
        )
        return name or self._me.name

    def refuse_open(
        self, open_id: int, reason: str, retry_after_ms: int, caller: CallerAddress
    ) -> list[Action]:
        """Refuse to open a flow, with a retry delay."""
        packet = OpenRefused(open_id, reason, retry_after_ms)
        return [SendToCaller(caller, packet), Count("opens_refused", reason)]
