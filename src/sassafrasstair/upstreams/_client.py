"""HTTP client that sends requests to the VM's own upstream.

It uses aiohttp rather than httpx; docs/MEASUREMENTS.md has the comparison
behind that choice.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
import select
import typing

import aiohttp
import yarl

from sassafrasstair import keepalive
from sassafrasstair import logs
from sassafrasstair import notices
from sassafrasstair import outcomes
from sassafrasstair import statuses
from sassafrasstair.upstreams import _connections

if typing.TYPE_CHECKING:
    from collections import abc

OUTCOME_HEADER = "sassafras-outcome"
RATE_LIMIT_HEADER = "sassafras-limit"
LEAVING_HEADER = "sassafras-leaving"
KEEP_ALIVE_HEADER = "keep-alive"
NOT_RUN_VALUES = frozenset({"not-run", "not run"})
CONNECT_TIMEOUT = 1.0
KEEPALIVE_SECONDS = 30.0
REFUSAL_STATUS = 503
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_NO_DEFAULT_FOR = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
_EXCLUDED_HEADERS = HOP_BY_HOP_HEADERS | {"host"}

_LOG = logging.getLogger(__name__)


class UpstreamError(Exception):
    """The upstream gave no complete answer.

    ``outcome`` says whether the upstream may have executed the request, and
    ``notice`` what a refusal says of the upstream, None if there is none.
    """

    def __init__(
        self,
        outcome: outcomes.Outcome,
        reason: outcomes.Reason,
        notice: notices.Notice | None = None,
    ) -> None:
        """Store the outcome, the reason and the notice."""
        super().__init__(reason.value)
        self.outcome = outcome
        self.reason = reason
        self.notice = notice


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request for the upstream; ``body`` can be read only once."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | abc.AsyncIterator[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Status and headers of the upstream's answer; ``chunks`` is its body.

    ``notice`` is what it says of the upstream.
    ``chunks`` raises ``UpstreamError`` when the body is cut short.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: abc.AsyncGenerator[bytes, None]
    notice: notices.Notice = notices.NO_NOTICE


@dataclasses.dataclass(slots=True)
class Upstream:
    """The connection pool to the VM's upstream."""

    url: str
    session: aiohttp.ClientSession


def connect(url: str) -> Upstream:
    """Return a connection pool for the upstream; needs a running loop.

    The pool has no limit of its own. The only limit is the concurrency
    limit of the load guard, which the bundle sets far below the number of
    connections that the upstream accepts.
    """
    connector = aiohttp.TCPConnector(
        limit=0, keepalive_timeout=KEEPALIVE_SECONDS
    )
    _connections.use(connector, asyncio.get_running_loop())
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=_NO_DEFAULT_FOR,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT
        ),
    )
    # Prevents a once-only PUT from running twice. By default aiohttp sends
    # a request with an idempotent method again when a reused connection
    # closes without an answer, although the upstream may already have run
    # it. Such a request has an unknown outcome here, and only the decisions
    # package may retry it.
    session._retry_connection = False
    return Upstream(url.rstrip("/"), session)


async def send(upstream: Upstream, request: Request) -> Response:
    """Send one request and return its answer before the body is read.

    Raises ``UpstreamError``. Its outcome is ``NOT_RUN`` only when no
    connection was established, so that no byte reached the upstream, or
    when the upstream itself reported that the request did not run.
    """
    _close_ended_connections(upstream)
    try:
        answer = await upstream.session.request(
            request.method,
            yarl.URL(upstream.url + request.path, encoded=True),
            headers=_headers_to_send(request),
            data=request.body or None,
            allow_redirects=False,
        )
    except (
        aiohttp.ClientConnectorError,
        aiohttp.ConnectionTimeoutError,
    ) as error:
        raise UpstreamError(
            outcomes.Outcome.NOT_RUN, outcomes.Reason.UPSTREAM_UNREACHABLE
        ) from error
    except (aiohttp.ClientError, ValueError) as error:
        raise UpstreamError(
            outcomes.Outcome.UNKNOWN, outcomes.Reason.UPSTREAM_LOST
        ) from error
    if not statuses.is_valid(answer.status):
        answer.close()
        raise UpstreamError(
            outcomes.Outcome.UNKNOWN, outcomes.Reason.ANSWER_CUT_SHORT
        )
    _heed_keep_alive(upstream, answer)
    if answer.status == REFUSAL_STATUS:
        _raise_refusal(answer)
    return Response(
        answer.status,
        _end_to_end_headers(answer),
        _read_chunks(answer),
        _read_notice(answer),
    )


