"""Checks shared by the decoders of the platform's data."""

from __future__ import annotations

import re
import typing

import msgspec

PORT_MAX = 65_535


_FIELD = re.compile(r"required field `(\w+)`|- at `\$\.(\w+)")
_T = typing.TypeVar("_T")


class InvalidDataError(Exception):
    """Data that does not fit its type.

    ``reason`` names the field at fault, or is a word for the log.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def decode_struct(
    decoder: msgspec.json.Decoder[_T], data: bytes | msgspec.Raw
) -> _T:
    """Return the JSON object in ``data``; raises ``InvalidDataError``."""
    try:
        return decoder.decode(data)
    except msgspec.ValidationError as error:
        found = _FIELD.search(str(error))
        reason = _whole_fault(data) if found is None else found[1] or found[2]
        raise InvalidDataError(reason) from error
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidDataError("not_json") from error


def _whole_fault(data: bytes | msgspec.Raw) -> str:
    """Return why data is not an object: the decoder stops where it differs."""
    try:
        msgspec.json.decode(data, type=msgspec.Raw)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return "not_json"
    return "not_an_object"


def parse_port(text: str) -> int | None:
    """Return the port number in ``text``, or None if it is not valid."""
    if not (text.isascii() and text.isdigit() and len(text) <= 5):
        return None
    port = int(text)
    return port if 0 < port <= PORT_MAX else None
