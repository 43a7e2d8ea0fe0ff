from __future__ import annotations

import asyncio
import json

from aiohttp import web

from sassafrasstair import bundles
from sassafrasstair import configservice
from sassafrasstair import metrics
from sassafrasstair.runtime import _control
from sassafrasstair.runtime import _status
from tests.runtime import meshes


async def _empty_upstream(_: web.BaseRequest) -> web.StreamResponse:
    return web.Response()


def test_status_names_approvers_members_and_refused_bundles() -> None:
    async def scenario() -> None:
        async with meshes.started(_empty_upstream) as mesh:
            control = mesh.front.control
            older = meshes.DOCUMENT | {"version": 1, "supersedes": 0}
            envelope = bundles.approve(
                json.dumps(older).encode(), meshes.PRIVATE, "ops-1"
            )
            values = {"bundles/a": b"{}", "bundles/b": envelope}
            offered = configservice.Snapshot(2, values)
            _control._handle_bundles(control, offered)
            _control._handle_bundles(control, offered)
            async with mesh.call("none") as answer:
                assert answer.status == 404
            bad = {"sassafras-timeout-ms": "x"}
            async with mesh.call("back", headers=bad) as answer:
                assert answer.status == 400
            shown = _status.status(
                mesh.front.settings, control, mesh.front.entry
            )
        assert shown.in_force.approved_by == ("ops-1",)
        assert shown.members_by_domain == {"a": 2}
        refused = shown.refused_bundles
        assert {one.reason for one in refused} == {"bad_value", "downgraded"}
        assert all(one.source == "platform" for one in refused)
        counters = shown.counters
        assert (counters["bundles_refused"], counters["refusals"]) == (2, 2)
        text = metrics.render(mesh.front.metrics).decode()
        assert 'reason="downgraded"} 1' in text

    asyncio.run(asyncio.wait_for(scenario(), meshes.WAIT))
