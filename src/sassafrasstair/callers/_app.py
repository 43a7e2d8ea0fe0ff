"""HTTP application for callers, as ASGI mounts under litestar.

The mounts handle raw ASGI messages. Litestar's request layer alone takes
more time than the daemons may add to a call in total, and it reads large
bodies into memory.

A ticket is issued for one piece of once-only work. The call and its repeats
carry the same ticket, so that the work does not run twice.
"""

from __future__ import annotations

import asyncio
import logging
import typing

import litestar
from litestar import types

from sassafrasstair.callers import _bodies
from sassafrasstair.callers import _intake
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
HTTP_CREATED = 201
LEAVING_RETRY_AFTER = 1.0

_LOG = logging.getLogger(__name__)


def create_app(
    handle_call: CallHandler,
    handle_ticket: TicketHandler,
    intake: _intake.Intake,
    on_refusal: RefusalHandler,
) -> litestar.Litestar:
    """Return the application.

    ``handle_call`` and ``handle_ticket`` answer or refuse each request.
    ``intake`` says which requests are read while the daemon stops.
    ``on_refusal`` receives the refusals that are made here, because of a
    malformed or late request, a stop or an internal fault. An internal
    fault is reported as a refusal too, since a refusal is the only reply
    without an answer of an upstream; its outcome says whether the request
    may have run.
    """

    @litestar.asgi(CALL_PREFIX, is_mount=True, copy_scope=False)
    async def calls(
        scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        http = typing.cast("types.HTTPScope", scope)
        responder = _replies.Responder(send, http["method"], intake)
        await _serve_call(handle_call, http, receive, responder, on_refusal)

    @litestar.asgi(TICKET_PREFIX, is_mount=True, copy_scope=False)
    async def tickets(
        scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        http = typing.cast("types.HTTPScope", scope)
        responder = _replies.Responder(send, http["method"], intake)
        await _serve_ticket(handle_ticket, http, responder, on_refusal)

    return litestar.Litestar(
        route_handlers=[calls, tickets],
        openapi_config=None,
        logging_config=None,
    )


async def _serve_call(
    handle_call: CallHandler,
    scope: types.HTTPScope,
    receive: types.Receive,
    responder: _replies.Responder,
    on_refusal: RefusalHandler,
) -> None:
    headers = _headers(scope)
    messages = _bodies.RequestMessages(receive)
    try:
        request = await _read_request(
            scope, headers, messages, responder.intake
        )
        reply = await _run_until_disconnect(handle_call, request, messages)
    except _request.CallerGone:
        return
    except _request.Malformed as error:
        reply = _malformed_refusal(headers, error)
        on_refusal(reply)
    except _intake.NotTaken:
        reply = _leaving_refusal(headers)
        on_refusal(reply)
    except _bodies.BodyTimeout:
        reply = _body_timeout_refusal(headers)
        on_refusal(reply)
    except Exception:
        # An internal fault. The call may or may not have run, so the
        # outcome is unknown. Without this refusal the caller would get the
        # server's plain-text error or no response.
        _LOG.exception("event=call_fault path=%s", scope["path"])
        reply = _request.Refusal(
            outcomes.Outcome.UNKNOWN, outcomes.Reason.INTERNAL_FAULT
        )
        on_refusal(reply)
    await _replies.send(responder, reply, messages)


async def _serve_ticket(
    handle_ticket: TicketHandler,
    scope: types.HTTPScope,
    responder: _replies.Responder,
    on_refusal: RefusalHandler,
) -> None:
    service = _path_below(scope, TICKET_PREFIX).strip("/")
    try:
        fields = _request.read_fields(_headers(scope))
        reply = await handle_ticket(service, fields)
    except _request.Malformed as error:
        reply = _malformed_refusal((), error)
        on_refusal(reply)
    except Exception:
        # The caller does not get the ticket, so nothing can run under it.
        _LOG.exception("event=ticket_fault path=%s", scope["path"])
        reply = _request.Refusal(
            outcomes.Outcome.NOT_RUN, outcomes.Reason.INTERNAL_FAULT
        )
        on_refusal(reply)
    if isinstance(reply, _request.Refusal):
        await _replies.send(responder, reply, None)
        return
    body = b'{"ticket":"%s","expires_in_ms":%d}' % (
        reply.ticket.encode(),
        int(reply.expires_in * 1000),
    )
    json = (("content-type", "application/json"),)
    await _replies.send(
        responder, _request.Reply(HTTP_CREATED, json, body), None
    )


async def _read_request(
    scope: types.HTTPScope,
    headers: _request.Headers,
    messages: _bodies.RequestMessages,
    intake: _intake.Intake,
) -> _request.Request:
    # ``fields`` holds the values of the ``Sassafras-*`` headers, which the
    # daemon uses itself; ``forwarded`` holds the headers for the upstream.
    fields = _request.read_fields(headers)
    forwarded = _request.forwarded_headers(headers)
    service, _, rest = (
        _path_below(scope, CALL_PREFIX).lstrip("/").partition("/")
    )
    query = scope["query_string"].decode("latin-1")
    body, has_more_parts = await _bodies.read_first_part(
        messages, intake, bool(fields.parent_attempt_id)
    )
    return _request.Request(
        method=scope["method"],
        service=service,
        path=f"/{rest}?{query}" if query else f"/{rest}",
        headers=forwarded,
        fields=fields,
        first_part=body,
        body_length=_content_length(headers),
        has_more_parts=has_more_parts,
        remaining_parts=messages.body_parts,
    )


async def _run_until_disconnect(
    handle_call: CallHandler,
    request: _request.Request,
    messages: _bodies.RequestMessages,
) -> _request.Reply | _request.Refusal:
    """Run the call, and cancel it if the caller disconnects.

    Raises ``CallerGone`` after cancelling. The call runs in the current
    task, and a second task waits for the disconnect. A separate task for
    the call would add latency to each call.
    """
    task = typing.cast("asyncio.Task[None]", asyncio.current_task())
    watcher = asyncio.ensure_future(_cancel_on_disconnect(messages, task))
    try:
        return await handle_call(request)
    except asyncio.CancelledError:
        if not messages.disconnected or task.uncancel():
            raise
        raise _request.CallerGone from None
    finally:
        watcher.cancel()


async def _cancel_on_disconnect(
    messages: _bodies.RequestMessages, task: asyncio.Task[None]
) -> None:
    await _bodies.wait_for_disconnect(messages)
    task.cancel()


def _headers(scope: types.HTTPScope) -> _request.Headers:
    # The server leaves white space behind a value, which is no part of it.
    return tuple(
        (name.decode("latin-1"), value.strip(b" \t").decode("latin-1"))
        for name, value in scope["headers"]
    )


def _path_below(scope: types.HTTPScope, prefix: str) -> str:
    raw = scope.get("raw_path") or str(scope["path"]).encode()
    text = raw.decode("latin-1").partition("?")[0]
    return text.removeprefix(prefix)


def _content_length(headers: _request.Headers) -> int:
    for name, value in headers:
        if name == "content-length" and value.isdigit():
            return int(value)
    return -1


def _malformed_refusal(
    headers: _request.Headers, error: _request.Malformed
) -> _request.Refusal:
    return _request.Refusal(
        _refusal_outcome(headers), outcomes.Reason.MALFORMED, 0.0, str(error)
    )


def _leaving_refusal(headers: _request.Headers) -> _request.Refusal:
    return _request.Refusal(
        _refusal_outcome(headers),
        outcomes.Reason.LEAVING,
        LEAVING_RETRY_AFTER,
        "this daemon stops",
    )


def _body_timeout_refusal(headers: _request.Headers) -> _request.Refusal:
    return _request.Refusal(
        _refusal_outcome(headers),
        outcomes.Reason.DEADLINE_PASSED,
        0.0,
        "the body's beginning did not come in time",
    )


def _refusal_outcome(headers: _request.Headers) -> outcomes.Outcome:
    # Headers with a ticket and a repeat count above 0 show that the caller
    # has sent this request before; that earlier one may have run.
    if _request.may_have_run(headers):
        return outcomes.Outcome.UNKNOWN
    return outcomes.Outcome.NOT_RUN
