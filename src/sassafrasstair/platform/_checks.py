"""Checks shared by the decoders of the platform's data."""

from __future__ import annotations

import typing

import msgspec

PORT_MAX = 65_535


class JsonObjectError(Exception):
    """Data that is not a JSON object; ``reason`` is a word for the log."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def decode_object(data: bytes | msgspec.Raw) -> dict[str, typing.Any]:
    """Return the JSON object in ``data``; raises ``JsonObjectError``."""
    try:
        decoded = msgspec.json.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise JsonObjectError("not_json") from error
    if not isinstance(decoded, dict):
        raise JsonObjectError("not_an_object")
    return decoded


def parse_port(text: str) -> int | None:
    """Return the port number in ``text``, or None if it is not valid."""
    if not (text.isascii() and text.isdigit() and len(text) <= 5):
        return None
    port = int(text)
    return port if 0 < port <= PORT_MAX else None
