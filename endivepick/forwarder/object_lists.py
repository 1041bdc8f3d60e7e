"""Reads objects and their changes from the store's answers."""

from msgspec import Struct

from endivepick.errors import AnswerDamagedError, PlatformAnswerError
from endivepick.forwarder.ports import (
    ChangeBatch,
    FeedKind,
    Item,
    ListPage,
    StoreDialect,
)
from endivepick.store import StoreConnection

__all__ = [
    "ListSource",
    "ListedObjects",
    "read_changes",
    "read_intact_page",
    "read_list",
    "read_stale_page",
]


class ListSource(Struct, frozen=True):
    """Where and how objects of a kind are read.

    Attributes
    ----------
    connection : StoreConnection
        Connection to the store.
    dialect : StoreDialect
        Paths and bodies of the store's API.
    kind : FeedKind
        Kind of the objects.
    timeout_s : float
        Timeout until a response begins, in seconds.
    stale : bool, default=False
        Whether lists may be seconds old, at a lower price.
    """

    connection: StoreConnection
    dialect: StoreDialect
    kind: FeedKind
    timeout_s: float
    stale: bool = False

    def get_page(self, after: str = "") -> bytes:
        """Return the body of the page after a name; "" for the first page."""
        if self.stale:
            path = self.dialect.stale_list_path(self.kind, after)
        else:
            path = self.dialect.list_path(self.kind, after)
        return self.connection.get(path, self.timeout_s)


class ListedObjects(Struct):
    """Objects that were read of a list so far.

    Attributes
    ----------
    items : list of Item
        The objects.
    after : str
        Name up to which all objects were read.
    revision : int or None
        Revision of the store; the objects are as they were then, or newer.  None if it
        is not known yet.
    damaged : bool
        Whether a page was not intact.
    """

    items: list[Item]
    after: str = ""
    revision: int | None = None
    damaged: bool = False


def read_list(source: ListSource) -> ListedObjects:
    """Read all objects of a kind.

    Changes between two pages are not in the list: they follow its revision, which is
    that of the first page.

    Raises
    ------
    PlatformUnavailableError
        If the store does not answer.
    PlatformAnswerError
        If its answers are no list.
    """
    listed = ListedObjects([])
    while True:
        body = source.get_page(listed.after)
        page = read_intact_page(source, body)
        if page is None:
            _recover(source, listed, body)
            return listed
        listed.items += page.items
        if listed.revision is None:
            listed.revision = page.revision
        if listed.after and page.next_after == listed.after:
            raise PlatformAnswerError(
                f"List pagination does not advance: the page after {listed.after!r} "
                "names the same start again."
            )
        listed.after = page.next_after
        if not listed.after:
            return listed


def read_stale_page(source: ListSource) -> ListedObjects:
    """Read the first page of a list that may be seconds old."""
    body = source.get_page()
    page = read_intact_page(source, body)
    if page is not None:
        return ListedObjects(list(page.items))
    listed = ListedObjects([])
    _recover(source, listed, body)
    return listed


def read_changes(source: ListSource, body: bytes) -> ChangeBatch | None:
    """Decode the answer to a watch; None if the list is to be read instead.

    If the answer is not intact, the objects that it names are read one by one.

    Raises
    ------
    PlatformUnavailableError
        If the store does not answer a further call.
    PlatformAnswerError
        If the answers are not those of an object store.
    """
    try:
        batch = source.dialect.read_changes(source.kind, body)
        if batch.intact:
            return batch
    except AnswerDamagedError:
        # Handled like a batch that is not intact.
        pass
    # Imported on demand: other writers' objects are rarely invalid.
    from endivepick.forwarder.damaged_lists import recover_changes

    return recover_changes(source, body)


def read_intact_page(source: ListSource, body: bytes) -> ListPage | None:
    """Decode a page; None if it is not intact."""
    try:
        page = source.dialect.read_page(source.kind, body)
    except AnswerDamagedError:
        return None
    return page if page.intact else None


def _recover(source: ListSource, listed: ListedObjects, body: bytes) -> None:
    # Imported on demand: other writers' objects are rarely invalid.
    from endivepick.forwarder.damaged_lists import recover_list

    recover_list(source, listed, body)
