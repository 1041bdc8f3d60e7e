"""State transfer on join, and periodic anti-entropy by digests."""

from random import Random

from endivepick.membership._handover_log import HandOverLog
from endivepick.membership._member import BUCKET_COUNT, Member, compute_bucket
from endivepick.membership._member_table import MemberTable
from endivepick.membership._outbox import Outbox
from endivepick.membership.peer_messages import (
    UNSOLICITED,
    HandedOver,
    Liveness,
    MemberUpdate,
    SyncDigest,
    SyncPage,
    SyncRequest,
)
from endivepick.membership.settings import MembershipSettings

_DEAD_ENTRY_SENT_S = 60.0
"""Dead peers are included in pages for this long only.

Otherwise peers that have removed the entry would add it again.
"""


class AntiEntropy:
    """Fetches the full view on join and repairs missed updates afterwards."""

    def __init__(
        self,
        settings: MembershipSettings,
        table: MemberTable,
        handovers: HandOverLog,
        outbox: Outbox,
    ) -> None:
        self._settings = settings
        self._table = table
        self._handovers = handovers
        self._outbox = outbox
        self._cursor = 0
        self._last_progress_s: float | None = None
        self._next_request_s = float("-inf")
        self._next_digest_s: float | None = None

    # Timers

    def tick(self, now_s: float, random_number: int) -> None:
        """Request the next page while joining; send digests afterwards."""
        if self._table.own.joined:
            self._send_digest_if_due(now_s, random_number)
        else:
            self._continue_joining(now_s, random_number)

    def _continue_joining(self, now_s: float, random_number: int) -> None:
        if self._last_progress_s is None:
            self._last_progress_s = now_s
        if now_s - self._last_progress_s >= self._settings.join_timeout_s:
            self._outbox.log("join timed out; continuing without a peer's view")
            self._table.own.joined = True
            return
        if now_s < self._next_request_s:
            return
        name = self._choose_peer(random_number)
        if name is not None:
            self._next_request_s = now_s + self._settings.join_retry_s
            self._send_request(name)

    def _send_request(self, name: str) -> None:
        request = SyncRequest(self._cursor, self._table.own.to_update())
        self._outbox.send(name, request)

    def _choose_peer(self, random_number: int) -> str | None:
        names = [n for n in self._table.members if n not in self._table.dead]
        if not names:
            return None
        return names[random_number % len(names)]

    def _send_digest_if_due(self, now_s: float, random_number: int) -> None:
        period_s = self._settings.sync_period_s
        if self._next_digest_s is None:
            self._next_digest_s = now_s + period_s * Random(random_number).random()
        if now_s < self._next_digest_s:
            return
        self._next_digest_s = now_s + period_s
        name = self._choose_peer(random_number)
        if name is not None:
            digest = SyncDigest(
                self._compute_member_digests(), list(self._handovers.digests)
            )
            self._outbox.send(name, digest)

    # Messages

    def on_request(self, now_s: float, sender: str, request: SyncRequest) -> None:
        """Answer a request with one page."""
        if not 0 <= request.cursor < BUCKET_COUNT:
            return
        members: list[MemberUpdate] = []
        handed_over: list[HandedOver] = []
        bucket = request.cursor
        while bucket < BUCKET_COUNT and (
            len(members) + len(handed_over) < self._settings.sync_page_entries
        ):
            members += self._members_in_bucket(bucket, now_s)
            handed_over += self._handovers.entries_in_bucket(bucket, now_s)
            bucket += 1
        requester = request.me.incarnation
        page = SyncPage(bucket % BUCKET_COUNT, [], members, handed_over, requester)
        self._outbox.send(sender, page)

    def on_page(self, now_s: float, sender: str, page: SyncPage) -> None:
        """Merge a page, and request the next one while joining."""
        for update in page.members:
            self._table.merge(now_s, update, is_gossiped=update.name == sender)
        # Only entries of the sender itself are gossiped: its status may be new to
        # all, for instance when it stops.  Other entries are already disseminated.
        senders = {u.incarnation for u in page.members if u.name == sender}
        for handover in page.handed_over:
            is_gossiped = handover.incarnation in senders
            self._handovers.merge(now_s, handover, is_gossiped)
        if page.wanted:
            self._send_buckets(now_s, sender, page.wanted, wanted=[])
        elif not self._table.own.joined and self._is_reply_to_own_request(page):
            self._accept_join_page(now_s, sender, page.next_cursor)

    def _is_reply_to_own_request(self, page: SyncPage) -> bool:
        # The page may answer a request of an earlier process of this name.
        return page.answered in (0, self._table.own.incarnation)

    def _accept_join_page(self, now_s: float, sender: str, next_cursor: int) -> None:
        if next_cursor == 0:
            self._table.own.joined = True
            self._outbox.log("joined", sender)
            return
        if next_cursor > self._cursor:
            self._cursor = next_cursor
            self._last_progress_s = now_s
            self._next_request_s = now_s + self._settings.join_retry_s
            self._send_request(sender)

    def on_digest(self, now_s: float, sender: str, digest: SyncDigest) -> None:
        """Send the differing buckets, and request those of the sender."""
        own_digests = zip(
            self._compute_member_digests(), self._handovers.digests, strict=True
        )
        peer_digests = zip(digest.members, digest.handed_over, strict=False)
        pairs = enumerate(zip(own_digests, peer_digests, strict=False))
        differing = [bucket for bucket, (own, other) in pairs if own != other]
        if differing:
            self._send_buckets(now_s, sender, differing, wanted=differing)

    def _send_buckets(
        self, now_s: float, to_name: str, buckets: list[int], wanted: list[int]
    ) -> None:
        members: list[MemberUpdate] = []
        handed_over: list[HandedOver] = []
        sent = 0
        for bucket in buckets:
            if not 0 <= bucket < BUCKET_COUNT:
                continue
            if len(members) + len(handed_over) >= self._settings.sync_page_entries:
                break
            members += self._members_in_bucket(bucket, now_s)
            handed_over += self._handovers.entries_in_bucket(bucket, now_s)
            sent += 1
        page = SyncPage(0, wanted[:sent], members, handed_over, UNSOLICITED)
        self._outbox.send(to_name, page)

    # Entries

    def _members_in_bucket(self, bucket: int, now_s: float) -> list[MemberUpdate]:
        updates = [
            member.to_update()
            for member in self._table.buckets[bucket].values()
            if self._is_included(member, now_s)
        ]
        own = self._table.own
        if compute_bucket(own.name) == bucket:
            updates.append(own.to_update())
        return updates

    def _is_included(self, member: Member, now_s: float) -> bool:
        if not member.is_identified:
            return False
        if member.liveness is not Liveness.DEAD:
            return True
        return now_s - member.died_s < _DEAD_ENTRY_SENT_S

    def _compute_member_digests(self) -> list[int]:
        digests = [0] * BUCKET_COUNT
        for bucket, members in enumerate(self._table.buckets):
            for member in members.values():
                if member.is_identified and member.liveness is not Liveness.DEAD:
                    digests[bucket] ^= member.digest
        own = self._table.own
        digests[compute_bucket(own.name)] ^= own.digest
        return digests
