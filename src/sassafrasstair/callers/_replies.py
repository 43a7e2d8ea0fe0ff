"""Answers and refusals on their way back to the caller."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
import typing

from sassafrasstair.callers import _bodies
from sassafrasstair.callers import _refusals
from sassafrasstair.callers import _request

if typing.TYPE_CHECKING:
    from litestar import types

NO_LENGTH_STATUSES = frozenset({204, 304})

_LOG = logging.getLogger(__name__)


class _Vanished(Exception):
    """The caller went away while its answer was passed on."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answering:
    """How to answer one request: by ``send``, to ``method``."""

    send: types.Send
    method: str
    close: bool


async def send(
    answering: Answering,
    answer: _request.Reply | _request.Refusal,
    incoming: _bodies.Incoming | None,
) -> None:
    """Send the answer. A streamed one is cut where it can't be whole."""
    reply = answer
    if isinstance(reply, _request.Refusal):
        reply = _refusals.to_reply(reply)
    await answering.send(
        {
            "type": "http.response.start",
            "status": reply.status,
            "headers": _headers(answering, reply),
        }
    )
    if reply.remaining_parts is None:
        await _send_body(answering, reply.body, more=False)
        return
    try:
        await _send_parts(answering, reply, incoming)
    except Exception as error:
        # The server closes the connection of an answer that is not ended,
        # which shows the caller that it is not whole.
        _LOG.warning("event=answer_cut detail=%r", str(error) or repr(error))


async def _send_parts(
    answering: Answering,
    reply: _request.Reply,
    incoming: _bodies.Incoming | None,
) -> None:
    # Failure: a caller vanishes, or reads nothing more. The server takes
    # and drops what is sent to a caller that is gone, and waits for ever
    # for one that does not read; the callee would go on with work for
    # nobody, or a planned stop never end. Closing the parts cancels it.
    assert reply.remaining_parts is not None
    watching = None
    if incoming is not None:
        watching = asyncio.ensure_future(_bodies.wait_until_gone(incoming))
    try:
        async with (
            asyncio.timeout(reply.send_timeout),
            contextlib.aclosing(reply.remaining_parts),
        ):
            await _send_body(answering, reply.body, more=True)
            async for part in reply.remaining_parts:
                if incoming is not None and incoming.gone:
                    raise _Vanished
                await _send_body(answering, part, more=True)
            await _send_body(answering, b"", more=False)
    finally:
        if watching is not None:
            watching.cancel()


async def _send_body(answering: Answering, body: bytes, *, more: bool) -> None:
    await answering.send(
        {"type": "http.response.body", "body": body, "more_body": more}
    )


def _headers(
    answering: Answering, reply: _request.Reply
) -> list[tuple[bytes, bytes]]:
    """Return the answer's headers with the length that its body has.

    The answer to HEAD has no body and tells the length of the one that GET
    would have; 204 and 304 have neither.
    """
    bare = reply.status in NO_LENGTH_STATUSES
    keeps = not bare and (
        reply.remaining_parts is not None or answering.method == "HEAD"
    )
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in reply.headers
        if keeps or name != "content-length"
    ]
    if not bare and not keeps:
        headers.append((b"content-length", b"%d" % len(reply.body)))
    if answering.close:
        headers.append((b"connection", b"close"))
    return headers
