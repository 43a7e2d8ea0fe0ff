"""Reading of a caller's request body, and detection of its disconnect."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import typing

from sassafrasstair.callers import _intake
from sassafrasstair.callers import _request

if typing.TYPE_CHECKING:
    from collections import abc

    from litestar import types

FIRST_PART_BYTES = 65_536
FIRST_PART_SECONDS = 30.0
LINGER_SECONDS = 2.0
"""How long the rest of a body is read after an answer that closes the
connection. With unread data the kernel would reset the connection, and the
caller might never read the answer (RFC 9112, 9.6)."""


class BodyTimeout(Exception):
    """The first part of the body did not arrive in time."""


@dataclasses.dataclass(slots=True)
class RequestMessages:
    """The ASGI messages that the server delivers for one request.

    Only one reader may wait for a message: ``body_parts`` until
    ``body_ended`` is set, ``wait_for_disconnect`` after that.
    """

    receive: types.Receive
    body_parts: abc.AsyncGenerator[bytes, None] = dataclasses.field(init=False)
    body_ended: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    disconnected: bool = False

    def __post_init__(self) -> None:
        """Create the body's generator, which reads nothing until iterated."""
        self.body_parts = _read_body_parts(self)


async def read_first_part(
    messages: RequestMessages, intake: _intake.Intake, of_upstream: bool
) -> tuple[bytes, bool]:
    """Return the first part of the body and whether more may follow.

    Raises ``BodyTimeout`` when a caller sends the headers and then stalls.
    Such a request has no deadline yet that would end it, and a planned stop
    waits for it if it is a call ``of_upstream``. Raises ``NotTaken`` when
    the stop begins.
    """
    try:
        async with _intake.reading(intake, of_upstream, FIRST_PART_SECONDS):
            return await _collect_first_part(messages)
    except TimeoutError as error:
        raise BodyTimeout from error


async def discard_rest(messages: RequestMessages) -> None:
    """Read and drop what the caller still sends, for a short time."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(LINGER_SECONDS):
            while not await _is_last(messages):
                pass


async def wait_for_disconnect(messages: RequestMessages) -> None:
    """Wait until the caller disconnects, dropping any body messages."""
    await messages.body_ended.wait()
    while (await messages.receive())["type"] != "http.disconnect":
        pass
    messages.disconnected = True


async def _is_last(messages: RequestMessages) -> bool:
    received = await messages.receive()
    message = typing.cast("dict[str, typing.Any]", received)
    return not message.get("more_body", False)


async def _collect_first_part(messages: RequestMessages) -> tuple[bytes, bool]:
    collected = bytearray()
    while len(collected) < FIRST_PART_BYTES:
        chunk = await anext(messages.body_parts, None)
        if chunk is None:
            return bytes(collected), False
        collected += chunk
    return bytes(collected), True


async def _read_body_parts(
    messages: RequestMessages,
) -> abc.AsyncGenerator[bytes, None]:
    more = True
    while more:
        received = await messages.receive()
        message = typing.cast("dict[str, typing.Any]", received)
        if message["type"] == "http.disconnect":
            raise _request.CallerGone
        chunk = message.get("body", b"")
        more = bool(message.get("more_body", False))
        if not more:
            messages.body_ended.set()
        if chunk:
            yield chunk
