"""Checks of a bundle that one field alone cannot show.

Each check yields lines of ``key: what is wanted``.
"""

from __future__ import annotations

import graphlib
import json
import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.bundles import _schema


MAX_INCREASE = 1_000
"""How far a version may pass the one that it supersedes.

Versions never go back, so a digit too many would be in force for good:
every later bundle that continues the old count is refused.
"""


def faults(bundle: _schema.Bundle) -> list[str]:
    """Return every fault of ``bundle``, in the order of its sections."""
    checks = (_version, _sections, _rollout, _services, _cycles, _classes)
    return [line for check in checks for line in check(bundle)]


def duplicate_keys(payload: bytes) -> list[str]:
    """Return a line for each key that its object has twice.

    JSON decoders keep the last one, silently: an operator who adds a class
    that exists already would approve something other than what they read.
    """
    twice: list[str] = []

    def note(pairs: list[tuple[str, object]]) -> None:
        seen: set[str] = set()
        for key, _ in pairs:
            if key in seen:
                twice.append(f"{key}: wants each key once in its object")
            seen.add(key)

    json.loads(payload, object_pairs_hook=note)
    return twice


def _version(bundle: _schema.Bundle) -> abc.Iterator[str]:
    if bundle.version <= bundle.supersedes:
        yield f"version: wants more than supersedes, {bundle.supersedes}"
    most = bundle.supersedes + MAX_INCREASE
    if bundle.version > most:
        yield f"version: wants at most {most}, supersedes and {MAX_INCREASE}"


def _sections(bundle: _schema.Bundle) -> abc.Iterator[str]:
    for name in ("failure_domains", "services", "classes", "tenants"):
        if not getattr(bundle, name):
            yield f"{name}: wants one entry at least"


def _rollout(bundle: _schema.Bundle) -> abc.Iterator[str]:
    if len(set(bundle.rollout)) != len(bundle.rollout):
        yield "rollout: wants each failure domain once"
    for name in bundle.rollout:
        if name not in bundle.failure_domains:
            yield f"rollout: wants names from failure_domains, not {name}"


def _services(bundle: _schema.Bundle) -> abc.Iterator[str]:
    for name, service in bundle.services.items():
        for callee in service.calls:
            if callee not in bundle.services:
                yield (
                    f"services.{name}.calls: wants names from services, "
                    f"not {callee}"
                )


def _cycles(bundle: _schema.Bundle) -> abc.Iterator[str]:
    """Refuse services that call themselves by way of others.

    Slots of such services wait for each other when all are taken: under
    overload the whole cycle stands still until deadlines pass.
    """
    graph = {name: rules.calls for name, rules in bundle.services.items()}
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError as error:
        cycle = ">".join(reversed(error.args[1]))
        yield f"services: wants no cycle of calls: {cycle}"


def _classes(bundle: _schema.Bundle) -> abc.Iterator[str]:
    for name, rules in bundle.classes.items():
        for line in _class(bundle, rules):
            yield f"classes.{name}.{line}"


def _class(
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
