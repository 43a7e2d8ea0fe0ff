from __future__ import annotations

import typing

import pytest

from tests.processes import mesh as mesh_module

if typing.TYPE_CHECKING:
    from collections import abc


@pytest.fixture(scope="package")
def pair(
    tmp_path_factory: pytest.TempPathFactory,
) -> abc.Iterator[mesh_module.Mesh]:
    """Give a mesh of two VMs in two failure domains."""
    vms = [
        mesh_module.Vm("poster-1", "pos-a"),
        mesh_module.Vm("poster-2", "pos-b"),
    ]
    with mesh_module.of(tmp_path_factory.mktemp("pair"), *vms) as made:
        yield made
