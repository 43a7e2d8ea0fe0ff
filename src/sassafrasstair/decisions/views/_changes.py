"""Applies one change of policy or instances to a view."""

from __future__ import annotations

import dataclasses
import typing

from sassafrasstair.decisions import policies
from sassafrasstair.decisions.views import _types

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions.views import _views

STARTS_KEPT = 4_000
"""Number of instance ids whose latest start is remembered, even after they
ended, to reject reappearing entries of earlier runs: the 1,300 instances of a
fleet, replaced three times."""

Updates = list[tuple[_types.News, str]]
"""The effects of changes, each with the id of the instance, or '' if the
effect concerns none."""


@dataclasses.dataclass(slots=True)
class Lapsed:
    """An instance whose entry vanished at ``lapsed_at``.

    ``may_have_expired`` is whether the entry may merely have expired during
    an outage of the store, or been lost by a restore. Otherwise the instance
    is used only if its service has no ready one.
    """

    instance: _types.Instance
    lapsed_at: float
    may_have_expired: bool


def apply_one(view: _views.View, change: _types.Change, now: float) -> Updates:
    """Apply a change, and return its effects."""
    if isinstance(change, policies.Policy):
        return _set_policy(view, change)
    if isinstance(change, _types.Removed):
        return _remove(view, change.id, now)
    if isinstance(change, _types.Unusable):
        return _drop_unusable(view, change.id)
    return _set_instance(view, change)


def _set_policy(view: _views.View, policy: policies.Policy) -> Updates:
    """Activate the policy unless its version is not above the active one."""
    if view.table is not None and policy.version <= view.table.policy.version:
        return []
    view.table = policies.new_table(policy)
    return [(_types.News.POLICY, "")]


def _set_instance(view: _views.View, instance: _types.Instance) -> Updates:
    """Apply an entry, unless a later run under the same id is known.

    A late heartbeat, or a peer that is behind, would otherwise restore the
    state, slots and address of a run that has ended.
    """
    latest_start = view.latest_starts.get(instance.id, 0)
    if instance.born and instance.born < latest_start:
        return [(_types.News.OUTDATED, instance.id)]
    if not instance.born and latest_start:
        # A daemon of the previous version sends no start time (0), so the
        # entry may belong to either run.
        instance = dataclasses.replace(instance, born=latest_start)
    previous = view.instances.get(instance.id)
    if _is_ready_after_leaving(previous, instance):
        return [(_types.News.OUTDATED, instance.id)]
    if previous != instance:
        view.held_back_until.pop(instance.id, None)
    was_marked_replaced = (
        previous != instance and instance.id in view.replaced_ids
    )
    if was_marked_replaced:
        # Only a running instance changes its entry, so this one has not
        # ended although another answered at its address.
        view.replaced_ids.discard(instance.id)
    view.lapsed.pop(instance.id, None)
    view.instances[instance.id] = instance
    _record_start(view, instance)
    if latest_start and instance.born > latest_start:
        news = _types.News.RESTARTED
    elif previous is None:
        news = _types.News.ADDED
    elif _has_same_routing(previous, instance) and not was_marked_replaced:
        return []
    elif instance.state is not previous.state:
        news = _types.News.LEAVING
    else:
        news = _types.News.CHANGED
    return [(news, instance.id)]


def _is_ready_after_leaving(
    previous: _types.Instance | None, instance: _types.Instance
) -> bool:
    """Return whether an entry lists a run as ready that is leaving.

    A leaving run never becomes ready again, but an older copy of the store
    still lists it as ready.
    """
    return (
        previous is not None
        and previous.state is _types.InstanceState.LEAVING
        and instance.state is _types.InstanceState.READY
        and instance.born == previous.born
    )


def _has_same_routing(
    previous: _types.Instance, instance: _types.Instance
) -> bool:
    """Return whether two entries differ at most in ``cold_seconds``.

    That time counts down with each heartbeat and does not affect routing.
    """
    return previous == dataclasses.replace(
        instance, cold_seconds=previous.cold_seconds
    )


def _record_start(view: _views.View, instance: _types.Instance) -> None:
    if not instance.born:
        return
    view.latest_starts.pop(instance.id, None)
    view.latest_starts[instance.id] = instance.born
    if len(view.latest_starts) > STARTS_KEPT:
        del view.latest_starts[next(iter(view.latest_starts))]


def _drop_unusable(view: _views.View, instance_id: str) -> Updates:
    """Remove an instance whose entry has become unreadable."""
    known = view.instances.pop(instance_id, None)
    lapsed = view.lapsed.pop(instance_id, None)
    if known is None and lapsed is None:
        return []
    view.replaced_ids.discard(instance_id)
    view.held_back_until.pop(instance_id, None)
    return [(_types.News.UNUSABLE, instance_id)]


def _remove(view: _views.View, instance_id: str, now: float) -> Updates:
    instance = view.instances.pop(instance_id, None)
    if instance is None:
        return []
    view.target_cache.clear()
    view.replaced_ids.discard(instance_id)
    view.held_back_until.pop(instance_id, None)
    if instance.state is not _types.InstanceState.READY:
        return [(_types.News.GONE, instance_id)]
    may_have_expired = now < view.recovering_until
    view.lapsed[instance_id] = Lapsed(instance, now, may_have_expired)
    return [(_types.News.LAPSED, instance_id)]
