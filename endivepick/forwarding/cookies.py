"""Cookies that map a packet to the target of its flow."""

from zlib import crc32

from msgspec import Struct

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


class _Claim(Struct, order=True, frozen=True):
    """Claim of a target to its cookie; the least of a cookie owns it."""

    gone: bool
    created: int
    name: str


class CookieDirectory:
    """Maps cookies to targets.

    Two names may hash to the same cookie; with 44,000 targets, one fleet in five is
    expected to have such a pair.  The cookie then belongs to the target that the store
    created first, which is the same at all instances, and the other target gets no new
    flows until the first is gone.  A target that is gone keeps the cookie only while no
    other one claims it: instances that have started since do not know that target.

    Examples
    --------
    >>> directory = CookieDirectory()
    >>> cookie = directory.add("i-1", created=4)
    >>> directory.resolve(cookie)
    'i-1'
    """

    def __init__(self) -> None:
        self._claims: dict[int, list[_Claim]] = {}

    def add(self, name: str, created: int, gone: bool = False) -> int:
        """Register a target, or replace its claim, and return its cookie.

        Parameters
        ----------
        name : str
            The target.
        created : int
            Store revision at which its entry was created.
        gone : bool, default=False
            Whether the target is gone, and only remembered for its flows.
        """
        cookie = compute_cookie(name)
        others = [each for each in self._claims.get(cookie, []) if each.name != name]
        self._claims[cookie] = sorted([*others, _Claim(gone, created, name)])
        return cookie

    def remove(self, name: str) -> None:
        """Remove a target."""
        cookie = compute_cookie(name)
        others = [each for each in self._claims.get(cookie, []) if each.name != name]
        if others:
            self._claims[cookie] = others
        else:
            self._claims.pop(cookie, None)

    def resolve(self, cookie: int) -> str | None:
        """Return the target that owns a cookie, None if it is unknown."""
        claims = self._claims.get(cookie)
        return claims[0].name if claims else None

    def owns(self, name: str) -> bool:
        """Whether packets with a target's cookie are forwarded to that target."""
        return self.resolve(compute_cookie(name)) == name

    def is_shared(self, name: str) -> bool:
        """Whether another target claims the cookie of a target."""
        return len(self._claims.get(compute_cookie(name), [])) > 1
