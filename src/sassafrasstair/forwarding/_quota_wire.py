"""Encodes messages about quotas between daemons as MessagePack."""

from __future__ import annotations

import typing

import msgspec

from sassafrasstair.decisions import quotas
from sassafrasstair.forwarding import _wire

TOKENS_PATH = b"/-sassafras/quota/tokens"
SHARES_PATH = b"/-sassafras/quota/shares"
CANVASS_PATH = b"/-sassafras/quota/canvass"
_T = typing.TypeVar("_T")

Message = (
    quotas.Ask
    | quotas.Granted
    | quotas.Canvass
    | quotas.Update
    | quotas.Acknowledged
)


def encode(message: Message) -> bytes:
    """Return the body of a message."""
    return msgspec.msgpack.encode(message)


def decode(body: bytes, kind: type[_T]) -> _T:
    """Return the message in a body; raises ``WireError``."""
    try:
        message = msgspec.msgpack.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise _wire.WireError(f"quota: {error}") from error
    if not quotas.is_valid(message):
        raise _wire.WireError("quota: amount out of range")
    return message
