"""Tests that the logs alone lead from a failed request's id to its cause.

``pytest -s tests/forwarding/test_walks.py`` prints what the command shows;
docs/OPERATIONS.md quotes it.
"""

from __future__ import annotations

import asyncio
import json
import re
import typing

from click import testing
import pytest

from sassafrasstair.console import application
from sassafrasstair.decisions import admission
from sassafrasstair.forwarding import _daemon
from tests.forwarding import place
from tests.forwarding import test_path

if typing.TYPE_CHECKING:
    import pathlib


async def _fill_and_call(cluster: place.Cluster) -> place.Answer:
    """Occupy the only slot with other requests, then send one more."""
    held = [
        asyncio.ensure_future(cluster.call(test_path.A, "/s/"))
        for _ in range(4)
    ]
    while not cluster.upstreams[test_path.B].got:
        await asyncio.sleep(0.01)
    got = await cluster.call(test_path.A, "/s/")
    for call in held:
        call.cancel()
    return got


async def _call(cluster: place.Cluster) -> place.Answer:
    return await cluster.call(test_path.A, "/s/", "POST")


@pytest.mark.parametrize(
    ("script", "send", "status", "request_id", "cause"),
    [
        pytest.param(
            test_path.hang,
            _fill_and_call,
            503,
            "r5",
            "run_ended reason=queue_delay",
            id="refused after waiting for a slot",
        ),
        pytest.param(
            test_path.hang,
            _call,
            504,
            "r1",
            "run_ended reason=(cancelled|deadline_passed)",
            id="timed out behind a silent instance",
        ),
        pytest.param(
            test_path.lose,
            _call,
            502,
            "r1",
            "run_ended reason=upstream_lost",
            id="outcome unknown after a lost connection",
        ),
    ],
)
def test_cause_is_found_from_the_id(
    tmp_path: pathlib.Path,
    script: place.Script,
    send: typing.Callable[
        [place.Cluster], typing.Coroutine[typing.Any, typing.Any, place.Answer]
    ],
    status: int,
    request_id: str,
    cause: str,
) -> None:
    async def test() -> None:
        cluster = await test_path._world(script, False, 0.6, slots=1)
        got = await send(cluster)
        assert got.status == status
        # The callee's daemon learns of the end slightly later.
        await asyncio.sleep(0.1)
        for running in cluster.daemons.values():
            running.daemon.journal.flush_lines()
        log = tmp_path / "daemons.log"
        log.write_bytes(b"".join(cluster.lines))
        result = testing.CliRunner().invoke(
            application.main, ["explain", request_id, str(log)]
        )
        print(f"\n$ sassafras explain {request_id} daemons.log")
        print(result.output)
        assert result.exit_code == 0
        assert re.search(cause, result.output)
        assert "policy_in_force version=3" in result.output

    test_path.run(test())


def test_shed_request_tells_by_which_load(tmp_path: pathlib.Path) -> None:
    """A lookup is refused at the entrance because of load shedding.

    The log line of the refusal must contain the load that caused it, and a
    line each second must name the routes with load shedding.
    """

    async def test() -> None:
        cluster = await test_path._world()
        daemon = cluster.daemons[test_path.A].daemon
        gate = admission.Gate(share=0.0, load=3.5, updated_at=1e12)
        daemon.gates.gates["s"] = gate
        assert (await cluster.call(test_path.A, "/s/")).status == 503
        _daemon._log_shedding(daemon)
        for running in cluster.daemons.values():
            running.daemon.journal.flush_lines()
        log = tmp_path / "daemons.log"
        log.write_bytes(b"".join(cluster.lines))
        assert '"event": "shedding", "reason": "s"' in log.read_text()
        result = testing.CliRunner().invoke(
            application.main, ["explain", "r1", str(log)]
        )
        assert "reason=shed_at_entrance" in result.output
        assert "share=0.0 load=3.5" in result.output

    test_path.run(test())


def test_restarted_instance_shows_in_the_log_by_its_address() -> None:
    """Two entries have the same address, and requests to one of them fail.

    The lines must contain the address: ids alone do not show that the
    entries belong together.
    """

    async def test() -> None:
        cluster = await test_path._world()
        cluster.put_instance("i-new", test_path.B, "s")
        await cluster.wait_until_known(test_path.A)
        for running in cluster.daemons.values():
            running.daemon.journal.flush_lines()
        address = f"{test_path.B}:{cluster.ports[3]}"
        lines = [
            json.loads(line)
            for line in b"".join(cluster.lines).split(b"\n")
            if line
        ]
        ids = {
            line["instance"]
            for line in lines
            if line["event"] == "instance_added" and line["address"] == address
        }
        assert ids == {f"i-{test_path.B}", "i-new"}

    test_path.run(test())
