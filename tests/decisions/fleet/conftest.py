from __future__ import annotations

import random
import typing

import msgspec
import pytest

from sassafrasstair.bench import _capacity_fleets
from sassafrasstair.bench import _capacity_platform
from sassafrasstair import bundles
from sassafrasstair.decisions import fleet

if typing.TYPE_CHECKING:
    from collections import abc

DOMAINS = {f"domain-{number}": "region-0" for number in range(6)}


def _bundle(
    version: int, rollout: tuple[str, ...] = (), deadline_ms: int = 1_000
) -> bytes:
    """Return an envelope; a different deadline changes its payload."""
    return msgspec.json.encode(
        bundles.Bundle(
            format=1,
            mesh="mesh",
            version=version,
            supersedes=version - 1,
            failure_domains=DOMAINS,
            services={"service-00": bundles.Service(10, 100)},
            classes={
                "lookup": bundles.RequestClass("service-00", 5, deadline_ms)
            },
            tenants={"tenant": bundles.Tenant()},
            rollout=rollout,
            subset_size=8,
        )
    )


def _verify(envelope: bytes) -> bundles.ApprovedBundle:
    digest = bundles.digest(envelope)
    try:
        bundle = msgspec.json.decode(envelope, type=bundles.Bundle)
        return bundles.ApprovedBundle(bundle, envelope, digest, ())
    except msgspec.MsgspecError as error:
        raise bundles.BundleError(
            bundles.Defect.BAD_VALUE, str(error)
        ) from error


def _settled(
    seed: int, loss: float = 0.0, daemons: int = 24, domains: int = 6
) -> _capacity_fleets.Fleet:
    """Return settled daemons of one service, spread over the domains."""
    records = _capacity_fleets.records(daemons, 1, domains)
    contents = _capacity_platform.Contents(10, (_bundle(1),), tuple(records))
    simulation = _capacity_fleets.Fleet(
        _verify,
        _capacity_platform.Platform(contents),
        random.Random(seed),
        loss,
    )
    seeds = tuple(record.address for record in records[:6])
    for record in records:
        simulation.start(record, seeds)
    assert simulation.run(
        15, lambda: bool(simulation.nodes) and simulation.at_version(1)
    )
    simulation.run(30)
    return simulation


@pytest.fixture
def make_bundle() -> abc.Callable[..., bytes]:
    return _bundle


@pytest.fixture
def verify() -> abc.Callable[[bytes], bundles.ApprovedBundle]:
    return _verify


@pytest.fixture
def settled() -> abc.Callable[..., _capacity_fleets.Fleet]:
    return _settled


@pytest.fixture
def node() -> fleet.Node:
    """Return a daemon of domain-0 without peers, not settled."""
    record = _capacity_fleets.records(24, 1)[0]
    rng = random.Random(1)
    return fleet.new_node(record, "0001", (), _verify, 0.0, rng)
