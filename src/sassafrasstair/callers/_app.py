"""The HTTP application that callers call: one ASGI mount under litestar.

Litestar's request layer costs more than the whole hop may, and would read
a large body into memory; so the calls are handled as raw ASGI messages
inside its mount.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing

import litestar
from litestar import types

from sassafrasstair.callers import _refusals
from sassafrasstair.callers import _request
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from collections import abc

    CallHandler = abc.Callable[
        [_request.Request],
        abc.Awaitable[_request.Reply | _request.Refusal],
    ]
    TicketHandler = abc.Callable[
        [str, _request.Fields],
        abc.Awaitable[_request.TicketReply | _request.Refusal],
    ]

CALL_PREFIX = "/v1/call"
TICKET_PREFIX = "/v1/ticket"
FIRST_BODY_BYTES = 65_536
CREATED = 201


def create_app(call: CallHandler, ticket: TicketHandler) -> litestar.Litestar:
    """Return the application; ``call`` and ``ticket`` decide."""

    @litestar.asgi(CALL_PREFIX, is_mount=True, copy_scope=False)
    async def calls(
        scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        await _serve_call(
            call, typing.cast("types.HTTPScope", scope), receive, send
        )

    @litestar.asgi(TICKET_PREFIX, is_mount=True, copy_scope=False)
    async def tickets(
        scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        await _serve_ticket(
            ticket, typing.cast("types.HTTPScope", scope), send
        )

    return litestar.Litestar(
        route_handlers=[calls, tickets],
        openapi_config=None,
        logging_config=None,
    )


async def _serve_call(
    call: CallHandler,
    scope: types.HTTPScope,
    receive: types.Receive,
    send: types.Send,
) -> None:
    try:
        request = await _read(scope, receive)
    except _request.CallerGone:
        return
    except _request.Malformed as error:
        await _send_refusal(send, _malformed(error))
        return
    reply = await _until_gone(call, request, receive)
    if isinstance(reply, _request.Refusal):
        await _send_refusal(send, reply)
    elif reply is not None:
        await _send_reply(send, reply)


async def _serve_ticket(
    ticket: TicketHandler, scope: types.HTTPScope, send: types.Send
) -> None:
    try:
        fields = _request.read_fields(_headers(scope))
    except _request.Malformed as error:
        await _send_refusal(send, _malformed(error))
        return
    service = _path(scope, TICKET_PREFIX).strip("/")
    reply = await ticket(service, fields)
    if isinstance(reply, _request.Refusal):
        await _send_refusal(send, reply)
        return
    body = b'{"ticket":"%s","expires_in_ms":%d}' % (
        reply.ticket.encode(),
        int(reply.expires_in * 1000),
    )
    headers = (("content-type", "application/json"),)
    await _send_reply(send, _request.Reply(CREATED, headers, body))


async def _read(
    scope: types.HTTPScope, receive: types.Receive
) -> _request.Request:
    headers = _headers(scope)
    fields = _request.read_fields(headers)
    service, _, rest = _path(scope, CALL_PREFIX).lstrip("/").partition("/")
    query = scope["query_string"].decode("latin-1")
    parts = _body_parts(receive)
    body, more = await _first_part(parts)
    return _request.Request(
        method=scope["method"],
        service=service,
        path=f"/{rest}?{query}" if query else f"/{rest}",
        headers=_request.own_headers(headers),
        fields=fields,
        body=body,
        length=_length(headers),
        more=more,
        parts=parts,
    )


async def _first_part(
    parts: abc.AsyncGenerator[bytes, None],
) -> tuple[bytes, bool]:
    collected = bytearray()
    while len(collected) < FIRST_BODY_BYTES:
        chunk = await anext(parts, None)
        if chunk is None:
            return bytes(collected), False
        collected += chunk
    return bytes(collected), True


async def _body_parts(
    receive: types.Receive,
) -> abc.AsyncGenerator[bytes, None]:
    more = True
    while more:
        message = typing.cast("dict[str, typing.Any]", await receive())
        if message["type"] == "http.disconnect":
            raise _request.CallerGone
        chunk = message.get("body", b"")
        more = bool(message.get("more_body", False))
        if chunk:
            yield chunk


async def _until_gone(
    call: CallHandler, request: _request.Request, receive: types.Receive
) -> _request.Reply | _request.Refusal | None:
    """Run the call; cancel it and return None if the caller goes away."""
    if request.more:
        # The handler reads the rest itself and so sees the caller go.
        with contextlib.suppress(_request.CallerGone):
            return await call(request)
        return None
    working = asyncio.ensure_future(call(request))
    leaving = asyncio.ensure_future(_gone(receive))
    await asyncio.wait({working, leaving}, return_when=asyncio.FIRST_COMPLETED)
    leaving.cancel()
    if working.done():
        return working.result()
    working.cancel()
    await asyncio.wait({working})
    return None


async def _gone(receive: types.Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _send_refusal(send: types.Send, refusal: _request.Refusal) -> None:
    await _send_reply(send, _refusals.to_reply(refusal))


async def _send_reply(send: types.Send, reply: _request.Reply) -> None:
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in reply.headers
        if reply.parts is not None or name != "content-length"
    ]
    if reply.parts is None:
        headers.append((b"content-length", b"%d" % len(reply.body)))
    await send(
        {
            "type": "http.response.start",
            "status": reply.status,
            "headers": headers,
        }
    )
    if reply.parts is None:
        await _send_body(send, reply.body, more=False)
        return
    await _send_body(send, reply.body, more=True)
    async for part in reply.parts:
        await _send_body(send, part, more=True)
    await _send_body(send, b"", more=False)


async def _send_body(send: types.Send, body: bytes, *, more: bool) -> None:
    await send({"type": "http.response.body", "body": body, "more_body": more})


def _headers(scope: types.HTTPScope) -> _request.Headers:
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in scope["headers"]
    )


def _path(scope: types.HTTPScope, prefix: str) -> str:
    raw = scope.get("raw_path") or str(scope["path"]).encode()
    text = raw.decode("latin-1").partition("?")[0]
    return text.removeprefix(prefix)


def _length(headers: _request.Headers) -> int:
    for name, value in headers:
        if name == "content-length" and value.isdigit():
            return int(value)
    return -1


def _malformed(error: _request.Malformed) -> _request.Refusal:
    return _request.Refusal(
        outcomes.Outcome.NOT_RUN, outcomes.Reason.MALFORMED, 0.0, str(error)
    )
