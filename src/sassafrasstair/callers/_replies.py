"""Sending of answers and refusals to the caller."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
import typing

from sassafrasstair.callers import _bodies
from sassafrasstair.callers import _intake
from sassafrasstair.callers import _refusals
from sassafrasstair.callers import _request

if typing.TYPE_CHECKING:
    from litestar import types

NO_LENGTH_STATUSES = frozenset({204, 304})

_LOG = logging.getLogger(__name__)


class _Vanished(Exception):
    """The caller disconnected while its answer was being sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Responder:
    """What is needed to answer one request.

    ``send`` is the ASGI callable, ``method`` the request's HTTP method.
    Once the daemon leaves, the answer asks the caller to close the
    connection.
    """

    send: types.Send
    method: str
    intake: _intake.Intake


async def send(
    responder: Responder,
    answer: _request.Reply | _request.Refusal,
    messages: _bodies.RequestMessages | None,
) -> None:
    """Send the answer; a streamed one is cut off if it can't be completed."""
    reply = answer
    if isinstance(reply, _request.Refusal):
        reply = _refusals.to_reply(reply)
    await responder.send(
        {
            "type": "http.response.start",
            "status": reply.status,
            "headers": _headers(responder, reply),
        }
    )
    if reply.remaining_parts is None:
        await _send_whole(responder, reply.body, messages)
        return
    try:
        await _send_parts(responder, reply, messages)
    except Exception as error:
        # The server closes the connection when an answer is not completed,
        # which shows the caller that the answer is incomplete.
        _LOG.warning("event=answer_cut detail=%r", str(error) or repr(error))


async def _send_whole(
    responder: Responder,
    body: bytes,
    messages: _bodies.RequestMessages | None,
) -> None:
    is_early = messages is not None and not messages.body_ended.is_set()
    if messages is not None and is_early and responder.intake.leaving:
        # The server closes the connection with the end of the answer.
        await _send_body(responder, body, more=True)
        await _bodies.discard_rest(messages)
        body = b""
    await _send_body(responder, body, more=False)


async def _send_parts(
    responder: Responder,
    reply: _request.Reply,
    messages: _bodies.RequestMessages | None,
) -> None:
    # A caller may disconnect or stop reading. The server silently drops
    # what is sent to a disconnected caller, and waits without limit for one
    # that does not read. Then the callee would continue work that nobody
    # needs, or a planned stop would never end. Closing the generator of
    # parts cancels the work at the callee.
    assert reply.remaining_parts is not None
    watcher = None
    if messages is not None:
        watcher = asyncio.ensure_future(_bodies.wait_for_disconnect(messages))
    try:
        async with (
            asyncio.timeout(reply.send_timeout),
            contextlib.aclosing(reply.remaining_parts),
        ):
            await _send_body(responder, reply.body, more=True)
            async for part in reply.remaining_parts:
                if messages is not None and messages.disconnected:
                    raise _Vanished
                await _send_body(responder, part, more=True)
            await _send_body(responder, b"", more=False)
    finally:
        if watcher is not None:
            watcher.cancel()


async def _send_body(responder: Responder, body: bytes, *, more: bool) -> None:
    await responder.send(
        {"type": "http.response.body", "body": body, "more_body": more}
    )


def _headers(
    responder: Responder, reply: _request.Reply
) -> list[tuple[bytes, bytes]]:
    """Return the answer's headers with the right ``Content-Length``.

    An answer to HEAD has no body and states the length of the body that GET
    would return. Answers with status 204 or 304 have no body and no length.
    """
    has_no_length = reply.status in NO_LENGTH_STATUSES
    keeps_length = not has_no_length and (
        reply.remaining_parts is not None or responder.method == "HEAD"
    )
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in reply.headers
        if keeps_length or name != "content-length"
    ]
    if not has_no_length and not keeps_length:
        headers.append((b"content-length", b"%d" % len(reply.body)))
    if responder.intake.leaving:
        headers.append((b"connection", b"close"))
    return headers
