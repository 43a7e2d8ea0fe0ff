"""Construction of the parts of a daemon from its settings."""

from __future__ import annotations

import functools
import hashlib
import secrets
import typing

from sassafrasstair import bundles
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import fleet
from sassafrasstair.decisions import load
from sassafrasstair.decisions import once
from sassafrasstair.runtime import _slots
from sassafrasstair import upstreams

if typing.TYPE_CHECKING:
    import random

    from sassafrasstair import clocks
    from sassafrasstair import metrics
    from sassafrasstair import settings

MAX_TICKET_RECORDS = 50_000
MAX_APPROVALS = 64
INITIAL_SLOTS = 1


def in_force(node: fleet.Node, clock: clocks.Clock) -> bundles.Bundle | None:
    """Return the bundle in force, or None before this daemon may serve."""
    if not fleet.ready_to_serve(node, clock.monotonic()):
        return None
    return fleet.in_force(node)


def other_bundles(
    node: fleet.Node, clock: clocks.Clock
) -> tuple[bundles.Bundle, ...]:
    """Return the bundles under which peers may have accepted requests."""
    return fleet.other_bundles(node, clock.monotonic())


def new_node(
    settings_: settings.Settings,
    incarnation: str,
    now: float,
    rng: random.Random,
    approvals: dict[bytes, tuple[str, ...]],
) -> fleet.Node:
    """Return the initial view of the fleet, which has only this daemon.

    For each valid envelope, the names of its approvers are added to
    ``approvals`` under the envelope's SHA-256.
    """
    local_record = fleet.Record(
        settings_.vm,
        settings_.service,
        settings_.failure_domain,
        settings_.region,
        settings_.peers.advertise or settings_.peers.listen,
    )
    keys = {key.name: key.raw for key in settings_.keys}
    verify = functools.partial(_verify, keys, approvals)
    return fleet.new_node(
        local_record, incarnation, settings_.peers.seeds, verify, now, rng
    )


def _verify(
    keys: dict[str, bytes],
    approvals: dict[bytes, tuple[str, ...]],
    envelope: bytes,
) -> bundles.ApprovedBundle:
    approved = bundles.verify(envelope, keys)
    if len(approvals) >= MAX_APPROVALS:
        del approvals[next(iter(approvals))]
    approvals[hashlib.sha256(envelope).digest()] = approved.approved_by
    return approved


def new_callee(
    settings_: settings.Settings,
    incarnation: str,
    clock: clocks.Clock,
    node: fleet.Node,
    entrance: calls.Entrance,
    counts: metrics.Metrics,
) -> _slots.Callee:
    """Return the state of the callee's side with a new ticket owner."""
    now = clock.monotonic()
    bundle = functools.partial(in_force, node, clock)
    owner = once.new_owner(
        settings_.vm,
        incarnation,
        secrets.token_bytes(32),
        MAX_TICKET_RECORDS,
    )
    return _slots.Callee(
        service=settings_.service,
        incarnation=incarnation,
        clock=clock,
        guard=load.new_guard(INITIAL_SLOTS, now),
        owner=owner,
        upstream=upstreams.connect(settings_.upstream.url),
        bundle=bundle,
        other_bundles=functools.partial(other_bundles, node, clock),
        max_callee_floor=functools.partial(
            _max_callee_floor, settings_.service, entrance, bundle, clock
        ),
        pauses=calls.Pauses(now),
        counts=counts,
    )


def _max_callee_floor(
    service: str,
    entrance: calls.Entrance,
    bundle: typing.Callable[[], bundles.Bundle | None],
    clock: clocks.Clock,
    request_class: str,
    tenant: str,
) -> float:
    current = bundle()
    if current is None or service not in current.services:
        return 0.0
    now = clock.monotonic()
    return calls.max_callee_floor(
        entrance, current, service, request_class, now, tenant
    )
