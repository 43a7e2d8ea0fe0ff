from __future__ import annotations

import asyncio
import random
import time

import msgspec
import pytest

from sassafrasstair.standins import _answers
from sassafrasstair.standins import _caller
from sassafrasstair.standins import _http
from sassafrasstair.standins import _plan

WANT = _plan.Want("ab" * 16, "book", "poster", "t", "c", 1.0, True, 0, 0.0)
BODY = _answers.new_body(WANT.nonce, 0)
DIGEST = _answers.digest(BODY)


class _Scripted(_http.Http):
    """Answers calls from a script; tickets are numbered."""

    def __init__(self, script: list[_http.Answer | _http.Lost]) -> None:
        self.script = script
        self.tickets: list[str] = []

    async def post(
        self,
        url: str,
        headers: dict[str, str],
        body: bytes,
        timeout: float,
    ) -> _http.Answer:
        if "/v1/ticket/" in url:
            ticket = f"t{len(set(self.tickets)) + 1}"
            return _http.Answer(201, {}, b'{"ticket":"%s"}' % ticket.encode())
        self.tickets.append(headers["Sassafras-Ticket"])
        reply = self.script.pop(0)
        if isinstance(reply, _http.Lost):
            raise reply
        return reply


def _refusal(outcome: str, reason: str, status: int = 503) -> _http.Answer:
    told = {"outcome": outcome, "reason": reason, "retry_after_ms": 1}
    headers = {"sassafras-outcome": outcome}
    return _http.Answer(status, headers, msgspec.json.encode(told))


def _whole(nonce: str = WANT.nonce) -> _http.Answer:
    done = _answers.Done("poster", nonce, DIGEST, len(BODY))
    return _http.Answer(200, {}, msgspec.json.encode(done))


@pytest.mark.parametrize(
    ("script", "final", "tickets"),
    [
        ([_whole()], "whole", ["t1"]),
        ([_whole("cd" * 16)], "wrong", ["t1"]),
        (
            [_refusal("not run", "queue_full"), _whole()],
            "whole",
            ["t1", "t2"],
        ),
        ([_http.Lost("cut"), _whole()], "whole", ["t1", "t1"]),
        ([_refusal("not run", "malformed", 400)], "not_run", ["t1"]),
        (
            [_refusal("not run", "queue_full")] * 4,
            "not_run",
            ["t1", "t2", "t3", "t4"],
        ),
    ],
)
def test_one_final_result(
    script: list[_http.Answer | _http.Lost],
    final: str,
    tickets: list[str],
) -> None:
    assert _serve(script) == (final, tickets)


def test_unknown_work_gets_no_second_ticket() -> None:
    """A write-down is posted twice by its caller's own repeats.

    The first attempt is cut off with the work begun. The repeats hear that
    the ticket is void. A new ticket would run the work again.
    """
    script: list[_http.Answer | _http.Lost] = [
        _refusal("unknown", "peer_lost"),
        *[_refusal("not run", "ticket_void")] * 3,
    ]
    assert _serve(script) == ("unknown", ["t1"] * 4)


def _serve(
    script: list[_http.Answer | _http.Lost],
) -> tuple[str, list[str]]:
    http = _Scripted(list(script))
    session = _caller.Session(
        http,
        ("http://127.0.0.1:1",),
        {},
        repeats=3,
        hasty_share=0.0,
        give_up=time.monotonic() + 10,
        rng=random.Random(1),
    )
    result = asyncio.run(_caller.serve(session, WANT))
    assert not http.script
    return result.final.value, http.tickets
