"""The view of the policy and instances, updated from the store or peers.

The store's revision orders all views: the one with the greater revision is
newer, whether the daemon read the store itself or asked a peer. Each revision
includes the store's era, an epoch that a restore from an older copy ends
(``_revisions``). ``_types`` lists the states of an instance in a view, and
``feeds`` the daemons that read the store and those that follow them.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair.decisions import calls
from sassafrasstair.decisions import policies
from sassafrasstair.decisions.views import _changes
from sassafrasstair.decisions.views import _histories
from sassafrasstair.decisions.views import _queries
from sassafrasstair.decisions.views import _types

if typing.TYPE_CHECKING:
    from collections import abc

LAPSED_SECONDS = 1.5
"""For how long an instance whose entry vanished stays lapsed before it is
gone. An instance that leaves without announcing it serves for the drain time,
at least 2 s; requests sent until then may first wait at its daemon. An entry
that had merely expired may be rewritten up to 0.5 s after that."""
RECOVERY_SECONDS = 2.0
"""For how long the store counts as recovering after an outage or a restore: a
vanished entry may then have expired or been lost rather than removed."""

RESTORE_SETTLE_SECONDS = 2.0
"""For how long after the store was restored from an older copy a change that
the store had acknowledged may still be missing from it."""
HOLD_BACK_SECONDS = 10.0
"""For how long an instance is held back: it was removed, and a store restored
from an older copy lists it again. After that time an entry that its instance
does not renew has expired."""


@dataclasses.dataclass(slots=True)
class View:
    """A daemon's view, as of the store's ``revision``; see ``_revisions``.

    ``content_revision`` is the revision of the last change that had an effect
    on the view. The store's own counter also rises with unrelated changes, so
    it does not tell which of two daemons has the newer view.

    ``table`` has the lookup tables of the active policy, None without one.

    ``instances`` are the known instances by id, and ``lapsed`` those whose
    entry vanished.

    ``store_answered_at`` is when the store last gave an answer that this view
    reflects, possibly to another daemon. ``store_lost_since`` is since when
    the store has been lost: when a call failed, the first unanswered check
    was sent, or the loss began that a parent reported. It is infinite if the
    store is not lost. Until ``recovering_until`` a vanished entry may merely
    have expired. All times are in seconds of the daemon's clock.

    ``replaced_ids`` are the ids of instances at whose address another one
    answered: their entries are out of date until they change.

    ``said_to_leave`` has, by id, the start of the run that said in an answer
    that it is leaving, 0 if unknown. It outlasts the entry, which may vanish
    and be written anew while the instance still runs.

    ``held_back_until`` has, by id, the time until which a held-back instance
    gets no requests unless its entry changes.

    ``kept_ids`` are the instances, and ``kept_policy`` is whether there is a
    policy, that this view kept although the store was restored from a copy
    that has an earlier state of them. A daemon that read the copy lacks them,
    so they count as changed once the store has them again.

    ``latest_starts`` are the latest known start times (``Instance.born``) by
    id, with the last recorded at the end.

    ``confirmed_at`` is the latest time at which the active policy is known to
    have been the newest. The view has all policies up to the store revision
    ``policies_read_to_revision``. No confirmation is accepted for times
    before ``confirmable_from``, as the store may then still have lacked
    changes that were lost by a restore. If the store was restored right
    before this daemon's first ordered state of it, what the copy lacked is
    written again by ``settled_from``. Until then, a policy older than the
    ``peer_version`` that a peer has is not confirmed.

    Entries may be of a later state than ``revision``, at the latest of
    ``ahead_to_revision``: the pages of a full read are no snapshot, and the
    stale state that a starting daemon reads may be later than the first one
    that a peer sends. So a change on the way there may be without an effect
    here, though daemons at ``revision`` lack it.

    ``history`` holds the content revision at which each entry last changed,
    so that a peer is sent only what it lacks. ``target_cache`` holds, by
    service, the instances that may get new requests.
    """

    revision: int = -1
    content_revision: int = -1
    table: policies.Table | None = None
    instances: dict[str, _types.Instance] = dataclasses.field(
        default_factory=dict
    )
    lapsed: dict[str, _changes.Lapsed] = dataclasses.field(
        default_factory=dict
    )
    replaced_ids: set[str] = dataclasses.field(default_factory=set)
    said_to_leave: dict[str, int] = dataclasses.field(default_factory=dict)
    held_back_until: dict[str, float] = dataclasses.field(default_factory=dict)
    kept_ids: set[str] = dataclasses.field(default_factory=set)
    kept_policy: bool = False
    latest_starts: dict[str, int] = dataclasses.field(default_factory=dict)
    history: _histories.History = dataclasses.field(
        default_factory=_histories.History
    )
    store_answered_at: float = -math.inf
    store_lost_since: float = math.inf
    recovering_until: float = -math.inf
    confirmed_at: float = -math.inf
    confirmable_from: float = -math.inf
    settled_from: float = math.inf
    peer_version: int = -1
    policies_read_to_revision: int = -1
    ahead_to_revision: int = -1
    target_cache: dict[str, tuple[calls.Target, ...]] = dataclasses.field(
        default_factory=dict
    )


def new_view() -> View:
    """Return an empty view."""
    return View()


def store_answered(view: View, now: float, age: float = 0.0) -> bool:
    """Record an answer of the store; return whether it ends an outage.

    ``age`` is how long ago the store gave the answer, possibly to a daemon
    that this one follows. An answer from before the outage does not end it.
    """
    view.store_answered_at = max(view.store_answered_at, now - age)
    if view.store_lost_since == math.inf or now - age <= view.store_lost_since:
        return False
    view.recovering_until = now + RECOVERY_SECONDS
    view.store_lost_since = math.inf
    return True


def note_peer_age(view: View, age: float, now: float) -> None:
    """Record how long ago the store answered a peer that is not ahead.

    Such a peer has no change that this view lacks, so this view is at least
    as up to date as the peer's. Unlike ``store_answered``, this ends no
    outage: that the store answered a peer which this daemon does not follow
    does not show that it answers this daemon.
    """
    view.store_answered_at = max(view.store_answered_at, now - age)


def store_failed(view: View, now: float) -> bool:
    """Record that the store is lost; return whether it was not before.

    ``now`` is when the loss began.
    """
    first = view.store_lost_since == math.inf
    view.store_lost_since = min(view.store_lost_since, now)
    return first


def note_store_recovering(view: View, seconds: float, now: float) -> None:
    """Extend the time for which the store counts as recovering."""
    view.recovering_until = max(view.recovering_until, now + seconds)


def note_ahead(view: View, revision: int) -> None:
    """Record that entries may be of any state up to ``revision``."""
    view.ahead_to_revision = max(view.ahead_to_revision, revision)


def replace_all(
    view: View,
    items: abc.Sequence[_types.Change],
    revision: int,
    content_revision: int,
    now: float,
) -> _changes.Updates:
    """Replace the view with a full read of the store as of ``revision``.

    Entries missing from the read have vanished. ``content_revision`` is the
    revision of the last of the changes. A read that is older than the view is
    dropped: it would restore instances that have left.
    """
    if revision < view.revision:
        return []
    listed_ids = {
        item.id for item in items if isinstance(item, _types.Instance)
    }
    ended_ids = view.kept_ids - view.instances.keys()
    vanished = [
        _types.Removed(instance_id)
        for instance_id in (*view.instances, *sorted(ended_ids))
        if instance_id not in listed_ids
    ]
    restored = _queries.is_restored(view, revision)
    reappeared = (
        listed_ids & view.history.removals.keys() if restored else set()
    )
    if view.content_revision < 0 or restored:
        # Earlier removals are unknown, so followers need the whole view. Even
        # an empty read must tell a follower that all instances are gone.
        view.history.complete_from = view.content_revision = content_revision
    if restored:
        note_store_recovering(view, RECOVERY_SECONDS, now)
        view.confirmable_from = now + RESTORE_SETTLE_SECONDS
    updates = apply_changes(
        view, [*vanished, *items], revision, content_revision, now
    )
    if not restored:
        return updates
    _note_kept(view, items, updates)
    return [
        (_types.News.RESTORED, ""),
        *updates,
        *_hold_back_reappeared(view, reappeared, now),
    ]


def _note_kept(
    view: View, items: abc.Sequence[_types.Change], updates: _changes.Updates
) -> None:
    """Record what the view keeps of a later state than a restored store."""
    view.kept_ids = {
        instance_id
        for kind, instance_id in updates
        if kind is _types.News.OUTDATED
    }
    versions = [
        item.version for item in items if isinstance(item, policies.Policy)
    ]
    view.kept_policy = (
        view.table is not None
        and max(versions, default=-1) < view.table.policy.version
    )


def _hold_back_reappeared(
    view: View, instance_ids: abc.Iterable[str], now: float
) -> _changes.Updates:
    """Send no requests to instances that reappeared, for a while.

    They had been removed before the store was restored from an older copy
    that lists them again.
    """
    view.held_back_until |= dict.fromkeys(
        instance_ids, now + HOLD_BACK_SECONDS
    )
    view.target_cache.clear()
    return [(_types.News.HELD_BACK, each) for each in sorted(instance_ids)]


def apply_changes(
    view: View,
    changes: abc.Sequence[_types.Change],
    revision: int,
    content_revision: int,
    now: float,
) -> _changes.Updates:
    """Apply changes of the store up to ``revision``, in their order.

    ``content_revision`` is the revision of the last of the changes. Changes
    without an effect don't advance the view's own: while the 195 VMs of a
    fleet start, each heartbeat rewrites an entry, 130 a second, and each
    would wake all daemons that wait for changes.
    """
    return _apply(view, changes, revision, content_revision, now, False)


def _apply(
    view: View,
    changes: abc.Sequence[_types.Change],
    revision: int,
    content_revision: int,
    now: float,
    pass_all_on: bool,
) -> _changes.Updates:
    """Apply changes as ``apply_changes`` does.

    With ``pass_all_on``, or if the view is ahead of its revision, changes
    without an effect are recorded as well, for the daemons that follow this
    one.
    """
    if revision < view.revision:
        return []
    pass_all_on |= 0 <= view.revision < view.ahead_to_revision
    if view.revision < 0 <= revision:
        view.settled_from = now + RESTORE_SETTLE_SECONDS
    view.revision = revision
    updates: _changes.Updates = []
    for change in _drop_superseded_policies(changes):
        effects = _changes.apply_one(view, change, now)
        if not effects and (pass_all_on or _was_kept(view, change)):
            effects = [(_types.News.WRITTEN_AGAIN, _id_of(change))]
        updates += effects
        if any(kind is not _types.News.OUTDATED for kind, _ in effects):
            _histories.record_change(view.history, change, content_revision)
            _forget_kept(view, change)
    if updates:
        view.content_revision = max(view.content_revision, content_revision)
        view.target_cache.clear()
    return updates


def _was_kept(view: View, change: _types.Change) -> bool:
    """Return whether a change brings back what the view has kept."""
    if isinstance(change, policies.Policy):
        active = None if view.table is None else view.table.policy.version
        return view.kept_policy and change.version == active
    return change.id in view.kept_ids


def _forget_kept(view: View, change: _types.Change) -> None:
    if isinstance(change, policies.Policy):
        view.kept_policy = False
    else:
        view.kept_ids.discard(change.id)


def _id_of(change: _types.Change) -> str:
    return "" if isinstance(change, policies.Policy) else change.id


def _drop_superseded_policies(
    changes: abc.Sequence[_types.Change],
) -> list[_types.Change]:
    """Drop policies that a newer version among the changes replaces.

    None of them would ever become active.
    """
    versions = [
        change.version
        for change in changes
        if isinstance(change, policies.Policy)
    ]
    newest = max(versions, default=0)
    return [
        change
        for change in changes
        if not isinstance(change, policies.Policy) or change.version == newest
    ]


def take_delta(
    view: View, delta: _types.Delta, now: float
) -> _changes.Updates:
    """Apply the changes that a peer sent since this view's content revision.

    A delta that is older than the view is dropped, whoever sent it.
    """
    if delta.revision < view.revision:
        return []
    restored = _queries.is_restored(view, delta.revision)
    if restored and not delta.whole:
        # A partial delta does not list the entries that the older copy lacks.
        return []
    changes: list[_types.Change] = list(delta.instances)
    if delta.policy is not None:
        changes.append(delta.policy)
    changes += [_types.Removed(each) for each in delta.removed]
    changes += [_types.Unusable(each) for each in delta.unusable]
    if delta.whole:
        updates = replace_all(
            view, changes, delta.revision, delta.content, now
        )
    else:
        # What this view has kept over a restore may be new to its followers.
        pass_all_on = delta.content > view.content_revision
        updates = _apply(
            view, changes, delta.revision, delta.content, now, pass_all_on
        )
    if restored:
        # The peer does not tell which of its entries it has kept itself.
        view.kept_ids |= view.instances.keys()
        view.kept_policy = view.table is not None
    view.content_revision = max(view.content_revision, delta.content)
    note_ahead(view, delta.ahead_to)
    return updates


def adopt_snapshot(
    view: View, snapshot: _types.Snapshot, now: float
) -> _changes.Updates:
    """Replace the view with a peer's, if its revision is greater."""
    if snapshot.revision <= view.revision:
        return []
    items: list[_types.Change] = list(snapshot.instances)
    if snapshot.policy is not None:
        items.append(snapshot.policy)
    return replace_all(view, items, snapshot.revision, snapshot.content, now)


