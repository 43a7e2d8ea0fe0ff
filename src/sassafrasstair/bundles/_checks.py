"""Consistency checks that involve more than one field of a bundle.

Each check yields lines of the form ``key: what is expected``.
"""

from __future__ import annotations

import graphlib
import json
import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.bundles import _schema


MAX_INCREASE = 1_000
"""How far a version may exceed the one that it supersedes.

Versions never decrease. Without this limit, a version with a digit too many
would stay in force permanently, since every later bundle that continues the
old numbering is refused.
"""


def find_faults(bundle: _schema.Bundle) -> list[str]:
    """Return all faults of ``bundle``, in the order of its sections."""
    checks = (
        _check_version,
        _check_sections,
        _check_rollout,
        _check_services,
        _check_cycles,
        _check_classes,
    )
    return [line for check in checks for line in check(bundle)]


def duplicate_keys(payload: bytes) -> list[str]:
    """Return a line for each key that occurs twice in its JSON object.

    JSON decoders silently keep the last occurrence. An operator who adds a
    class that already exists would approve a bundle that differs from the
    text they read.
    """
    duplicates: list[str] = []

    def record_duplicates(pairs: list[tuple[str, object]]) -> None:
        seen: set[str] = set()
        for key, _ in pairs:
            if key in seen:
                duplicates.append(f"{key}: wants each key once in its object")
            seen.add(key)

    json.loads(payload, object_pairs_hook=record_duplicates)
    return duplicates


def _check_version(bundle: _schema.Bundle) -> abc.Iterator[str]:
    if bundle.version <= bundle.supersedes:
        yield f"version: wants more than supersedes, {bundle.supersedes}"
    limit = bundle.supersedes + MAX_INCREASE
    if bundle.version > limit:
        yield f"version: wants at most {limit}, supersedes and {MAX_INCREASE}"


def _check_sections(bundle: _schema.Bundle) -> abc.Iterator[str]:
    for name in ("failure_domains", "services", "classes", "tenants"):
        if not getattr(bundle, name):
            yield f"{name}: wants one entry at least"


def _check_rollout(bundle: _schema.Bundle) -> abc.Iterator[str]:
    if len(set(bundle.rollout)) != len(bundle.rollout):
        yield "rollout: wants each failure domain once"
    for name in bundle.rollout:
        if name not in bundle.failure_domains:
            yield f"rollout: wants names from failure_domains, not {name}"


def _check_services(bundle: _schema.Bundle) -> abc.Iterator[str]:
    for name, service in bundle.services.items():
        for callee in service.calls:
            if callee not in bundle.services:
                yield (
                    f"services.{name}.calls: wants names from services, "
                    f"not {callee}"
                )


def _check_cycles(bundle: _schema.Bundle) -> abc.Iterator[str]:
    """Refuse services that call themselves through other services.

    When all slots of such services are taken, the requests in them wait for
    each other. Under overload the whole cycle is deadlocked until deadlines
    pass.
    """
    graph = {name: rules.calls for name, rules in bundle.services.items()}
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError as error:
        cycle = ">".join(reversed(error.args[1]))
        yield f"services: wants no cycle of calls: {cycle}"


def _check_classes(bundle: _schema.Bundle) -> abc.Iterator[str]:
    for name, rules in bundle.classes.items():
        for line in _check_class(bundle, rules):
            yield f"classes.{name}.{line}"


def _check_class(
    bundle: _schema.Bundle, rules: _schema.RequestClass
) -> abc.Iterator[str]:
    refusal = rules.refusal
    if rules.service not in bundle.services:
        yield f"service: wants a name from services, not {rules.service}"
    if refusal.queue_ms >= rules.deadline_ms:
        yield f"refusal.queue_ms: wants less than {rules.deadline_ms}"
    if refusal.retry_after_min_ms > refusal.retry_after_max_ms:
        yield (
            "refusal.retry_after_min_ms: wants at most "
            f"{refusal.retry_after_max_ms}"
        )
    if rules.once and bundle.ticket_lifetime_ms < rules.deadline_ms:
        yield f"deadline_ms: wants at most {bundle.ticket_lifetime_ms}"
