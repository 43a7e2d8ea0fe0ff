from __future__ import annotations

import asyncio
import json

from click import testing
import httpx
import msgspec
import pytest

from sassafrasstair.console import _daemons
from sassafrasstair.console import application
from sassafrasstair import forwarding
from sassafrasstair import operators

SERVING = operators.Status(
    vm="vm-1",
    service="pricer",
    failure_domain="pos-a",
    region="tt-north",
    incarnation="i1",
    state=operators.State.SERVING,
    in_force=operators.InForceBundle(operators.BundleId(7, "abcdef0123")),
    members=4,
    instance=operators.InstanceLoad(160, 31.5, 30, 2, 4.25),
)
LEAVING = msgspec.structs.replace(SERVING, state=operators.State.LEAVING)
REFUSED_BUNDLE = msgspec.structs.replace(
    SERVING,
    refused_bundles=(
        operators.RefusedBundle("bundles/all", "unsigned", "why"),
    ),
)
REFUSED_WITHOUT_SOURCE = msgspec.structs.replace(
    SERVING,
    refused_bundles=(operators.RefusedBundle("", "unsigned"),),
    conflicts=(operators.ConflictingBundles(7, "", "a"),),
)
CONFLICTING = msgspec.structs.replace(
    SERVING, conflicts=(operators.ConflictingBundles(7, "b", "a"),)
)
OLD_VERSION = msgspec.structs.replace(
    SERVING, in_force=operators.InForceBundle(operators.BundleId(6, "ff"))
)
OLD_VERSION_IN_OTHER_DOMAIN = msgspec.structs.replace(
    OLD_VERSION, failure_domain="pos-b"
)
FEED = forwarding.FeedStatus(
    "store", 9.0, 0.5, None, 40, 38, 7, 0, 4, 3, (), ()
)
SUSPECT = forwarding.SuspectStatus(
    "00000000000000ff", "blocked", 3, 1, False, 61.5, ()
)
FORWARDER = _daemons.Forwarder("10.0.0.8:1", FEED, (SUSPECT,))
UNREACHABLE = _daemons.Unreachable("10.0.0.9:1", "refused")


def run_status(
    monkeypatch: pytest.MonkeyPatch,
    readings: list[_daemons.Reading],
    *options: str,
) -> testing.Result:
    async def read_all(*_: object) -> list[_daemons.Reading]:
        return readings

    monkeypatch.setattr(_daemons, "read_all", read_all)
    return testing.CliRunner().invoke(
        application.main, ["status", "10.0.0.1:1", *options]
    )


@pytest.mark.parametrize(
    ("readings", "options", "code", "findings"),
    [
        ([SERVING, SERVING], (), 0, []),
        ([SERVING, OLD_VERSION_IN_OTHER_DOMAIN], (), 0, []),
        ([SERVING], ("--expect", "7"), 0, []),
        (
            [OLD_VERSION],
            ("--expect", "7"),
            1,
            ["vm-1: version 6 in force, not 7"],
        ),
        ([LEAVING], (), 1, ["vm-1: leaving"]),
        (
            [REFUSED_BUNDLE],
            (),
            1,
            ["vm-1: refused a bundle from bundles/all: unsigned: why"],
        ),
        (
            [REFUSED_WITHOUT_SOURCE],
            (),
            1,
            [
                "vm-1: refused a bundle: unsigned",
                "vm-1: two bundles of version 7: dropped a",
            ],
        ),
        (
            [CONFLICTING],
            (),
            1,
            ["vm-1: two bundles of version 7: kept b, dropped a"],
        ),
        (
            [SERVING, OLD_VERSION],
            (),
            1,
            ["pos-a: bundles in force differ: 6 ff, 7 abcdef01"],
        ),
        ([LEAVING, UNREACHABLE], (), 3, ["10.0.0.9:1: unreachable: refused"]),
    ],
)
def test_status_exit_code_and_findings(
    monkeypatch: pytest.MonkeyPatch,
    readings: list[_daemons.Reading],
    options: tuple[str, ...],
    code: int,
    findings: list[str],
) -> None:
    result = run_status(monkeypatch, readings, *options)
    assert result.exit_code == code
    assert set(findings) <= set(result.stderr.splitlines())
    assert bool(findings) == bool(result.stderr)


def test_status_table(monkeypatch: pytest.MonkeyPatch) -> None:
    lines = run_status(monkeypatch, [SERVING]).stdout.splitlines()
    assert lines[1].split() == (
        "vm-1 pricer pos-a serving 7 abcdef01 4 31.50 30 2 4.25 0 0 0".split()
    )


def test_status_json(monkeypatch: pytest.MonkeyPatch) -> None:
    lines = run_status(
        monkeypatch, [SERVING, UNREACHABLE], "--json"
    ).stdout.splitlines()
    assert json.loads(lines[0])["instance"]["limit"] == 31.5
    assert json.loads(lines[1]) == {
        "address": "10.0.0.9:1",
        "error": "refused",
    }


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        (httpx.Response(503), "503"),
        (httpx.Response(200, content=b"<html>"), "malformed"),
        (httpx.ConnectError("no route\nto host"), "no route"),
        (httpx.ReadTimeout(""), "ReadTimeout"),
    ],
)
def test_read_all_reports_why_a_daemon_cannot_be_read(
    answer: httpx.Response | httpx.HTTPError, error: str
) -> None:
    def handle(request: httpx.Request) -> httpx.Response:
        if request.url.port == 2:
            return httpx.Response(200, content=msgspec.json.encode(SERVING))
        if isinstance(answer, httpx.HTTPError):
            raise answer
        return answer

    transport = httpx.MockTransport(handle)
    addresses = ["10.0.0.1:1", "10.0.0.2:2"]
    readings = asyncio.run(_daemons.read_all(addresses, 1.0, transport))
    assert isinstance(readings[0], _daemons.Unreachable)
    assert error in readings[0].error
    assert readings[1] == SERVING


def test_status_shows_suspected_requests_of_a_forwarder(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    result = run_status(monkeypatch, [FORWARDER])
    assert result.exit_code == 0
    lines = result.output.splitlines()
    assert lines[0].split()[:2] == ["ADDRESS", "FOLLOWS"]
    assert lines[1].split() == ["10.0.0.8:1", "store", "0.50", "7", "0", "1"]
    suspect_cells = ["10.0.0.8:1", "00000000000000ff", "blocked", "3", "61.50"]
    assert lines[4].split()[:5] == suspect_cells


def test_forwarder_is_read_when_status_is_not_found() -> None:
    bodies = {
        "/feed": msgspec.json.encode(FEED),
        "/crashes": msgspec.json.encode([SUSPECT]),
    }

    def answer(request: httpx.Request) -> httpx.Response:
        body = bodies.get(request.url.path)
        return httpx.Response(404 if body is None else 200, content=body)

    transport = httpx.MockTransport(answer)
    readings = asyncio.run(_daemons.read_all(["10.0.0.8:1"], 1.0, transport))
    assert readings == [FORWARDER]
