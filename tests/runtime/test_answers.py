from __future__ import annotations

import asyncio

from aiohttp import web
import pytest

from tests.runtime import meshes

LENGTH = 1234


async def _upstream(request: web.BaseRequest) -> web.StreamResponse:
    if request.path == "/none":
        return web.Response(status=204)
    return web.Response(body=bytes(LENGTH))


@pytest.mark.parametrize(
    ("method", "path", "length"),
    [
        ("GET", "/", str(LENGTH)),
        ("HEAD", "/", str(LENGTH)),
        ("GET", "/none", None),
    ],
)
def test_answer_keeps_length_and_date_of_the_upstream(
    method: str, path: str, length: str | None
) -> None:
    """The upstream's Content-Length and Date reach the caller unchanged.

    The entrance reported the length of the empty body for HEAD, and its
    server added a second Date header.
    """

    async def scenario() -> None:
        async with (
            meshes.started(_upstream) as mesh,
            mesh.call("back", path, method=method) as answer,
        ):
            assert answer.headers.get("content-length") == length
            assert len(answer.headers.getall("date")) == 1

    asyncio.run(asyncio.wait_for(scenario(), meshes.WAIT))
