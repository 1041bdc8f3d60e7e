"""Buffer of actions for the caller."""

from endivepick.membership.actions import Action, Log, Send, SendToSeed
from endivepick.membership.peer_messages import MembershipMessage


class Outbox:
    """Actions in the order of their decisions."""

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def add(self, action: Action) -> None:
        """Append an action."""
        self._actions.append(action)

    def send(self, to_name: str, message: MembershipMessage) -> None:
        """Append a message to a peer."""
        self._actions.append(Send(to_name, message))

    def send_to_seed(self, peer_address: str, message: MembershipMessage) -> None:
        """Append a message to a seed address from the settings."""
        self._actions.append(SendToSeed(peer_address, message))

    def log(self, text: str, peer: str = "") -> None:
        """Append a log line with the prefix ``membership:``."""
        self._actions.append(Log(f"membership: {text}", peer))

    def drain(self) -> list[Action]:
        """Return and remove all actions."""
        actions = self._actions
        self._actions = []
        return actions
