"""One request to the VM's own upstream, over HTTP."""

from __future__ import annotations

import dataclasses
import typing

import httpx

from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from collections import abc

OUTCOME_HEADER = "sassafras-outcome"
NOT_RUN_VALUES = frozenset({"not-run", "not run"})
CONNECT_TIMEOUT = 1.0
KEEPALIVE_SECONDS = 30.0
REFUSED_STATUS = 503
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class UpstreamError(Exception):
    """The upstream gave no whole answer.

    ``outcome`` says what is known of the request's execution there.
    """

    def __init__(
        self, outcome: outcomes.Outcome, reason: outcomes.Reason
    ) -> None:
        """Keep the outcome and the sentinel reason."""
        super().__init__(reason.value)
        self.outcome = outcome
        self.reason = reason


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request for the upstream; ``body`` may be read once.

    ``timeout`` in seconds bounds each wait for the upstream.
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | abc.AsyncIterator[bytes]
    timeout: float


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """The head of the upstream's answer; ``chunks`` gives its body.

    ``chunks`` raises ``UpstreamError`` when the body is cut short.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: abc.AsyncIterator[bytes]
    close: abc.Callable[[], abc.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Upstream:
    """The connection pool to the VM's upstream."""

    url: httpx.URL
    transport: httpx.AsyncHTTPTransport


def connect(url: str) -> Upstream:
    """Return a pool of connections to the upstream.

    It has no limit of its own: the guard's concurrency limit, which the
    bundle sets far below the upstream's connections, is the one limit.
    """
    limits = httpx.Limits(
        max_connections=None,
        max_keepalive_connections=None,
        keepalive_expiry=KEEPALIVE_SECONDS,
    )
    # The transport alone: redirects, cookies and proxies of the client
    # layer must not touch a caller's request, and it costs less.
    transport = httpx.AsyncHTTPTransport(limits=limits)
    return Upstream(httpx.URL(url), transport)


async def send(upstream: Upstream, request: Request) -> Response:
    """Send one request and return the head of its answer.

    Raises ``UpstreamError``. Its outcome is ``NOT_RUN`` only when no
    connection was had, so that no byte reached the upstream, or when the
    upstream itself said so.
    """
    wire = _wire_request(upstream, request)
    try:
        answer = await upstream.transport.handle_async_request(wire)
    except (
        httpx.ConnectError,
        httpx.ConnectTimeout,
        httpx.PoolTimeout,
    ) as error:
        raise UpstreamError(
            outcomes.Outcome.NOT_RUN, outcomes.Reason.UPSTREAM_UNREACHABLE
        ) from error
    except httpx.TimeoutException as error:
        raise UpstreamError(
            outcomes.Outcome.UNKNOWN, outcomes.Reason.DEADLINE_PASSED
        ) from error
    except httpx.HTTPError as error:
        raise UpstreamError(
            outcomes.Outcome.UNKNOWN, outcomes.Reason.UPSTREAM_LOST
        ) from error
    if answer.status_code == REFUSED_STATUS:
        await _raise_refusal(answer)
    return Response(
        answer.status_code, _headers(answer), _chunks(answer), answer.aclose
    )


async def close(upstream: Upstream) -> None:
    """Close the pool."""
    await upstream.transport.aclose()


def _wire_request(upstream: Upstream, request: Request) -> httpx.Request:
    headers = [("host", upstream.url.netloc.decode())]
    headers += [
        (name, value)
        for name, value in request.headers
        if name not in HOP_BY_HOP and name != "host"
    ]
    timeout = httpx.Timeout(
        request.timeout, connect=min(CONNECT_TIMEOUT, request.timeout)
    )
    return httpx.Request(
        request.method,
        upstream.url.join(request.path),
        headers=headers,
        content=request.body,
        extensions={"timeout": timeout.as_dict()},
    )


async def _raise_refusal(answer: httpx.Response) -> typing.NoReturn:
    said = answer.headers.get(OUTCOME_HEADER, "")
    await answer.aclose()
    known = said in NOT_RUN_VALUES
    raise UpstreamError(
        outcomes.Outcome.NOT_RUN if known else outcomes.Outcome.UNKNOWN,
        outcomes.Reason.UPSTREAM_REFUSED,
    )


def _headers(answer: httpx.Response) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in answer.headers.raw
        if name.lower().decode("latin-1") not in HOP_BY_HOP
    )


async def _chunks(answer: httpx.Response) -> abc.AsyncIterator[bytes]:
    stream = typing.cast("httpx.AsyncByteStream", answer.stream)
    try:
        async for chunk in stream:
            yield chunk
    except httpx.HTTPError as error:
        raise UpstreamError(
            outcomes.Outcome.UNKNOWN, outcomes.Reason.ANSWER_CUT_SHORT
        ) from error
    finally:
        await answer.aclose()
