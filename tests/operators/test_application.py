from __future__ import annotations

import asyncio
import typing

import httpx
import msgspec
import pytest

from sassafrasstair import metrics
from sassafrasstair import operators

STATUS = operators.Status(
    vm="vm-1",
    service="pricer",
    failure_domain="pos-a",
    region="tt-north",
    incarnation="i1",
    state=operators.State.SERVING,
    in_force=operators.InForceBundle(
        operators.BundleId(7, "ab"), "m", ("ops-1",)
    ),
    refused_bundles=(
        operators.RefusedBundle("bundles/all", "unsigned", "why"),
    ),
)


def get(
    path: str, status: operators.Status = STATUS, method: str = "GET"
) -> httpx.Response:
    counts = metrics.Metrics()
    app: typing.Any = operators.create_app(lambda: status, counts)

    async def call() -> httpx.Response:
        transport = httpx.ASGITransport(app)
        async with httpx.AsyncClient(
            transport=transport, base_url="http://127.0.0.1"
        ) as client:
            return await client.request(method, path)

    return asyncio.run(call())


def test_status_is_decoded_back() -> None:
    answer = get("/status")
    assert answer.status_code == 200
    assert msgspec.json.decode(answer.content, type=operators.Status) == STATUS


@pytest.mark.parametrize(
    ("state", "code"),
    [("starting", 503), ("serving", 200), ("leaving", 503)],
)
def test_health(state: str, code: int) -> None:
    status = msgspec.structs.replace(STATUS, state=operators.State(state))
    answer = get("/health", status)
    assert answer.status_code == code
    assert answer.json() == {"state": state}


def test_metrics() -> None:
    answer = get("/metrics")
    wanted = "text/plain; version=0.0.4; charset=utf-8"
    assert answer.headers["content-type"] == wanted
    assert "\nsassafrasstair_bundle_version 0\n" in answer.text


@pytest.mark.parametrize("path", ["/status", "/health", "/metrics"])
def test_paths_are_read_only(path: str) -> None:
    assert get(path, method="POST").status_code == 405
