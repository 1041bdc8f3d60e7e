"""Cookies that lead from a packet to its flow's target."""

from zlib import crc32

__all__ = ["CookieDirectory", "cookie_of"]


def cookie_of(name: str) -> int:
    """Return the cookie of a target: 32 bits, never 0.

    Every instance computes the same one, so that any of them finds the target of
    any flow without shared state.

    Examples
    --------
    >>> cookie_of("i-7f3a91c2") == cookie_of("i-7f3a91c2") != 0
    True
    """
    return crc32(name.encode()) or 1


class CookieDirectory:
    """Which target a cookie means.

    Two names may hash to the same cookie; at 44,000 targets one such pair is to be
    expected in every fifth fleet.  The cookie then belongs to the target that the
    store created first, which all instances order alike, and the other gets no new
    flows until the first is gone.

    Examples
    --------
    >>> directory = CookieDirectory()
    >>> cookie = directory.add("i-1", created=4)
    >>> directory.resolve(cookie)
    'i-1'
    """

    def __init__(self) -> None:
        self._claims: dict[int, list[tuple[int, str]]] = {}

    def add(self, name: str, created: int) -> int:
        """Let a target claim its cookie, and return it.

        Parameters
        ----------
        name : str
            The target.
        created : int
            Revision of the store that created its entry.
        """
        cookie = cookie_of(name)
        claims = self._claims.setdefault(cookie, [])
        if all(name != other for _, other in claims):
            claims.append((created, name))
            claims.sort()
        return cookie

    def remove(self, name: str) -> None:
        """Forget a target."""
        cookie = cookie_of(name)
        claims = [claim for claim in self._claims.get(cookie, []) if claim[1] != name]
        if claims:
            self._claims[cookie] = claims
        else:
            self._claims.pop(cookie, None)

    def resolve(self, cookie: int) -> str | None:
        """Return the target that owns a cookie, None if it is not known."""
        claims = self._claims.get(cookie)
        return claims[0][1] if claims else None

    def owns(self, name: str) -> bool:
        """Whether packets with a target's cookie reach just this target."""
        return self.resolve(cookie_of(name)) == name
