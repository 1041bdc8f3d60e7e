"""Whole views: in pages on join, by digests afterwards."""

from random import Random

from endivepick.membership._handover_log import DepartedLog
from endivepick.membership._member import BUCKET_COUNT, Member, bucket_of
from endivepick.membership._member_table import MemberTable
from endivepick.membership._outbox import Outbox
from endivepick.membership.peer_messages import (
    UNASKED,
    HandedOver,
    Liveness,
    MemberUpdate,
    SyncDigest,
    SyncPage,
    SyncRequest,
)
from endivepick.membership.settings import MembershipSettings

_TOMBSTONE_SHOWN_S = 60.0
"""Dead peers go into pages this long only, so that they don't come back."""


class Synchroniser:
    """Fetches the whole view on join and mends losses later."""

    def __init__(
        self,
        settings: MembershipSettings,
        table: MemberTable,
        departed: DepartedLog,
        outbox: Outbox,
    ) -> None:
        self._settings = settings
        self._table = table
        self._departed = departed
        self._outbox = outbox
        self._cursor = 0
        self._started_s: float | None = None
        self._next_ask_s = float("-inf")
        self._next_digest_s: float | None = None

    # Time

    def tick(self, now_s: float, random_number: int) -> None:
        """Ask for the next page while joining, compare views afterwards."""
        if self._table.own.joined:
            self._compare(now_s, random_number)
        else:
            self._join(now_s, random_number)

    def _join(self, now_s: float, random_number: int) -> None:
        if self._started_s is None:
            self._started_s = now_s
        if now_s - self._started_s >= self._settings.join_timeout_s:
            self._outbox.log("joins without a peer's view")
            self._table.own.joined = True
            return
        if now_s < self._next_ask_s:
            return
        name = self._random_peer(random_number)
        if name is not None:
            self._next_ask_s = now_s + self._settings.join_retry_s
            self._ask(name)

    def _ask(self, name: str) -> None:
        request = SyncRequest(self._cursor, self._table.own.to_update())
        self._outbox.send(name, request)

    def _random_peer(self, random_number: int) -> str | None:
        names = [n for n in self._table.members if n not in self._table.dead]
        if not names:
            return None
        return names[random_number % len(names)]

    def _compare(self, now_s: float, random_number: int) -> None:
        period_s = self._settings.sync_period_s
        if self._next_digest_s is None:
            self._next_digest_s = now_s + period_s * Random(random_number).random()
        if now_s < self._next_digest_s:
            return
        self._next_digest_s = now_s + period_s
        name = self._random_peer(random_number)
        if name is not None:
            digest = SyncDigest(self._member_digests(), list(self._departed.digests))
            self._outbox.send(name, digest)

    # Messages

    def on_request(self, now_s: float, sender: str, request: SyncRequest) -> None:
        """Answer with one page."""
        if not 0 <= request.cursor < BUCKET_COUNT:
            return
        members: list[MemberUpdate] = []
        handed_over: list[HandedOver] = []
        bucket = request.cursor
        while bucket < BUCKET_COUNT and (
            len(members) + len(handed_over) < self._settings.sync_page_entries
        ):
            members += self._members_in(bucket, now_s)
            handed_over += self._departed.entries_in(bucket, now_s)
            bucket += 1
        asker = request.me.incarnation
        page = SyncPage(bucket % BUCKET_COUNT, [], members, handed_over, asker)
        self._outbox.send(sender, page)

    def on_page(self, now_s: float, sender: str, page: SyncPage) -> None:
        """Merge a page, and go on with the next one while joining."""
        for update in page.members:
            self._table.merge(now_s, update, passed_on=update.name == sender)
        # What the sender says of itself may be new to all, as when it stops.
        senders = {u.incarnation for u in page.members if u.name == sender}
        for news in page.handed_over:
            passed_on = news.incarnation in senders
            self._departed.merge(now_s, news, passed_on)
        if page.wanted:
            self._send_buckets(now_s, sender, page.wanted, wanted=[])
        elif not self._table.own.joined and self._answers_me(page):
            self._continue_join(now_s, sender, page.next_cursor)

    def _answers_me(self, page: SyncPage) -> bool:
        # An earlier process of this name may have asked for what arrives now.
        return page.answered in (0, self._table.own.incarnation)

    def _continue_join(self, now_s: float, sender: str, next_cursor: int) -> None:
        if next_cursor == 0:
            self._table.own.joined = True
            self._outbox.log("joined", sender)
            return
        if next_cursor > self._cursor:
            self._cursor = next_cursor
            self._started_s = now_s
            self._next_ask_s = now_s + self._settings.join_retry_s
            self._ask(sender)

    def on_digest(self, now_s: float, sender: str, digest: SyncDigest) -> None:
        """Answer with the buckets that differ, and ask for the sender's."""
        mine = zip(self._member_digests(), self._departed.digests, strict=True)
        theirs = zip(digest.members, digest.handed_over, strict=False)
        pairs = enumerate(zip(mine, theirs, strict=False))
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
            members += self._members_in(bucket, now_s)
            handed_over += self._departed.entries_in(bucket, now_s)
            sent += 1
        page = SyncPage(0, wanted[:sent], members, handed_over, UNASKED)
        self._outbox.send(to_name, page)

    # Entries

    def _members_in(self, bucket: int, now_s: float) -> list[MemberUpdate]:
        updates = [
            member.to_update()
            for member in self._table.buckets[bucket].values()
            if self._is_shown(member, now_s)
        ]
        own = self._table.own
        if bucket_of(own.name) == bucket:
            updates.append(own.to_update())
        return updates

    def _is_shown(self, member: Member, now_s: float) -> bool:
        if not member.heard:
            return False
        if member.liveness is not Liveness.DEAD:
            return True
        return now_s - member.died_s < _TOMBSTONE_SHOWN_S

    def _member_digests(self) -> list[int]:
        digests = [0] * BUCKET_COUNT
        for bucket, members in enumerate(self._table.buckets):
            for member in members.values():
                if member.heard and member.liveness is not Liveness.DEAD:
                    digests[bucket] ^= member.digest
        own = self._table.own
        digests[bucket_of(own.name)] ^= own.digest
        return digests
