"""Daemons beside odd values in the platform's VM list and bundles."""

from __future__ import annotations

import json
import typing

import pytest

from sassafrasstair import configservice
from tests.processes import mesh as mesh_module

if typing.TYPE_CHECKING:
    from collections import abc

DEPTH = 200_000
MARK = '"#"'
ENTRY = {
    "vm": "odd",
    "service": "poster",
    "failure_domain": "pos-a",
    "region": "tt-north",
    "address": "127.0.0.1:9",
    "state": "live",
}
BUNDLE_BEFORE_KEY = configservice.BUNDLES_PREFIX + "-"
"""A key that is read before that of the bundle in force."""


@pytest.fixture(scope="module")
def mesh(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[mesh_module.Mesh]:
    """Give two VMs in two failure domains, so that each reads by itself."""
    vms = [
        mesh_module.Vm("poster-1", "pos-a"),
        mesh_module.Vm("poster-2", "pos-b"),
    ]
    with mesh_module.of(tmp_path_factory.mktemp("odd"), *vms) as made:
        yield made


@pytest.mark.parametrize(
    ("version", "field", "text"),
    [
        (1, "region", DEPTH * "[" + DEPTH * "]"),
        (3, "address", '"::1:9"'),
        (5, "service", '"\udcff"'),
    ],
    ids=["deep", "no_address", "no_text"],
)
def test_odd_value_stops_no_process_and_no_update(
    mesh: mesh_module.Mesh, version: int, field: str, text: str
) -> None:
    """One odd entry stands in the VM list, and such a bundle beside others.

    A daemon restarts meanwhile, and bundles come out before and after.
    """

    async def story(mesh: mesh_module.Mesh) -> None:
        near, far = mesh.vms
        odd = json.dumps(ENTRY | {field: "#"}).replace(MARK, text)
        await _write_odd(mesh, odd)
        await mesh.publish(version + 1)
        await mesh.all_serve(version + 1)
        far_process = far.process
        near.process.kill()
        near.process.wait()
        mesh.start_daemon(near)
        await mesh.all_serve(version + 1)
        await mesh.publish(version + 2)
        await mesh.all_serve(version + 2)
        for vm in mesh.vms:
            told = await mesh.call(vm, mesh.nonce())
            assert told.outcome == "done"
        assert near.process.poll() is None
        assert far.process is far_process
        assert far_process.poll() is None
        assert await mesh.publish_vms()
        log = (mesh.directory / "log").read_text()
        assert "watch_fault" not in log
        assert "Traceback" not in log

    mesh.version = version
    mesh_module.run(mesh, story)


async def _write_odd(mesh: mesh_module.Mesh, odd: str) -> None:
    """Add an odd entry to the VM list, and an odd bundle to the others."""
    sound = json.dumps(
        [
            ENTRY
            | {"vm": vm.name, "failure_domain": vm.domain}
            | {"address": f"{mesh_module.HOST}:{vm.listen}"}
            for vm in mesh.vms
        ]
    )
    for key, value in (
        (configservice.VMS_KEY, f"{sound[:-1]},{odd}]"),
        (BUNDLE_BEFORE_KEY, odd),
    ):
        body = value.encode("utf-8", "surrogateescape")
        assert await mesh.ask("PUT", mesh.control, f"/keys/{key}", body)
