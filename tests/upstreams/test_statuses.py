"""An answer of the upstream with an invalid status is no answer."""

from __future__ import annotations

import asyncio

import pytest

from sassafrasstair import outcomes
from sassafrasstair import upstreams
from tests.upstreams import test_client

ANSWERS = {
    "length": b"HTTP/1.1 %s X\r\nContent-Length: 2\r\n\r\nok",
    "no length": b"HTTP/1.1 %s X\r\n\r\nok",
}


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
def test_answer_with_an_invalid_status_has_an_unknown_outcome(
    status: bytes, answer: bytes
) -> None:
    """It was passed on, or the caller waited for the connection to end."""

    async def scenario(upstream: upstreams.Upstream) -> None:
        async with asyncio.timeout(1.0):
            with pytest.raises(upstreams.UpstreamError) as raised:
                await upstreams.send(upstream, test_client.request())
        assert raised.value.outcome is outcomes.Outcome.UNKNOWN
        assert raised.value.reason is outcomes.Reason.ANSWER_CUT_SHORT

    raw = test_client.RawUpstream(answer % status, b"-")
    test_client.run(raw, scenario)
