"""Decoding and checking of the policy in the store."""

from __future__ import annotations

import typing

import msgspec

from sassafrasstair import bundles
from sassafrasstair.decisions import policies

if typing.TYPE_CHECKING:
    from collections import abc

POLICY_KEY = "op/config"
_IDEMPOTENT_KIND = "safe"
_ROUTE_KINDS = frozenset({_IDEMPOTENT_KIND, "unsafe", "upload"})


_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=policies.COUNT_MAX)]
_VERSION_DIGITS_MAX = 18
"""Versions are sent in 64 bits."""
_Version = typing.Annotated[
    str, msgspec.Meta(pattern=rf"^r?[0-9]{{1,{_VERSION_DIGITS_MAX}}}\Z")
]


class PolicyError(Exception):
    """A policy that can't be used; the message states the fault."""


class _Share(msgspec.Struct, frozen=True):
    """The weight of a service in a route's traffic split."""

    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True):
    """A route in the platform's format; ``kind`` is one of _ROUTE_KINDS."""

    host: str
    prefix: str
    kind: str = msgspec.field(name="type")
    timeout_ms: float
    priority: int = 0
    target_latency_ms: float = 1000.0
    max_attempts: _Count = 1
    service: str = ""
    traffic_split: tuple[_Share, ...] = ()
    allow_anonymous: bool = False


class _Tenant(msgspec.Struct, frozen=True):
    """A customer in the platform's format."""

    api_keys: tuple[str, ...] = ()
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: _Count = 16_384
    max_body_bytes: _Count = 64 * 1024 * 1024
    header_timeout_ms: float = 5_000.0
    idle_timeout_ms: float = 30_000.0


class _Config(msgspec.Struct, frozen=True):
    version: _Version
    routes: dict[str, _Route]
    limits: _Limits = _Limits()
    services: dict[str, object] = {}
    tenants: dict[str, _Tenant] | None = None


_CONFIG_DECODER = msgspec.json.Decoder(_Config)


def decode_policy(value: bytes) -> policies.Policy:
    """Decode and check a policy; raises ``PolicyError``."""
    try:
        policy = _build_policy(_CONFIG_DECODER.decode(value))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise PolicyError(f"policy: {error}") from error
    fault = policies.find_fault(policy)
    if fault:
        raise PolicyError(f"policy: {fault}")
    return policy


def _build_policy(config: _Config) -> policies.Policy:
    limits = config.limits
    return policies.Policy(
        int(config.version.removeprefix("r")),
        tuple(
            _build_route(name, route) for name, route in config.routes.items()
        ),
        policies.ClientLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
        tuple(config.services),
        _build_customers(config.tenants),
    )


def _build_customers(
    tenants: abc.Mapping[str, _Tenant] | None,
) -> tuple[policies.Customer, ...] | None:
    if tenants is None:
        return None
    return tuple(
        policies.Customer(
            name,
            tuple(
                policies.digest_key(_encode_key(name, key))
                for key in tenant.api_keys
            ),
            tenant.rate_per_s,
            tenant.burst,
            None
            if tenant.priority is None
            else _to_importance(tenant.priority),
        )
        for name, tenant in tenants.items()
    )


def _encode_key(customer: str, key: str) -> bytes:
    """Return a key as sent in a header field; raises ``PolicyError``."""
    if not (
        key and key.isascii() and key.isprintable() and key == key.strip()
    ):
        raise PolicyError(f"policy: {customer[:40]!r}: a malformed key")
    return key.encode()


def _build_route(name: str, route: _Route) -> policies.Route:
    if route.kind not in _ROUTE_KINDS:
        raise PolicyError(f"policy: {name}: type {route.kind[:40]!r}")
    shares = tuple(
        policies.Share(share.service, share.weight)
        for share in route.traffic_split
    )
    return policies.Route(
        name,
        route.host,
        route.prefix,
        route.kind == _IDEMPOTENT_KIND,
        route.timeout_ms / 1000,
        route.target_latency_ms / 1000,
        _to_importance(route.priority),
        route.max_attempts,
        shares or (policies.Share(route.service, 1.0),),
        route.allow_anonymous,
    )


def _to_importance(priority: int) -> int:
    # The platform's priority 0 is the most important one; here the most
    # important requests have the greatest number.
    importance = bundles.IMPORTANCE_MAX - priority
    return min(max(importance, 0), bundles.IMPORTANCE_MAX)
