"""The work of a stand-in upstream: children first, then its own."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import random
import time
import typing

import msgspec

from sassafrasstair.standins import _answers
from sassafrasstair.standins import _http
from sassafrasstair.standins import _model
from sassafrasstair.standins import _ran

if typing.TYPE_CHECKING:
    from collections import abc

CONTEXT_HEADER = "Sassafras-Context"
OUTCOME_HEADER = "sassafras-outcome"
NOT_RUN = "not run"
NOT_RUN_FROM_UPSTREAM = "not-run"
DEFAULT_TIMEOUT_SECONDS = 30.0
DIRECT_TRIES = 3


class Effect(enum.Enum):
    """What is known of a request's effects so far."""

    NONE = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request as the upstream read it; ``timeout`` in seconds."""

    nonce: str
    digest: str
    size: int
    context: str
    ticket: str
    timeout: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Status, body, and what to tell of a request that was not done."""

    status: int
    body: bytes
    effect: Effect | None = None


@dataclasses.dataclass(slots=True)
class Upstream:
    """State of one stand-in upstream.

    ``children`` are the services it calls, in order; ``roots`` holds, for
    each, the base URLs that take the call: its daemon's, or in direct mode
    those of the service's upstreams.
    """

    name: str
    model: _model.Model
    ran: _ran.Ran
    http: _http.Http
    children: tuple[str, ...] = ()
    roots: dict[str, tuple[str, ...]] = dataclasses.field(default_factory=dict)
    is_direct: bool = False
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    cancelled: int = 0
    shed: int = 0


class _ChildRefused(Exception):
    def __init__(self, effect: Effect) -> None:
        super().__init__(effect.value)
        self.effect = effect


async def handle(upstream: Upstream, request: Request) -> Reply:
    """Run one request that was let in, within its timeout."""
    effect = [Effect.NONE]
    _model.begin(upstream.model, time.monotonic())
    try:
        async with asyncio.timeout(request.timeout):
            done = await _run(upstream, request, effect)
    except TimeoutError:
        return refusal(504, effect[0])
    except _ChildRefused:
        return refusal(503, effect[0])
    finally:
        _model.end(upstream.model, time.monotonic())
    return Reply(200, msgspec.json.encode(done))


def refusal(status: int, effect: Effect) -> Reply:
    """Return the answer for work that was not done whole."""
    body = msgspec.json.encode({"outcome": effect.value})
    return Reply(status, body, effect)


async def _run(
    upstream: Upstream, request: Request, effect: list[Effect]
) -> _answers.Done:
    calls = []
    for service in upstream.children:
        done = await _call_until_done(upstream, request, service, effect)
        calls.append(done)
    effect[0] = Effect.UNKNOWN
    _ran.note(upstream.ran, request.nonce, request.ticket)
    seconds = _model.service_seconds(
        upstream.model, time.monotonic(), upstream.rng
    )
    await asyncio.sleep(seconds)
    return _answers.Done(
        upstream.name,
        request.nonce,
        request.digest,
        request.size,
        tuple(calls),
    )


async def _call_until_done(
    upstream: Upstream,
    request: Request,
    service: str,
    effect: list[Effect],
) -> _answers.Done:
    """Call one child; without a daemon, again when it fails.

    That is the plain forwarding that the system is compared with: each
    hop retries by itself, as HTTP clients are usually set up to.
    """
    tries = DIRECT_TRIES if upstream.is_direct else 1
    for _ in range(tries - 1):
        try:
            return await _call(upstream, request, service, effect)
        except _ChildRefused:
            continue
    return await _call(upstream, request, service, effect)


async def _call(
    upstream: Upstream,
    request: Request,
    service: str,
    effect: list[Effect],
) -> _answers.Done:
    """Call one child; set what is known if it is not done."""
    before = effect[0]
    effect[0] = Effect.UNKNOWN
    root = upstream.rng.choice(upstream.roots[service])
    path = "" if upstream.is_direct else f"/v1/call/{service}"
    body = _answers.child_body(request.nonce, service)
    headers = {CONTEXT_HEADER: request.context} if request.context else {}
    try:
        answer = await upstream.http.post(
            f"{root}{path}/work", headers, body, request.timeout
        )
    except _http.NotSent as error:
        effect[0] = before
        raise _ChildRefused(before) from error
    except _http.Lost as error:
        raise _ChildRefused(Effect.UNKNOWN) from error
    if answer.status == 200:
        return _whole(answer, request.nonce, body)
    outcome = answer.headers.get(OUTCOME_HEADER, "")
    if outcome in (NOT_RUN, NOT_RUN_FROM_UPSTREAM):
        effect[0] = before
    raise _ChildRefused(effect[0])


def _whole(answer: _http.Answer, nonce: str, body: bytes) -> _answers.Done:
    done = _answers.decode(answer.body, nonce, body)
    if done is None:
        # Told on, so that the caller's own check finds it.
        return _answers.Done("wrong", "", "", 0)
    return done


def child_roots(
    children: abc.Iterable[str],
    daemon: str,
    direct: abc.Iterable[tuple[str, str]],
) -> dict[str, tuple[str, ...]]:
    """Return the base URLs for each child, by the daemon if there is one."""
    if daemon:
        return {name: (daemon.rstrip("/"),) for name in children}
    urls: dict[str, tuple[str, ...]] = {}
    for name, url in direct:
        urls[name] = urls.get(name, ()) + (url.rstrip("/"),)
    return urls
