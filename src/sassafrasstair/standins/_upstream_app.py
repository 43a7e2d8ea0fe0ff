"""HTTP side of a stand-in upstream."""

from __future__ import annotations

import asyncio
import hashlib
import sys
import time
import typing

import litestar
from litestar import params
import msgspec

from sassafrasstair.standins import _answers
from sassafrasstair.standins import _http
from sassafrasstair.standins import _model
from sassafrasstair.standins import _ran
from sassafrasstair.standins import _serving
from sassafrasstair.standins import _upstream

if typing.TYPE_CHECKING:
    from collections import abc

LINGER_SECONDS = 0.2
POLL_SECONDS = 0.02


class Health(msgspec.Struct, frozen=True):
    """Answer of ``/health``; ``load`` 1.0 is all slots in use."""

    state: str
    load: float


class Behaviour(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What ``PUT /behaviour`` sets, in place of the command's options."""

    service_ms: float
    health_lag_ms: int = 0
    health_says: str = ""
    rate_limit: float | None = None


def app(upstream: _upstream.Upstream) -> litestar.Litestar:
    """Return the application: work on every path but the stand-in's own."""

    @litestar.get("/health")
    async def health() -> Health:
        now = time.monotonic()
        return Health(
            _model.told_state(upstream.model),
            round(_model.told_load(upstream.model, now), 3),
        )

    @litestar.get("/ran")
    async def ran() -> _ran.Ran:
        return upstream.ran

    @litestar.put("/behaviour")
    async def behaviour(data: params.JSONBody[Behaviour]) -> None:
        old = upstream.model.rules
        upstream.model.rules = _model.Rules(
            old.slots,
            data.service_ms / 1000,
            old.cold,
            data.health_lag_ms / 1000,
            data.health_says,
            data.rate_limit,
        )

    @litestar.asgi("/", is_mount=True, copy_scope=False)
    async def work(
        scope: litestar.types.Scope,
        receive: litestar.types.Receive,
        send: litestar.types.Send,
    ) -> None:
        reply = await _work(upstream, scope, receive)
        if reply is not None:
            await _send(send, reply, _notice_headers(upstream.model))

    return litestar.Litestar(
        [health, ran, behaviour, work],
        openapi_config=None,
        logging_config=None,
    )


async def run_upstream(upstream: _upstream.Upstream, listen: str) -> None:
    """Serve until SIGTERM, then drain; tell what was run at the end."""
    stop = _serving.stop_event()
    listener = _serving.Listener(app(upstream), listen)
    await listener.start()
    await stop.wait()
    upstream.model.draining = True
    await asyncio.sleep(LINGER_SECONDS)
    while upstream.model.inflight:
        await asyncio.sleep(POLL_SECONDS)
    await listener.stop()
    await upstream.http.close()
    sys.stdout.buffer.write(msgspec.json.encode(upstream.ran) + b"\n")


def new_upstream(
    name: str,
    rules: _model.Rules,
    children: tuple[str, ...],
    daemon: str,
    direct: abc.Iterable[tuple[str, str]],
) -> _upstream.Upstream:
    """Return an upstream that starts cold now."""
    return _upstream.Upstream(
        name,
        _model.Model(rules, time.monotonic()),
        _ran.Ran(name),
        _http.Http(),
        children,
        _upstream.child_roots(children, daemon, direct),
        is_direct=not daemon,
    )


async def _work(
    upstream: _upstream.Upstream,
    scope: litestar.types.Scope,
    receive: litestar.types.Receive,
) -> _upstream.Reply | None:
    if _model.sheds(upstream.model):
        upstream.shed += 1
        return _upstream.refusal(503, _upstream.Effect.NONE)
    request = await _read(scope, receive)
    if request is None:
        return None
    running = asyncio.create_task(_upstream.handle(upstream, request))
    gone = asyncio.create_task(_disconnected(receive))
    await asyncio.wait({running, gone}, return_when=asyncio.FIRST_COMPLETED)
    if running.done():
        gone.cancel()
        return running.result()
    running.cancel()
    upstream.cancelled += 1
    return None


async def _read(
    scope: litestar.types.Scope, receive: litestar.types.Receive
) -> _upstream.Request | None:
    """Read a request; None if the client went away before its end.

    The body is not kept: only its first bytes, digest and size are.
    """
    hasher = hashlib.sha256()
    head = b""
    size = 0
    more = True
    while more:
        message = typing.cast("dict[str, typing.Any]", await receive())
        if message["type"] != "http.request":
            return None
        chunk = message.get("body", b"")
        hasher.update(chunk)
        size += len(chunk)
        if len(head) < _answers.NONCE_BYTES:
            head += chunk[: _answers.NONCE_BYTES]
        more = message.get("more_body", False)
    headers = {
        name.decode("latin-1"): value.decode("latin-1")
        for name, value in scope["headers"]
    }
    timeout_ms = headers.get("sassafras-timeout-ms", "")
    return _upstream.Request(
        nonce=head[: _answers.NONCE_BYTES].decode("latin-1"),
        digest=hasher.hexdigest(),
        size=size,
        context=headers.get("sassafras-context", ""),
        ticket=headers.get("sassafras-ticket", ""),
        timeout=int(timeout_ms) / 1000
        if timeout_ms.isdigit()
        else _upstream.DEFAULT_TIMEOUT_SECONDS,
    )


async def _disconnected(receive: litestar.types.Receive) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return


def _notice_headers(model: _model.Model) -> list[tuple[bytes, bytes]]:
    """Return what the stand-in says of itself in each answer."""
    headers = []
    if model.rules.rate_limit is not None:
        headers.append((b"sassafras-limit", b"%.3f" % model.rules.rate_limit))
    if model.draining:
        headers.append((b"sassafras-leaving", b"1"))
    return headers


async def _send(
    send: litestar.types.Send,
    reply: _upstream.Reply,
    notice_headers: list[tuple[bytes, bytes]],
) -> None:
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(reply.body)).encode()),
        *notice_headers,
    ]
    if reply.effect is not None:
        headers.append((b"sassafras-outcome", reply.effect.value.encode()))
    await send(
        {
            "type": "http.response.start",
            "status": reply.status,
            "headers": headers,
        }
    )
    await send(
        {
            "type": "http.response.body",
            "body": reply.body,
            "more_body": False,
        }
    )
