"""Queries on a view.

A target is an instance to which requests for its service may be sent.
``_types`` lists the states of an instance.
"""

from __future__ import annotations

import typing

from sassafrasstair.decisions import calls
from sassafrasstair.decisions.views import _histories
from sassafrasstair.decisions.views import _revisions
from sassafrasstair.decisions.views import _types

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.decisions.views import _views

UNREACHABLE_SECONDS = 1.0
"""After the store has been lost for so long, a request without a known route
may be for a new route: it is refused temporarily instead of denied."""


def knows_policy(view: _views.View) -> bool:
    """Return whether the view has a policy."""
    return view.table is not None


def is_behind(view: _views.View, content_revision: int) -> bool:
    """Return whether a peer with that content revision has newer changes.

    A view has all changes up to its ``revision``, even if its own last change
    is older.
    """
    return content_revision > max(view.content_revision, view.revision)


def is_restored(view: _views.View, revision: int) -> bool:
    """Return whether the store was restored from an older copy.

    ``revision`` is the store's present one; it is of a later era if the store
    was restored since the view's revision. See ``_revisions``.
    """
    later = _revisions.era_of(revision) > _revisions.era_of(view.revision)
    return view.revision >= 0 and later


def lost_store_seconds(view: _views.View, now: float) -> float | None:
    """Return for how long the store has been lost, None if it is not.

    See ``View.store_lost_since``.
    """
    return (
        now - view.store_lost_since if view.store_lost_since <= now else None
    )


def is_store_unreachable(view: _views.View, now: float) -> bool:
    """Return whether the store has been lost for ``UNREACHABLE_SECONDS``."""
    return now - view.store_lost_since >= UNREACHABLE_SECONDS


def targets(view: _views.View, service: str) -> tuple[calls.Target, ...]:
    """Return the instances of a service that may get new requests."""
    found = view.target_cache.get(service)
    if found is None:
        found = _targets(view, service)
        view.target_cache[service] = found
    return found


def snapshot(view: _views.View) -> _types.Snapshot:
    """Return the whole view, for a peer that is behind."""
    policy = None if view.table is None else view.table.policy
    return _types.Snapshot(
        view.revision,
        view.content_revision,
        policy,
        tuple(view.instances.values()),
    )


def delta_since(view: _views.View, after: int) -> _types.Delta:
    """Return the changes after the content revision ``after`` of a peer.

    Return the whole view if the history does not go back that far.
    """
    policy = None if view.table is None else view.table.policy
    if after >= view.content_revision:
        return _types.Delta(view.revision, view.content_revision)
    is_ahead = view.revision < view.ahead_to_revision
    ahead_to = view.ahead_to_revision if is_ahead else _revisions.UNORDERED
    if after < view.history.complete_from:
        return _types.Delta(
            view.revision,
            view.content_revision,
            True,
            policy,
            tuple(view.instances.values()),
            ahead_to=ahead_to,
        )
    if view.history.policy_changed_at <= after:
        policy = None
    changed = view.history.changed_at
    return _types.Delta(
        view.revision,
        view.content_revision,
        False,
        policy,
        tuple(
            instance
            for instance_id, instance in view.instances.items()
            if changed.get(instance_id, -1) > after
        ),
        _histories.removed_ids(view.history, after, False),
        _histories.removed_ids(view.history, after, True),
        ahead_to,
    )


def hosts_by_domain(view: _views.View) -> dict[str, frozenset[str]]:
    """Return the hosts of the daemons of each failure domain."""
    found: dict[str, set[str]] = {}
    for entry in view.instances.values():
        if _is_named_by_policy(view, entry):
            found.setdefault(entry.failure_domain, set()).add(entry.host)
    return {domain: frozenset(hosts) for domain, hosts in found.items()}


def other_hosts(view: _views.View, own_host: str) -> list[str]:
    """Return the hosts of all other known daemons."""
    known = [
        entry
        for entry in view.instances.values()
        if _is_named_by_policy(view, entry)
    ]
    hosts = {entry.host for entry in known}
    hosts |= {lapsed.instance.host for lapsed in view.lapsed.values()}
    hosts.discard(own_host)
    return sorted(hosts)


