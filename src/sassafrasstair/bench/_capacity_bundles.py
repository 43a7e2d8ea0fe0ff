"""Bundles of any size for the measurements."""

from __future__ import annotations

import functools

import msgspec

from sassafrasstair import bundles
from sassafrasstair.bundles import _signatures

KEY_NAME = "bench"


def bundle(
    version: int,
    services: int = 97,
    classes: int = 2,
    tenants: int = 20,
) -> bytes:
    """Return the text of a bundle, ``classes`` for each service."""
    names = [f"service-{number:02d}" for number in range(services)]
    return msgspec.json.encode(
        bundles.Bundle(
            format=1,
            mesh="mesh",
            version=version,
            supersedes=version - 1,
            failure_domains={
                f"domain-{number}": f"region-{number // 3}"
                for number in range(6)
            },
            services={
                name: bundles.Service(
                    100, 1_000, tuple(names[at + 1 : at + 4])
                )
                for at, name in enumerate(names)
            },
            classes={
                f"{name}-class-{number}": bundles.RequestClass(
                    name, number % 10, 1_000 + 100 * number
                )
                for name in names
                for number in range(classes)
            },
            tenants={
                f"tenant-{number:04d}": bundles.Tenant()
                for number in range(tenants)
            },
        )
    )


def envelope(text: bytes) -> bytes:
    """Return ``text`` approved with the key of the measurements."""
    return bundles.approve(text, _keys()[0], KEY_NAME)


def verify(approved: bytes) -> bundles.ApprovedBundle:
    """Return the bundle in ``approved``, its signature checked."""
    return bundles.verify(approved, {KEY_NAME: _keys()[1]})


@functools.lru_cache(maxsize=64)
def verify_once(approved: bytes) -> bundles.ApprovedBundle:
    """Return what ``verify`` does, worked out once for a whole fleet."""
    return verify(approved)


@functools.cache
def _keys() -> tuple[bytes, bytes]:
    return _signatures.new_key_pair()