def expire(view: View, now: float) -> _changes.Updates:
    """Drop instances that lapsed long ago, and end hold-backs in time.

    A held-back instance gets requests again if its entry is still listed.
    """
    cleared = [
        instance_id
        for instance_id, until in view.held_back_until.items()
        if until <= now
    ]
    for instance_id in cleared:
        del view.held_back_until[instance_id]
    expired = [
        instance_id
        for instance_id, lapsed in view.lapsed.items()
        if now - lapsed.lapsed_at >= LAPSED_SECONDS
    ]
    for instance_id in expired:
        del view.lapsed[instance_id]
    if expired or cleared:
        view.target_cache.clear()
    return [
        *((_types.News.GONE, each) for each in expired),
        *((_types.News.HOLD_BACK_ENDED, each) for each in cleared),
    ]


def note_replaced(view: View, instance_id: str) -> _changes.Updates:
    """Record that another instance answered at an instance's address."""
    if instance_id in view.replaced_ids or instance_id not in view.instances:
        return []
    view.replaced_ids.add(instance_id)
    view.target_cache.clear()
    return [(_types.News.REPLACED, instance_id)]


def note_said_to_leave(view: View, instance_id: str, born: int) -> None:
    """Record that a run of an instance said in an answer that it leaves.

    ``born`` is the start of the run to which the request was sent.
    """
    if view.said_to_leave.get(instance_id, -1) >= born:
        return
    view.said_to_leave.pop(instance_id, None)
    view.said_to_leave[instance_id] = born
    view.target_cache.clear()
    if len(view.said_to_leave) > _changes.STARTS_KEPT:
        del view.said_to_leave[next(iter(view.said_to_leave))]
