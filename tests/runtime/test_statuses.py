"""What callers get where an upstream's answer has an invalid status."""

from __future__ import annotations

import asyncio

from aiohttp import web
import pytest

from sassafrasstair import daemons
from sassafrasstair.decisions import calls
from sassafrasstair import outcomes
from sassafrasstair.runtime import _attempts
from sassafrasstair.runtime import _transfers
from tests.runtime import meshes
from tests.upstreams import test_client

ANSWER = b"HTTP/1.1 %s X\r\nContent-Length: 2\r\n\r\nok"
TIMEOUT = 2.0
_DONE = outcomes.Outcome.DONE


async def _unused(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response()


@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
def test_answer_with_an_invalid_status_is_not_said_to_be_done(
    status: bytes,
) -> None:
    """A caller was told so of 000, and would not have tried again."""

    async def scenario() -> None:
        raw = test_client.RawUpstream(*(8 * [ANSWER % status]))
        async with await asyncio.start_server(raw, "127.0.0.1", 0) as server:
            port = server.sockets[0].getsockname()[1]
            url = f"http://127.0.0.1:{port}"
            async with meshes.started(_unused, url) as mesh:
                async with asyncio.timeout(TIMEOUT):
                    async with mesh.call("back", method="GET") as answer:
                        await answer.read()
        assert answer.status == 503
        assert answer.headers["sassafras-outcome"] == "unknown"

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("status", "outcome"),
    [(200, _DONE), (599, _DONE), (0, _DONE)]
    + [(code, outcomes.Outcome.UNKNOWN) for code in (-1, 20, 99, 600, 999)],
)
def test_daemon_that_sends_an_invalid_status_is_not_believed(
    status: int, outcome: outcomes.Outcome
) -> None:
    """Status 0 is that of a run whose answer was not kept."""
    digest = _attempts.new_digest(b"ok").digest()
    reply = daemons.RunAnswer(
        "a", "i", _DONE.value, "none", status=status, body=b"ok", digest=digest
    )
    transfer = _transfers.Transfer("a", "vm", 10)
    answer, _ = _transfers._check_reply(transfer, reply)
    assert isinstance(answer, calls.Answer)
    assert answer.outcome is outcome
