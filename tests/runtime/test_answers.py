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
    """A caller that asks for a length by HEAD is told 0.

    The entrance counted the bytes of the body that HEAD does not have, and
    its server set a second Date beside the upstream's.
    """

    async def story() -> None:
        async with (
            meshes.started(_upstream) as mesh,
            mesh.call("back", path, method=method) as answer,
        ):
            assert answer.headers.get("content-length") == length
            assert len(answer.headers.getall("date")) == 1

    asyncio.run(asyncio.wait_for(story(), meshes.WAIT))
