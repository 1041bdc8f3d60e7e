"""Addresses of the form ``host:port`` with an IPv4 number as host."""

from ipaddress import IPv4Address

__all__ = ["parse_address"]

_PORT_MAX = 65535


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
    try:
        IPv4Address(host)
    except ValueError:
        raise ValueError("use an IPv4 number as host, for example 127.0.0.1") from None
    return host, port
