"""Cookies that map a packet to the target of its flow."""

from zlib import crc32

__all__ = ["CookieDirectory", "compute_cookie"]


def compute_cookie(name: str) -> int:
    """Compute the cookie of a target: 32 bits, never 0.

    All instances compute the same cookie, so that any of them finds the target of any
    flow without shared state.

    Examples
    --------
    >>> compute_cookie("i-7f3a91c2") == compute_cookie("i-7f3a91c2") != 0
    True
    """
    return crc32(name.encode()) or 1


class CookieDirectory:
    """Maps cookies to targets.

    Two names may hash to the same cookie; with 44,000 targets, one fleet in five is
    expected to have such a pair.  The cookie then belongs to the target that the store
    created first, which is the same at all instances, and the other target gets no new
    flows until the first is removed.

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
        """Register a target and return its cookie.

        Parameters
        ----------
        name : str
            The target.
        created : int
            Store revision at which its entry was created.
        """
        cookie = compute_cookie(name)
        claims = self._claims.setdefault(cookie, [])
        if all(name != other for _, other in claims):
            claims.append((created, name))
            claims.sort()
        return cookie

    def remove(self, name: str) -> None:
        """Remove a target."""
        cookie = compute_cookie(name)
        claims = [claim for claim in self._claims.get(cookie, []) if claim[1] != name]
        if claims:
            self._claims[cookie] = claims
        else:
            self._claims.pop(cookie, None)

    def resolve(self, cookie: int) -> str | None:
        """Return the target that owns a cookie, None if it is unknown."""
        claims = self._claims.get(cookie)
        return claims[0][1] if claims else None

    def owns(self, name: str) -> bool:
        """Whether packets with a target's cookie are forwarded to that target."""
        return self.resolve(compute_cookie(name)) == name
