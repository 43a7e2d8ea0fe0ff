"""Read-only HTTP interface for operators, with three paths."""

from __future__ import annotations

import asyncio
import typing

import litestar
from litestar import response

from sassafrasstair import metrics
from sassafrasstair.operators import _status

if typing.TYPE_CHECKING:
    from collections import abc

HTTP_OK = 200
HTTP_UNAVAILABLE = 503


def create_app(
    current_status: abc.Callable[[], _status.Status], registry: metrics.Metrics
) -> litestar.Litestar:
    """Return the ASGI application.

    ``current_status`` is called for each request to ``/status`` and
    ``/health``. ``/health`` answers 200 while the daemon serves, and 503
    before its first bundle and while the daemon leaves.
    """

    @litestar.get("/status")
    async def get_status() -> _status.Status:
        return current_status()

    @litestar.get("/health")
    async def get_health() -> litestar.Response[_status.Health]:
        state = current_status().state
        serving = state is _status.State.SERVING
        return litestar.Response(
            _status.Health(state),
            status_code=HTTP_OK if serving else HTTP_UNAVAILABLE,
        )

    @litestar.get("/metrics")
    async def get_metrics() -> response.Stream:
        return response.Stream(
            _render_metrics(registry), media_type=metrics.CONTENT_TYPE
        )

    return litestar.Litestar(
        [get_status, get_health, get_metrics],
        openapi_config=None,
        logging_config=None,
    )


async def _render_metrics(
    registry: metrics.Metrics,
) -> abc.AsyncIterator[bytes]:
    """Yield the metrics, letting other tasks run after each part.

    Rendering the many series of a large daemon takes tens of milliseconds.
    Rendering them without a pause would delay every call in flight by that
    time, a latency spike at each scrape.
    """
    for part in registry.render_parts():
        yield part
        await asyncio.sleep(0)
