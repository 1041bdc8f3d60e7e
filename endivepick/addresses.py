"""Addresses of the form ``host:port`` with an IPv4 number as host."""

from socket import AF_INET, inet_pton

__all__ = ["ipv4_to_int", "parse_address"]

_PORT_MAX = 65535


def ipv4_to_int(text: str) -> int:
    """Return the number that an IPv4 address stands for.

    Raises
    ------
    ValueError
        If the text is no such address.

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
    """Split ``host:port``.

    Parameters
    ----------
    text : str
        IPv4 number and port, for example ``"127.0.0.1:8080"``.

    Returns
    -------
    tuple of (str, int)
        Host and port.

    Raises
    ------
    ValueError
        If the text has another form.

    Examples
    --------
    >>> parse_address("127.0.0.1:8080")
    ('127.0.0.1', 8080)
    """
    host, separator, port_text = text.rpartition(":")
    if not separator or not (port_text.isascii() and port_text.isdigit()):
        raise ValueError("write host:port, for example 127.0.0.1:8080")
    port = int(port_text)
    if port > _PORT_MAX:
        raise ValueError(f"use a port from 0 to {_PORT_MAX}")
    ipv4_to_int(host)
    return host, port
