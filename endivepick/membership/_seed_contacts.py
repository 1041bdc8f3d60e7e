"""Joining through seed addresses from the settings."""

from random import Random

from endivepick.membership._member_table import MemberTable
from endivepick.membership._outbox import Outbox
from endivepick.membership.peer_messages import SyncRequest
from endivepick.membership.settings import MembershipSettings


class SeedContacts:
    """Sends requests to seed addresses until the platform's list has arrived.

    Addresses of known peers are skipped, since these peers are probed anyway.  Every
    ``join_retry_s``, one of the others, chosen at random, gets a request.  This
    continues after an answer, because the answering peer may itself be joining and
    know no other peers.
    """

    def __init__(
        self, settings: MembershipSettings, table: MemberTable, outbox: Outbox
    ) -> None:
        self._settings = settings
        self._table = table
        self._outbox = outbox
        self._next_request_s = float("-inf")
        self.is_needed = True

    def tick(self, now_s: float, random_number: int) -> None:
        """Send a request to one unknown address if it is due."""
        if not self.is_needed or now_s < self._next_request_s:
            return
        own = self._table.own.to_update()
        known = {member.peer_address for member in self._table.members.values()}
        known.add(own.peer_address)
        unknown = [a for a in self._settings.seed_addresses if a not in known]
        if unknown:
            self._next_request_s = now_s + self._settings.join_retry_s
            address = Random(random_number).choice(unknown)
            self._outbox.send_to_seed(address, SyncRequest(0, own))
