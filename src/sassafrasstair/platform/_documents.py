"""The policy that lies in the store, decoded and checked."""

from __future__ import annotations

import msgspec

from sassafrasstair import bundles
from sassafrasstair.decisions import policies

POLICY_KEY = "op/config"
_IDEMPOTENT = "safe"
_KINDS = frozenset({_IDEMPOTENT, "unsafe", "upload"})


class DocumentError(Exception):
    """A policy that can't be used; says what is wrong."""


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
    services: dict[str, object] = {}


_CONFIG = msgspec.json.Decoder(_Config)


def decode_policy(value: bytes) -> policies.Policy:
    """Return the policy that is written; raises ``DocumentError``."""
    try:
        policy = _policy(_CONFIG.decode(value))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise DocumentError(f"policy: {error}") from error
    wrong = policies.unsound(policy)
    if wrong:
        raise DocumentError(f"policy: {wrong}")
    return policy


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
        tuple(config.services),
    )


def _route(name: str, route: _Route) -> policies.Route:
    if route.kind not in _KINDS:
        raise DocumentError(f"policy: {name}: type {route.kind[:40]!r}")
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
