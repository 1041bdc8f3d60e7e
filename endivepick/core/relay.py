"""Relay: finds who holds a flow and what to say if nobody can be reached."""

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
from endivepick.core.service_owners import LiveInstances, ServiceOwners
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
"""Instances that a datagram may pass before it is given up."""
FORGOTTEN = "forgotten"
"""Why a flow got a new binding although its owner lives."""
SUSPECTED_RETRY_MS = 300
"""When to come back while the owner is suspected, in milliseconds."""


class Peers(LiveInstances, Protocol):
    """What the relay asks of the membership."""

    def is_suspected(self, name: str) -> bool:
        """Tell whether an instance is suspected and not yet declared dead."""

    def is_incarnation_dead(self, name: str, incarnation: int) -> bool:
        """Tell whether an incarnation is known to be gone."""

    def find_successor(self, incarnation: int, service: str) -> Identity | None:
        """Return who took over a service's flows from an incarnation."""

    def incarnation_of(self, name: str) -> int:
        """Return the known incarnation of an instance, or 0."""


@dataclass(frozen=True, slots=True)
class Holder:
    """The named instance holds the flow; it may be this one."""

    identity: Identity


@dataclass(frozen=True, slots=True)
class HolderSuspected:
    """The holder answers no probe but may be alive."""

    identity: Identity


@dataclass(frozen=True, slots=True)
class HolderLost:
    """The holder is gone and has handed nothing over."""

    identity: Identity


FlowLocation = Holder | HolderSuspected | HolderLost


class Relay:
    """Decides where a packet of a flow goes.

    Parameters
    ----------
    me : Identity
        This instance.
    peers : Peers
        What is known of the others.
    codec : TokenCodec
        Signs tokens.
    new_id : callable
        Returns a random 64-bit number.
    renew_after_s : float
        When a caller should ask for a new token, in seconds.
    zones_of : callable
        Returns the zones of a service's targets, empty for an unknown service.

    Attributes
    ----------
    flows_relayed : DistinctCounter
        Flows of which a packet was relayed.
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
        """Find the holder of a token's binding."""
        named = Identity(token.owner, token.owner_incarnation)
        return self.follow(named, token.service)

    def follow(self, holder: Identity, service: str) -> FlowLocation:
        """Find who holds the flows of a service that an instance has held."""
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
        """Tell whether an incarnation is known to be gone."""
        return self._peers.is_incarnation_dead(identity.name, identity.incarnation)

    def is_valid_successor(self, identity: Identity) -> bool:
        """Tell whether an instance that was chosen as successor still is one."""
        if self._peers.incarnation_of(identity.name) != identity.incarnation:
            return False
        known = identity.name in self._peers.eligible_names()
        return known and not self._peers.is_suspected(identity.name)

    def forward(
        self, identity: Identity, caller: CallerAddress, hops: int, datagram: bytes
    ) -> list[Action]:
        """Hand a datagram to another instance."""
        if hops >= HOPS_MAX:
            return [Count("packets_dropped", "too_many_hops")]
        message = RelayedPacket(caller, hops + 1, datagram)
        return [SendToPeer(identity.name, message), Count("packets_relayed")]

    def note_flow(self, token: FlowToken) -> None:
        """Count a flow of which a packet is relayed."""
        self.flows_relayed.add(token.flow_id)

    def reply_unreachable(
        self, token: FlowToken, holder: Identity, seq: int, caller: CallerAddress
    ) -> list[Action]:
        """Tell the caller to come back; promise nothing about the run."""
        packet = Unreachable(token.flow_id, token.binding, seq, SUSPECTED_RETRY_MS)
        ids = {"flow": token.flow_id, "binding": token.binding, "seq": seq}
        text = "holder is suspected, caller told to come back"
        return [
            Log("relay", "holder_suspected", text, {**ids, "peer": holder.name}),
            SendToCaller(caller, packet),
            Count("owner_unreachable"),
        ]

    def reissue_after_loss(
        self, token: FlowToken, caller: CallerAddress, now_s: float
    ) -> list[Action]:
        """Give the flow a new owner and a new, empty binding."""
        text = "owner lost, flow has a new owner"
        return self._reissue(token, caller, now_s, text, "")

    def reissue_forgotten(
        self, token: FlowToken, caller: CallerAddress, now_s: float
    ) -> list[Action]:
        """Give a flow that was closed or forgotten here a new, empty binding.

        Whether its requests ran is not known any more, so that "not run" might be
        untrue; under the old binding nothing ever runs again.
        """
        text = "packet of a flow that was closed or forgotten here"
        return self._reissue(token, caller, now_s, text, FORGOTTEN)

    def _reissue(
        self,
        token: FlowToken,
        caller: CallerAddress,
        now_s: float,
        text: str,
        reason: str,
    ) -> list[Action]:
        owner = self._present_owner(token.service)
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

    def _present_owner(self, service: str) -> Identity:
        name = self.reachable_owner_name(service)
        incarnation = self._peers.incarnation_of(name)
        if name == self._me.name or not incarnation:
            return self._me
        return Identity(name, incarnation)

    def pop_ownership_candidates(self) -> set[str]:
        """Return services asked for before that this instance may now own."""
        return self._owners.pop_ownership_candidates()

    def owner_name(self, service: str) -> str:
        """Return the instance that opens this service's flows at present."""
        return self._owners.owner(service) or self._me.name

    def is_owned_here(self, service: str) -> bool:
        """Tell whether this instance opens this service's flows at present."""
        return self._owners.is_owned_here(service)

    def record_changed(self, service: str) -> None:
        """Choose a service's owner anew: its targets may stand in other zones."""
        self._owners.forget(service)

    def reachable_owner_name(self, service: str) -> str:
        """Return the first instance in rank order that is not suspected."""
        name = self._owners.first_that(
            service, lambda name: not self._peers.is_suspected(name)
        )
        return name or self._me.name

    def refuse_open(
        self, open_id: int, reason: str, retry_after_ms: int, caller: CallerAddress
    ) -> list[Action]:
        """Answer that no flow was opened, and when to come back."""
        packet = OpenRefused(open_id, reason, retry_after_ms)
        return [SendToCaller(caller, packet), Count("opens_refused", reason)]
