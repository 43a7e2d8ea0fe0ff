"""The HTTP application that callers call: one ASGI mount under litestar.

Litestar's request layer costs more than the whole hop may, and would read
a large body into memory; so the calls are handled as raw ASGI messages
inside its mount.
"""

from __future__ import annotations

import asyncio
import logging
import typing

import litestar
from litestar import types

from sassafrasstair.callers import _bodies
from sassafrasstair.callers import _replies
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
    RefusalHandler = abc.Callable[[_request.Refusal], None]

CALL_PREFIX = "/v1/call"
TICKET_PREFIX = "/v1/ticket"
CREATED = 201

_LOG = logging.getLogger(__name__)


def create_app(
    handle_call: CallHandler,
    handle_ticket: TicketHandler,
    is_leaving: abc.Callable[[], bool],
    on_refusal: RefusalHandler,
) -> litestar.Litestar:
    """Return the application; ``call`` and ``ticket`` decide.

    While ``leaving``, each answer asks its caller to close the connection.
    ``refused`` is told what is refused here, before they are asked.
    """

    @litestar.asgi(CALL_PREFIX, is_mount=True, copy_scope=False)
    async def calls(
        scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        http = typing.cast("types.HTTPScope", scope)
        answer = _replies.Answering(send, http["method"], is_leaving())
        await _serve_call(handle_call, http, receive, answer, on_refusal)

    @litestar.asgi(TICKET_PREFIX, is_mount=True, copy_scope=False)
    async def tickets(
        scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        http = typing.cast("types.HTTPScope", scope)
        answer = _replies.Answering(send, http["method"], is_leaving())
        await _serve_ticket(handle_ticket, http, answer, on_refusal)

    return litestar.Litestar(
        route_handlers=[calls, tickets],
        openapi_config=None,
        logging_config=None,
    )


async def _serve_call(
    call: CallHandler,
    scope: types.HTTPScope,
    receive: types.Receive,
    answer: _replies.Answering,
    refused: RefusalHandler,
) -> None:
    headers = _headers(scope)
    incoming = _bodies.Incoming(receive)
    try:
        request = await _read(scope, headers, incoming)
        reply = await _until_gone(call, request, incoming)
    except _request.CallerGone:
        return
    except _request.Malformed as error:
        reply = _malformed(headers, error)
        refused(reply)
    except _bodies.TooSlow:
        reply = _too_slow(headers)
        refused(reply)
    except Exception:
        # A fault of ours: the caller gets a refusal that is true whatever
        # was done by then, instead of the server's plain text or nothing.
        _LOG.exception("event=call_fault path=%s", scope["path"])
        reply = _request.Refusal(
            outcomes.Outcome.UNKNOWN, outcomes.Reason.INTERNAL_FAULT
        )
        refused(reply)
    await _replies.send(answer, reply, incoming)


async def _serve_ticket(
    ticket: TicketHandler,
    scope: types.HTTPScope,
    answer: _replies.Answering,
    refused: RefusalHandler,
) -> None:
    service = _path(scope, TICKET_PREFIX).strip("/")
    try:
        fields = _request.read_fields(_headers(scope))
        reply = await ticket(service, fields)
    except _request.Malformed as error:
        reply = _malformed((), error)
        refused(reply)
    except Exception:
        # Nothing runs for a ticket that its caller does not get.
        _LOG.exception("event=ticket_fault path=%s", scope["path"])
        reply = _request.Refusal(
            outcomes.Outcome.NOT_RUN, outcomes.Reason.INTERNAL_FAULT
        )
        refused(reply)
    if isinstance(reply, _request.Refusal):
        await _replies.send(answer, reply, None)
        return
    body = b'{"ticket":"%s","expires_in_ms":%d}' % (
        reply.ticket.encode(),
        int(reply.expires_in * 1000),
    )
    json = (("content-type", "application/json"),)
    await _replies.send(answer, _request.Reply(CREATED, json, body), None)


async def _read(
    scope: types.HTTPScope,
    headers: _request.Headers,
    incoming: _bodies.Incoming,
) -> _request.Request:
    fields = _request.read_fields(headers)
    own = _request.own_headers(headers)
    service, _, rest = _path(scope, CALL_PREFIX).lstrip("/").partition("/")
    query = scope["query_string"].decode("latin-1")
    body, more = await _bodies.first_part(incoming)
    return _request.Request(
        method=scope["method"],
        service=service,
        path=f"/{rest}?{query}" if query else f"/{rest}",
        headers=own,
        fields=fields,
        first_part=body,
        body_length=_length(headers),
        has_more_parts=more,
        remaining_parts=incoming.parts,
    )


async def _until_gone(
    call: CallHandler, request: _request.Request, incoming: _bodies.Incoming
) -> _request.Reply | _request.Refusal:
    """Run the call; cancel it and raise if the caller goes away.

    It runs in this task, with one task beside it that watches the caller:
    a task for the call as well would cost each call some more time.
    """
    task = typing.cast("asyncio.Task[None]", asyncio.current_task())
    watching = asyncio.ensure_future(_cancel_when_gone(incoming, task))
    try:
        return await call(request)
    except asyncio.CancelledError:
        if not incoming.gone or task.uncancel():
            raise
        raise _request.CallerGone from None
    finally:
        watching.cancel()


async def _cancel_when_gone(
    incoming: _bodies.Incoming, task: asyncio.Task[None]
) -> None:
    await _bodies.wait_until_gone(incoming)
    task.cancel()


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


def _malformed(
    headers: _request.Headers, error: _request.Malformed
) -> _request.Refusal:
    return _request.Refusal(
        _outcome(headers), outcomes.Reason.MALFORMED, 0.0, str(error)
    )


def _too_slow(headers: _request.Headers) -> _request.Refusal:
    return _request.Refusal(
        _outcome(headers),
        outcomes.Reason.DEADLINE_PASSED,
        0.0,
        "the body's beginning did not come in time",
    )


def _outcome(headers: _request.Headers) -> outcomes.Outcome:
    if _request.may_have_run(headers):
        return outcomes.Outcome.UNKNOWN
    return outcomes.Outcome.NOT_RUN
