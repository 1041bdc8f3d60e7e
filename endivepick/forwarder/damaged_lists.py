"""Reads the objects around a damaged one in the store's answers.

Scenario: the store embeds the bytes that other writers stored.  If they are cut off or
contain brackets, nothing in the answer shows for certain where the next object begins,
which objects it has, and whether it continues.  An instance that guesses takes live
targets for removed ones and resets their flows.

Therefore only three parts of the answers are used: an answer that is intact as a whole;
the front of a list up to the first object that is not valid by itself; and an object
that was read by its path, which is all that the answer contains.  The list is then
continued after the name of the damaged object, which the store wrote before that
object's bytes.
"""

from endivepick.errors import PlatformAnswerError
from endivepick.forwarder.object_lists import (
    ListedObjects,
    ListSource,
    read_intact_page,
)
from endivepick.forwarder.ports import (
    ChangeBatch,
    DamagedPage,
    Item,
    ItemRemoved,
    UnreadableItem,
)

__all__ = ["recover_changes", "recover_list"]

_MAX_CHANGED_OBJECTS = 64
"""Maximum number of objects that are read one by one after a damaged answer to a watch;
beyond it the whole list takes fewer calls."""
_MAX_TRIED_NAMES = 1024
"""Maximum number of names of one list that are tried because that of a damaged object
is not certain."""
_TRAILER_BYTES = 64
"""Length that the fields after the elements of a list do not exceed."""


def recover_list(source: ListSource, listed: ListedObjects, body: bytes) -> None:
    """Read the rest of a list from a page that is not intact.

    Parameters
    ----------
    source : ListSource
        Store and kind of the objects.
    listed : ListedObjects
        Objects of the pages before; extended by the others.
    body : bytes
        The page that is not intact.

    Raises
    ------
    PlatformUnavailableError
        If the store does not answer.
    PlatformAnswerError
        If the answers are no lists, or have too many names that are not certain.
    """
    listed.damaged = True
    if listed.revision is None and not source.stale:
        # That of a damaged answer may be forged.  The page is read again, since it may
        # be older than this revision.
        listed.revision = _read_revision(source)
        body = source.get_page(listed.after)
    recovery = _ListRecovery(source, listed)
    next_body: bytes | None = body
    while next_body is not None:
        next_body = recovery.take_page(next_body)


def recover_changes(source: ListSource, body: bytes) -> ChangeBatch | None:
    """Read the objects that a damaged answer to a watch names.

    Parameters
    ----------
    source : ListSource
        Store and kind of the objects.
    body : bytes
        Body of the answer.

    Returns
    -------
    ChangeBatch or None
        State of the objects at the revision of the batch or later; None if the answer
        has too many names and the list is to be read instead.

    Raises
    ------
    PlatformUnavailableError
        If the store does not answer.
    PlatformAnswerError
        If its answers are no objects.
    """
    names = [
        name
        for name in source.dialect.find_names(body)
        if source.dialect.is_usable_name(source.kind, name)
    ]
    if len(names) > _MAX_CHANGED_OBJECTS:
        return None
    revision = _read_revision(source)
    items = [
        _read_object(source, name, revision) or ItemRemoved(name, revision)
        for name in names
    ]
    items.sort(key=_get_order)
    return ChangeBatch(tuple(items), revision, recovered=True)


class _ListRecovery:
    """Walk through a list with damaged pages.

    Parameters
    ----------
    source : ListSource
        Store and kind of the objects.
    listed : ListedObjects
        Extended page by page.
    """

    def __init__(self, source: ListSource, listed: ListedObjects) -> None:
        self._source = source
        self._listed = listed
        self._tried_names = 0

    def take_page(self, body: bytes) -> bytes | None:
        """Add the certain objects of a page; return the next page, None at the end."""
        listed = self._listed
        page = read_intact_page(self._source, body)
        if page is not None:
            listed.items += page.items
            listed.after = page.next_after
            return self._source.get_page(listed.after) if listed.after else None
        damaged = self._source.dialect.read_damaged_page(self._source.kind, body)
        if damaged.certain < len(damaged.items):
            following = self._source.get_page(damaged.item_names[-1])
            if self._is_continued_by(damaged, following):
                self._add(damaged, len(damaged.items))
                return following
        self._add(damaged, damaged.certain)
        if damaged.next_name > listed.after or not damaged.certain:
            self._skip_object(damaged)
        return self._source.get_page(listed.after)

    def _is_continued_by(self, damaged: DamagedPage, following: bytes) -> bool:
        """Whether the page after the last object is the rest of the damaged page.

        The store separated both at the same place, so the objects before it are all
        that it has up to that name.
        """
        rest = self._source.dialect.read_list_content(following)
        common = max(1, min(len(rest), len(damaged.rest)) - _TRAILER_BYTES)
        return rest[:common] == damaged.rest[:common]

    def _add(self, damaged: DamagedPage, count: int) -> None:
        """Add the first objects of a damaged page."""
        self._listed.items += damaged.items[:count]
        if count:
            self._listed.after = damaged.item_names[count - 1]

    def _skip_object(self, damaged: DamagedPage) -> None:
        """Read the first object that is not certain by its path, and go on after it."""
        listed, source = self._listed, self._source
        name = damaged.next_name
        if name <= listed.after:
            name = self._find_least_name(damaged)
        if source.dialect.is_usable_name(source.kind, name):
            item = _read_object(source, name, listed.revision or 0)
            if item is not None:
                listed.items.append(item)
        elif name == damaged.next_name:
            fault = "content damages the list"
            listed.items.append(UnreadableItem(name, fault, listed.revision or 0))
        listed.after = name

    def _find_least_name(self, damaged: DamagedPage) -> str:
        """Return the least name that the next object can have.

        To go on after it skips no object, since the names of all objects of a page
        occur in its bytes.
        """
        names = [name for name in damaged.names if name > self._listed.after]
        self._tried_names += 1
        if not names or self._tried_names > _MAX_TRIED_NAMES:
            raise PlatformAnswerError(
                f"List cannot be continued after {self._listed.after!r}: the name of a "
                "damaged object is not certain. Remove the objects of other writers."
            )
        return min(names)


def _read_revision(source: ListSource) -> int:
    """Return the store's revision from a page that contains no object."""
    path = source.dialect.list_end_path(source.kind)
    body = source.connection.get(path, source.timeout_s)
    page = source.dialect.read_page(source.kind, body)
    if page.items or not page.intact:
        raise PlatformAnswerError(
            "The page after the last object is not empty. "
            "Check that the store lists objects in the order of their names."
        )
    return page.revision


def _read_object(source: ListSource, name: str, revision: int) -> Item | None:
    """Read one object by its path; None if it does not exist."""
    path = source.dialect.object_path(source.kind, name)
    body = source.connection.find(path, source.timeout_s)
    if body is None:
        return None
    match source.dialect.read_object(source.kind, name, body):
        case UnreadableItem(name, fault, own_revision):
            return UnreadableItem(name, fault, max(own_revision, revision))
        case item:
            return item


def _get_order(item: Item) -> tuple[int, bool]:
    """Return the sort key of changes.

    Removals follow objects of the same revision, which would count as removed after it.
    """
    return item.revision, isinstance(item, ItemRemoved | UnreadableItem)
