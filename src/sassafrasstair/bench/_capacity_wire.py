"""Bytes on the wire of an exchange between daemons, headers counted.

Counted as IPv4 and TCP with timestamps over a standard 1,500 byte frame
payload, and the SP protocol's headers as pynng sends them over TCP.
"""

from __future__ import annotations

SEGMENT_HEADERS = 52
"""IPv4 header of 20, TCP header of 20, timestamps option of 12 bytes."""

SEGMENT_PAYLOAD = 1_448
SP_HEADERS = 12
"""SP over TCP: message length of 8 bytes, request id of 4."""

SYN = 60
SP_HELLO = 8
CONNECTION = 2 * SYN + SEGMENT_HEADERS + 2 * (SP_HELLO + SEGMENT_HEADERS)
CONNECTION_END = 4 * SEGMENT_HEADERS
IDLE_CONNECTION_SECONDS = 60.0
"""After this long unused a connection is taken as closed."""


def exchange_bytes(request: int, reply: int) -> int:
    """Return the bytes of one request and its reply, both ways."""
    # The reply acknowledges the request; the reply's last segment needs
    # an acknowledgement of its own.
    return message_bytes(request) + message_bytes(reply) + SEGMENT_HEADERS


def message_bytes(payload: int) -> int:
    """Return the bytes of one message, acknowledgements but the last."""
    total = payload + SP_HEADERS
    segments = -(-total // SEGMENT_PAYLOAD)
    acknowledgements = (segments - 1) // 2
    return total + (segments + acknowledgements) * SEGMENT_HEADERS


def connection_bytes() -> int:
    """Return the bytes of opening and closing one connection."""
    return CONNECTION + CONNECTION_END
