"""Checks that all of the platform's texts need."""

from __future__ import annotations

import typing

import msgspec

PORT_MAX = 65_535


class JsonObjectError(Exception):
    """Bytes that are no JSON object; ``reason`` says what they are not."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def decode_object(data: bytes | msgspec.Raw) -> dict[str, typing.Any]:
    """Return the JSON object in ``data``; raises ``ObjectError``."""
    try:
        found = msgspec.json.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise JsonObjectError("not_json") from error
    if not isinstance(found, dict):
        raise JsonObjectError("not_an_object")
    return found


def parse_port(text: str) -> int | None:
    """Return the port that a text names, None if it names none."""
    if not (text.isascii() and text.isdigit() and len(text) <= 5):
        return None
    port = int(text)
    return port if 0 < port <= PORT_MAX else None
