"""Collects actions until the caller takes them."""

from endivepick.membership.actions import Action, Log, Send, SendToSeed
from endivepick.membership.peer_messages import MembershipMessage


class Outbox:
    """Actions in the order in which they were decided."""

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def add(self, action: Action) -> None:
        """Keep an action."""
        self._actions.append(action)

    def send(self, to_name: str, message: MembershipMessage) -> None:
        """Keep a message to a peer."""
        self._actions.append(Send(to_name, message))

    def send_to_seed(self, peer_address: str, message: MembershipMessage) -> None:
        """Keep a message to an address from the settings."""
        self._actions.append(SendToSeed(peer_address, message))

    def log(self, text: str, peer: str = "") -> None:
        """Keep a log line; the prefix of the part is added here."""
        self._actions.append(Log(f"membership: {text}", peer))

    def drain(self) -> list[Action]:
        """Return all actions and start anew."""
        actions = self._actions
        self._actions = []
        return actions
