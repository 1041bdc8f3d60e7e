"""Addresses from the settings, asked while nobody else names any peer."""

from random import Random

from endivepick.membership._member_table import MemberTable
from endivepick.membership._outbox import Outbox
from endivepick.membership.peer_messages import SyncRequest
from endivepick.membership.settings import MembershipSettings


class Seeds:
    """Asks the seed addresses until the platform's list has been had.

    An address at which a known peer stands needs no question: the probes go there.
    So all others are asked in a random order, one in each period, also when a peer
    has answered already: it may be a newcomer that knows no more.
    """

    def __init__(
        self, settings: MembershipSettings, table: MemberTable, outbox: Outbox
    ) -> None:
        self._settings = settings
        self._table = table
        self._outbox = outbox
        self._next_ask_s = float("-inf")
        self.needed = True

    def tick(self, now_s: float, random_number: int) -> None:
        """Ask one address if it is due."""
        if not self.needed or now_s < self._next_ask_s:
            return
        own = self._table.own.to_update()
        known = {member.peer_address for member in self._table.members.values()}
        known.add(own.peer_address)
        unknown = [a for a in self._settings.seed_addresses if a not in known]
        if unknown:
            self._next_ask_s = now_s + self._settings.join_retry_s
            address = Random(random_number).choice(unknown)
            self._outbox.send_to_seed(address, SyncRequest(0, own))
