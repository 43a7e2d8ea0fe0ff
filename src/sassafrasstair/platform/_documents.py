"""What lies in the store, decoded into the product's types."""

from __future__ import annotations

import typing

import msgspec

from sassafrasstair import bundles
from sassafrasstair.decisions import policies
from sassafrasstair.decisions import views

if typing.TYPE_CHECKING:
    from collections import abc

POLICY_KEY = "op/config"
INSTANCES_PREFIX = "servers/"
_IDEMPOTENT = "safe"
_LEAVING = "draining"


class DocumentError(Exception):
    """A value in the store that can't be read, with its key."""


class _Share(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True):
    host: str
    prefix: str
    kind: str = msgspec.field(name="type")
    timeout_ms: float
    priority: int = 0
    target_latency_ms: float = 1000.0
    max_attempts: int = 1
    service: str = ""
    traffic_split: tuple[_Share, ...] = ()


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 5_000.0
    idle_timeout_ms: float = 30_000.0


class _Config(msgspec.Struct, frozen=True):
    version: str
    routes: dict[str, _Route]
    limits: _Limits = _Limits()


class _Entry(msgspec.Struct, frozen=True):
    service: str
    address: str
    zone: str
    slots: int = 1
    state: str = "ready"
    warmup_ms: float = 0.0


_CONFIG = msgspec.json.Decoder(_Config)
_ENTRY = msgspec.json.Decoder(_Entry)


def decode(
    key: str, value: bytes, created: int, regions: abc.Mapping[str, str]
) -> views.Change | None:
    """Return what an item says, None for one that does not concern us.

    ``created`` is the store's revision at which the key was first written.
    Raises ``DocumentError``.
    """
    try:
        if key == POLICY_KEY:
            return _policy(_CONFIG.decode(value))
        if key.startswith(INSTANCES_PREFIX):
            return _instance(key, _ENTRY.decode(value), created, regions)
    except (msgspec.MsgspecError, ValueError) as error:
        raise DocumentError(f"{key}: {error}") from error
    return None


def removed(key: str) -> views.Change | None:
    """Return what the removal of an item says, None if nothing."""
    if not key.startswith(INSTANCES_PREFIX):
        return None
    return views.Removed(key.removeprefix(INSTANCES_PREFIX))


def _policy(config: _Config) -> policies.Policy:
    limits = config.limits
    return policies.Policy(
        int(config.version.removeprefix("r")),
        tuple(_route(name, route) for name, route in config.routes.items()),
        policies.ClientLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
    )


def _route(name: str, route: _Route) -> policies.Route:
    shares = tuple(
        policies.Share(share.service, share.weight)
        for share in route.traffic_split
    )
    # Their priority counts down to 0 for what matters most, ours up.
    importance = bundles.IMPORTANCE_MAX - route.priority
    return policies.Route(
        name,
        route.host,
        route.prefix,
        route.kind == _IDEMPOTENT,
        route.timeout_ms / 1000,
        route.target_latency_ms / 1000,
        min(max(importance, 0), bundles.IMPORTANCE_MAX),
        route.max_attempts,
        shares or (policies.Share(route.service, 1.0),),
    )


def _instance(
    key: str, entry: _Entry, created: int, regions: abc.Mapping[str, str]
) -> views.Instance:
    host, _, port = entry.address.rpartition(":")
    leaving = entry.state == _LEAVING
    state = views.InstanceState.READY
    return views.Instance(
        key.removeprefix(INSTANCES_PREFIX),
        entry.service,
        host,
        int(port),
        created,
        entry.zone,
        regions.get(entry.zone, ""),
        entry.slots,
        views.InstanceState.LEAVING if leaving else state,
        entry.warmup_ms / 1000,
    )