def _targets(view: _views.View, service: str) -> tuple[calls.Target, ...]:
    """Return the targets of a service, without instances that have ended.

    An address serves one instance at a time, so the older of two entries is
    out of date. If a late heartbeat of an ended instance rewrites its entry,
    that entry is used until the instance that runs at the address has
    answered with another id. An entry of a service that the policy does not
    name supersedes no other.
    """
    newest: dict[tuple[str, int], _types.Instance] = {}
    for known in view.instances.values():
        if not _is_eligible(view, known) or not _is_named_by_policy(
            view, known
        ):
            continue
        address = (known.host, known.port)
        other = newest.get(address)
        if other is None or _is_later(known, other):
            newest[address] = known
    return tuple(
        calls.Target(
            instance.id,
            service,
            instance.failure_domain,
            instance.region,
        )
        for instance in _candidates(view, service)
        if _is_eligible(view, instance)
        and not _is_superseded(
            instance, newest.get((instance.host, instance.port))
        )
    )


def _is_eligible(view: _views.View, instance: _types.Instance) -> bool:
    """Return whether an instance is neither replaced nor held back.

    Its state and service are not considered.
    """
    return (
        instance.id not in view.replaced_ids
        and instance.id not in view.held_back_until
    )


def _is_superseded(
    instance: _types.Instance, newest: _types.Instance | None
) -> bool:
    """Return whether a later instance runs at the instance's address."""
    return (
        newest is not None
        and newest.id != instance.id
        and _is_later(newest, instance)
    )


def _is_later(one: _types.Instance, other: _types.Instance) -> bool:
    """Return whether ``one`` started at their shared address after ``other``.

    Start times decide if both are known: the revision at which an entry was
    created stays the same when a new run under the same id rewrites it.
    """
    if one.born and other.born and one.born != other.born:
        return one.born > other.born
    return one.since > other.since


def _is_named_by_policy(view: _views.View, instance: _types.Instance) -> bool:
    """Return whether the policy names the instance's service."""
    return view.table is None or instance.service in view.table.services


def _candidates(
    view: _views.View, service: str
) -> abc.Sequence[_types.Instance]:
    """Return the ready instances of a service that did not say they leave.

    Includes lapsed ones whose entry may merely have expired; other lapsed
    instances are returned only if the result would be empty without them.
    """
    ready = [
        instance
        for instance in view.instances.values()
        if instance.service == service
        and instance.state is _types.InstanceState.READY
        and not has_said_to_leave(view, instance.id)
    ]
    lapsed = [
        entry
        for entry in view.lapsed.values()
        if entry.instance.service == service
        and not has_said_to_leave(view, entry.instance.id)
    ]
    ready += [entry.instance for entry in lapsed if entry.may_have_expired]
    if not ready:
        ready = [entry.instance for entry in lapsed]
    return ready


def is_replaced(view: _views.View, instance_id: str) -> bool:
    """Return whether another instance answered at the instance's address."""
    return instance_id in view.replaced_ids


def has_said_to_leave(view: _views.View, instance_id: str) -> bool:
    """Return whether the instance's present run said that it is leaving.

    A run whose start was not known is taken for the present one.
    """
    born = view.said_to_leave.get(instance_id)
    if born is None:
        return False
    return born == 0 or born_at(view, instance_id) <= born


def instance_by_id(
    view: _views.View, instance_id: str
) -> _types.Instance | None:
    """Return the known or lapsed instance with that id."""
    found = view.instances.get(instance_id)
    if found is None and instance_id in view.lapsed:
        found = view.lapsed[instance_id].instance
    return found


def born_at(view: _views.View, instance_id: str) -> int:
    """Return when the latest run under an instance id started.

    In Unix milliseconds by the clock of its VM, 0 if unknown.
    """
    return view.latest_starts.get(instance_id, 0)


def count_services(view: _views.View) -> int:
    """Return how many services have an instance."""
    return len(
        {
            instance.service
            for instance in view.instances.values()
            if _is_named_by_policy(view, instance)
        }
    )


def least_importance(view: _views.View) -> int:
    """Return the least importance that a request may have."""
    if view.table is None:
        return 0
    policy = view.table.policy
    levels = [route.importance for route in policy.routes]
    levels += [
        customer.importance
        for customer in policy.customers or ()
        if customer.importance is not None
    ]
    return min(levels, default=0)