async def accepts_connections(upstream: Upstream) -> bool:
    """Return whether something listens at the upstream's address."""
    url = yarl.URL(upstream.url)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT):
            _, writer = await asyncio.open_connection(url.host, url.port)
    except OSError:
        return False
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return True


async def close(upstream: Upstream) -> None:
    """Close the connection pool."""
    await upstream.session.close()


def _heed_keep_alive(
    upstream: Upstream, answer: aiohttp.ClientResponse
) -> None:
    """Use connections only for as long as the upstream keeps them open.

    A request that crosses the end of its connection may have run or not.
    """
    field = _combined_value(answer, KEEP_ALIVE_HEADER)
    if field is None or upstream.session.connector is None:
        return
    # aiohttp reads this at each use of a connection, and has no other way to
    # change it.
    upstream.session.connector._keepalive_timeout = min(
        KEEPALIVE_SECONDS, keepalive.idle_seconds(field, KEEPALIVE_SECONDS)
    )


def _close_ended_connections(upstream: Upstream) -> None:
    """Close the connections whose end the event loop has not read yet.

    A request that is written behind the end does not run, but looks lost.
    """
    connector = upstream.session.connector
    if connector is None:
        return
    # aiohttp takes the first of these that is open, and has no hook for more.
    for idle in connector._conns.values():
        for protocol, _ in idle:
            transport = protocol.transport
            if transport is None or transport.is_closing():
                continue
            if not _has_input(transport):
                break
            protocol.close()


def _has_input(transport: asyncio.BaseTransport) -> bool:
    poller = select.poll()
    poller.register(transport.get_extra_info("socket"), select.POLLIN)
    return bool(poller.poll(0))


def _headers_to_send(request: Request) -> list[tuple[str, str]]:
    excluded = _EXCLUDED_HEADERS
    if isinstance(request.body, bytes):
        excluded = _EXCLUDED_HEADERS | {"content-length"}
    return [
        (name, _value_to_send(value))
        for name, value in request.headers
        if name not in excluded
    ]


def _value_to_send(value: str) -> str:
    """Return the text that aiohttp encodes to the bytes of ``value``.

    Header values are kept as Latin-1 text, one character for each byte,
    while aiohttp encodes headers as UTF-8.
    """
    return value if value.isascii() else value.encode("latin-1").decode()


def _raise_refusal(answer: aiohttp.ClientResponse) -> typing.NoReturn:
    reported_outcome = answer.headers.get(OUTCOME_HEADER, "")
    # Keeps the connection if the refusal has arrived completely, which holds
    # for short ones. A new connection for each refusal would add load to an
    # upstream that is already overloaded.
    answer.release()
    did_not_run = reported_outcome in NOT_RUN_VALUES
    raise UpstreamError(
        outcomes.Outcome.NOT_RUN if did_not_run else outcomes.Outcome.UNKNOWN,
        outcomes.Reason.UPSTREAM_REFUSED,
        _read_notice(answer),
    )


def _read_notice(answer: aiohttp.ClientResponse) -> notices.Notice:
    """Return what the answer says of the upstream; log what is malformed."""
    try:
        return notices.decode(
            _combined_value(answer, RATE_LIMIT_HEADER),
            _combined_value(answer, LEAVING_HEADER),
        )
    except notices.NoticeError as error:
        logs.event(_LOG, logging.WARNING, "notice_malformed", error=str(error))
        return error.notice


def _combined_value(answer: aiohttp.ClientResponse, name: str) -> bytes | None:
    values = answer.headers.getall(name, None)
    if values is None:
        return None
    return ", ".join(values).encode("utf-8", "replace")


def _end_to_end_headers(
    answer: aiohttp.ClientResponse,
) -> tuple[tuple[str, str], ...]:
    return tuple(
        (lowered, value.decode("latin-1"))
        for name, value in answer.raw_headers
        if (lowered := name.decode("latin-1").lower())
        not in HOP_BY_HOP_HEADERS
    )


async def _read_chunks(
    answer: aiohttp.ClientResponse,
) -> abc.AsyncGenerator[bytes, None]:
    try:
        async for chunk in answer.content.iter_any():
            yield chunk
    except aiohttp.ClientError as error:
        raise UpstreamError(
            outcomes.Outcome.UNKNOWN, outcomes.Reason.ANSWER_CUT_SHORT
        ) from error
    finally:
        # Closes the connection if the body was not read to its end.
        answer.release()
