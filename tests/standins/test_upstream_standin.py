from __future__ import annotations

import asyncio
import typing

import httpx
import pytest

from sassafrasstair.standins import _answers
from sassafrasstair.standins import _model
from sassafrasstair.standins import _serving
from sassafrasstair.standins import _upstream
from sassafrasstair.standins import _upstream_app

if typing.TYPE_CHECKING:
    from collections import abc

NONCE = "0123456789abcdef0123456789abcdef"
BODY = _answers.new_body(NONCE, 100)
SLOW_SECONDS = 30.0


def _new(
    name: str, seconds: float, child: str = "", url: str = ""
) -> _upstream.Upstream:
    rules = _model.Rules(slots=1, service=seconds)
    children = (child,) if child else ()
    return _upstream_app.new_upstream(
        name, rules, children, "", [(child, url)]
    )


def _run(
    upstreams: list[tuple[_upstream.Upstream, int]],
    story: abc.Callable[
        [httpx.AsyncClient], abc.Coroutine[typing.Any, typing.Any, None]
    ],
) -> None:
    """Serve upstreams; the client talks to the first one."""

    async def run() -> None:
        listeners = [
            _serving.Listener(_upstream_app.app(one), f"127.0.0.1:{port}")
            for one, port in upstreams
        ]
        for listener in listeners:
            await listener.start()
        base = f"http://127.0.0.1:{upstreams[0][1]}"
        async with asyncio.timeout(20):
            async with httpx.AsyncClient(base_url=base) as http:
                await story(http)
        for listener in listeners:
            await listener.stop(cut=True)

    asyncio.run(run())


def test_answer_is_whole_and_own_and_counted(
    free_port: abc.Callable[[], int],
) -> None:
    async def story(http: httpx.AsyncClient) -> None:
        reply = await http.post(
            "/any/path", content=BODY, headers={"Sassafras-Ticket": "t1"}
        )
        answer = _answers.decode(reply.content, NONCE, BODY)
        assert answer is not None
        assert [call.service for call in answer.calls] == ["ledger"]
        ran = (await http.get("/ran")).json()
        assert (ran["nonces"], ran["tickets"]) == ({NONCE: 1}, {"t1": 1})

    port, child_port = free_port(), free_port()
    parent = _new("intake", 0.001, "ledger", f"http://127.0.0.1:{child_port}")
    _run([(parent, port), (_new("ledger", 0.001), child_port)], story)


@pytest.mark.parametrize(
    ("child_draining", "outcome"), [(True, "not-run"), (False, "unknown")]
)
def test_refused_child_is_told_on_truly(
    free_port: abc.Callable[[], int], child_draining: bool, outcome: str
) -> None:
    """A caller hears ``not run`` though a child began, or the reverse.

    The parent's only call is refused before it ran, or gives up in its
    middle; just the first leaves the chain without an effect.
    """

    async def story(http: httpx.AsyncClient) -> None:
        reply = await http.post(
            "/work", content=BODY, headers={"Sassafras-Timeout-Ms": "200"}
        )
        assert reply.headers["Sassafras-Outcome"] == outcome
        assert (await http.get("/ran")).json()["nonces"] == {}

    port, child_port = free_port(), free_port()
    parent = _new("intake", 0.001, "ledger", f"http://127.0.0.1:{child_port}")
    child = _new("ledger", SLOW_SECONDS)
    child.model.draining = child_draining
    _run([(parent, port), (child, child_port)], story)


def test_caller_that_goes_away_cancels_the_work(
    free_port: abc.Callable[[], int],
) -> None:
    upstream = _new("ledger", SLOW_SECONDS)

    async def story(http: httpx.AsyncClient) -> None:
        call = asyncio.create_task(http.post("/work", content=BODY))
        while not upstream.model.inflight:
            await asyncio.sleep(0.005)
        call.cancel()
        while upstream.model.inflight:
            await asyncio.sleep(0.005)
        assert upstream.cancelled == 1

    _run([(upstream, free_port())], story)


def test_deadline_gives_up(free_port: abc.Callable[[], int]) -> None:
    async def story(http: httpx.AsyncClient) -> None:
        headers = {"Sassafras-Timeout-Ms": "20"}
        reply = await http.post("/work", content=BODY, headers=headers)
        assert reply.status_code == 504
        assert reply.headers["Sassafras-Outcome"] == "unknown"

    _run([(_new("ledger", SLOW_SECONDS), free_port())], story)


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b'{"service":"a","nonce":"b","digest":"c","size":1}',
        b'{"service":"a"',
    ],
)
def test_wrong_answer_is_seen(raw: bytes) -> None:
    assert _answers.decode(raw, NONCE, BODY) is None


def test_answers_name_the_rate_limit_and_say_leaving(
    free_port: abc.Callable[[], int],
) -> None:
    upstream = _new("ledger", 0.0)

    async def story(http: httpx.AsyncClient) -> None:
        reply = await http.post("/work", content=BODY)
        assert "Sassafras-Limit" not in reply.headers
        behaviour = {"service_ms": 0.0, "rate_limit": 2.5}
        await http.put("/behaviour", json=behaviour)
        reply = await http.post("/work", content=BODY)
        assert reply.headers["Sassafras-Limit"] == "2.500"
        assert "Sassafras-Leaving" not in reply.headers
        upstream.model.draining = True
        reply = await http.post("/work", content=BODY)
        assert reply.status_code == 503
        assert reply.headers["Sassafras-Leaving"] == "1"

    _run([(upstream, free_port())], story)
