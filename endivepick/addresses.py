"""Parsing of ``host:port`` addresses whose host is a numeric IPv4 address."""

from socket import AF_INET, inet_pton

__all__ = ["ipv4_to_int", "is_address", "parse_address"]

_PORT_MAX = 65535
_PORT_DIGITS = 5


def ipv4_to_int(text: str) -> int:
    """Convert a dotted IPv4 address to an integer.

    Raises
    ------
    ValueError
        If the text is not a dotted IPv4 address.

    Examples
    --------
    >>> hex(ipv4_to_int("198.18.0.1"))
    '0xc6120001'
    """
    try:
        return int.from_bytes(inet_pton(AF_INET, text), "big")
    except OSError:
        raise ValueError("use an IPv4 number as host, for example 127.0.0.1") from None


def parse_address(text: str) -> tuple[str, int]:
    """Split a ``host:port`` address into host and port.

    Parameters
    ----------
    text : str
        IPv4 address and port, for example ``"127.0.0.1:8080"``.

    Returns
    -------
    tuple of (str, int)
        Host and port.

    Raises
    ------
    ValueError
        If the text is not a valid ``host:port`` address.

    Examples
    --------
    >>> parse_address("127.0.0.1:8080")
    ('127.0.0.1', 8080)
    """
    host, separator, port_text = text.rpartition(":")
    if not separator or not (port_text.isascii() and port_text.isdigit()):
        raise ValueError("write host:port, for example 127.0.0.1:8080")
    if len(port_text) > _PORT_DIGITS or int(port_text) > _PORT_MAX:
        raise ValueError(f"use a port from 0 to {_PORT_MAX}")
    ipv4_to_int(host)
    return host, int(port_text)


def is_address(text: str) -> bool:
    """Whether a text is a valid ``host:port`` address.

    Examples
    --------
    >>> is_address("127.0.0.1:8080"), is_address("127.0.0.1:70000")
    (True, False)
    """
    try:
        parse_address(text)
    except ValueError:
        return False
    return True
