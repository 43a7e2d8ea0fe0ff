"""A caller's body as it comes in, and whether the caller is still there."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

from sassafrasstair.callers import _request

if typing.TYPE_CHECKING:
    from collections import abc

    from litestar import types

FIRST_PART_BYTES = 65_536
FIRST_PART_SECONDS = 30.0


class TooSlow(Exception):
    """The body's first part did not come within its time."""


@dataclasses.dataclass(slots=True)
class Incoming:
    """One request's messages from the server.

    Only one reader may wait for a message: ``parts`` until ``ended`` is
    set, ``wait_until_gone`` after that.
    """

    receive: types.Receive
    parts: abc.AsyncGenerator[bytes, None] = dataclasses.field(init=False)
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    gone: bool = False

    def __post_init__(self) -> None:
        """Begin the body; nothing is read yet."""
        self.parts = _parts(self)


async def first_part(incoming: Incoming) -> tuple[bytes, bool]:
    """Return the body's beginning and whether more may follow.

    Raises ``TooSlow`` when a caller sends its head and then nothing: it has
    no deadline yet that would end it, and a planned stop waits for it.
    """
    try:
        async with asyncio.timeout(FIRST_PART_SECONDS):
            return await _first_part(incoming)
    except TimeoutError as error:
        raise TooSlow from error


async def wait_until_gone(incoming: Incoming) -> None:
    """Return when the caller has gone away; body messages are dropped."""
    await incoming.ended.wait()
    while (await incoming.receive())["type"] != "http.disconnect":
        pass
    incoming.gone = True


async def _first_part(incoming: Incoming) -> tuple[bytes, bool]:
    collected = bytearray()
    while len(collected) < FIRST_PART_BYTES:
        chunk = await anext(incoming.parts, None)
        if chunk is None:
            return bytes(collected), False
        collected += chunk
    return bytes(collected), True


async def _parts(incoming: Incoming) -> abc.AsyncGenerator[bytes, None]:
    more = True
    while more:
        received = await incoming.receive()
        message = typing.cast("dict[str, typing.Any]", received)
        if message["type"] == "http.disconnect":
            raise _request.CallerGone
        chunk = message.get("body", b"")
        more = bool(message.get("more_body", False))
        if not more:
            incoming.ended.set()
        if chunk:
            yield chunk
