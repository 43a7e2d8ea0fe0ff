"""The view of policy and instances, kept from the store or from peers.

The store's revision orders all that is known: whoever has the greater
revision knows more, whether it read the store itself or asked a peer. Each
revision holds the era of the store in which it was given out.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from sassafrasstair.decisions import calls
from sassafrasstair.decisions import policies
from sassafrasstair.decisions.views import _histories
from sassafrasstair.decisions.views import _queries
from sassafrasstair.decisions.views import _types

if typing.TYPE_CHECKING:
    from collections import abc

LAPSED_SECONDS = 1.5
"""For how long an instance whose entry vanished is still used: entries that
lapse while the store is away are back within two seconds, and an instance
that leaves without a word serves on for at least as long."""
UNSTEADY_SECONDS = 2.0
"""For how long after the store was away, or came back older, a vanished
entry may have lapsed or been lost rather than removed."""

RESTORE_SETTLE_SECONDS = 2.0
"""For how long after the store came back older a change that it had
acknowledged may still be missing there."""
DOUBTED_SECONDS = 10.0
"""For how long an instance that was gone gets no work when an older copy of
the store lists it again. By then an entry that nobody renews has run out."""
BORN_KEPT = 4_000
"""Ids whose latest start is remembered, those that ended included: an entry
that comes back must not be that of an earlier run. 1,300 instances that are
replaced three times."""

Updates = list[tuple[_types.News, str]]
"""What became different: the news, and an instance's id or ''."""


@dataclasses.dataclass(slots=True)
class Lapsed:
    """An instance whose entry vanished at ``since``.

    ``trusted`` when the store had been away, so that the entry may just
    have run out; else it is used only if its service has no other.
    """

    instance: _types.Instance
    lapsed_at: float
    trusted: bool


@dataclasses.dataclass(slots=True)
class View:
    """What is known. ``revision`` is the store's, see ``_revisions``.

    ``content`` is the revision of the last change that made a difference:
    the store's own counter also moves with changes that do not concern us,
    and is no measure of which of two daemons knows more.

    ``answered`` is when the store last answered this daemon, ``failing``
    since when it has not; both are seconds of the clock.

    ``replaced`` are the ids of instances at whose address another one
    answered: their entries are out of date until they change.

    ``doubted`` are instances that were gone and are listed by an older copy
    of the store, with the instant until which they get no work unless their
    entry changes.

    ``latest`` are the latest starts by id, the last seen at the end.

    ``confirmed`` is the latest instant at which the active policy is known
    to have been the newest. All policies up to the revision ``vouched`` have
    been read, at the latest state of the store. Nothing is confirmed for
    instants before ``settled_from``: the store had come back older.

    ``history`` says at which content each thing last changed, so that a
    peer is told only what it lacks.
    """

    revision: int = -1
    content: int = -1
    table: policies.Table | None = None
    instances: dict[str, _types.Instance] = dataclasses.field(
        default_factory=dict
    )
    lapsed: dict[str, Lapsed] = dataclasses.field(default_factory=dict)
    replaced_ids: set[str] = dataclasses.field(default_factory=set)
    doubted_until: dict[str, float] = dataclasses.field(default_factory=dict)
    latest_starts: dict[str, int] = dataclasses.field(default_factory=dict)
    history: _histories.History = dataclasses.field(
        default_factory=_histories.History
    )
    store_answered_at: float = -math.inf
    store_lost_since: float = math.inf
    unsteady_until: float = -math.inf
    confirmed_at: float = -math.inf
    confirmable_from: float = -math.inf
    policies_read_until: int = -1
    target_cache: dict[str, tuple[calls.Target, ...]] = dataclasses.field(
        default_factory=dict
    )


def new_view() -> View:
    """Return a view that knows nothing."""
    return View()


def store_answered(view: View, now: float, age: float = 0.0) -> bool:
    """Note an answer of the store; True when it had been away.

    ``age`` is how long ago it was given, to another daemon. One that was
    given before the loss says nothing of a return.
    """
    view.store_answered_at = max(view.store_answered_at, now - age)
    if view.store_lost_since == math.inf or now - age <= view.store_lost_since:
        return False
    view.unsteady_until = now + UNSTEADY_SECONDS
    view.store_lost_since = math.inf
    return True


def note_peer_age(view: View, age: float, now: float) -> None:
    """Take from a peer that knows no more how old its view is at most.

    What the store says by another way changes nothing of whether it answers
    this daemon.
    """
    view.store_answered_at = max(view.store_answered_at, now - age)


def store_failed(view: View, now: float) -> bool:
    """Note a failed call to the store; True when it is the first."""
    first = view.store_lost_since == math.inf
    view.store_lost_since = min(view.store_lost_since, now)
    return first


def note_unsteady(view: View, seconds: float, now: float) -> None:
    """Take from a peer for how long a vanished entry may have lapsed."""
    view.unsteady_until = max(view.unsteady_until, now + seconds)


def replace_all(
    view: View,
    known: abc.Sequence[_types.Change],
    revision: int,
    content: int,
    now: float,
) -> Updates:
    """Take a whole reading of the store as of ``revision``.

    Entries that the reading lacks have vanished. A reading that is older
    than what is known is dropped: it would bring back what has left.
    """
    if revision < view.revision:
        return []
    found = {item.id for item in known if isinstance(item, _types.Instance)}
    vanished = [
        _types.Removed(key) for key in view.instances if key not in found
    ]
    restored = _queries.is_restored(view, revision)
    back = found & view.history.removals.keys() if restored else set()
    if view.content < 0 or restored:
        # What was removed before is not known: it can't be told on. Even a
        # reading that holds nothing tells a follower that all has gone.
        view.history.complete_from = view.content = content
    if restored:
        note_unsteady(view, UNSTEADY_SECONDS, now)
        view.confirmable_from = now + RESTORE_SETTLE_SECONDS
    updates = apply_changes(view, [*vanished, *known], revision, content, now)
    if not restored:
        return updates
    return [(_types.News.RESTORED, ""), *updates, *_doubt(view, back, now)]


def _doubt(view: View, keys: abc.Iterable[str], now: float) -> Updates:
    """Give instances no work that were gone before the store was restored."""
    view.doubted_until |= dict.fromkeys(keys, now + DOUBTED_SECONDS)
    view.target_cache.clear()
    return [(_types.News.DOUBTED, key) for key in sorted(keys)]


def apply_changes(
    view: View,
    changes: abc.Sequence[_types.Change],
    revision: int,
    content: int,
    now: float,
) -> Updates:
    """Take changes of the store up to ``revision``, in their order.

    ``content`` is the revision of the last of the changes. Changes that
    make no difference don't move the view's: at the start of 195 VMs each
    entry is written anew with each heartbeat, 130 a second, and each would
    wake all daemons that wait for news.
    """
    if revision < view.revision:
        return []
    view.revision = revision
    updates: Updates = []
    for change in _without_replaced(changes):
        news = _apply_one(view, change, now)
        updates += news
        if any(kind is not _types.News.OUTDATED for kind, _ in news):
            _histories.record_change(view.history, change, content)
    if updates:
        view.content = max(view.content, content)
        view.target_cache.clear()
    return updates


def _without_replaced(
    changes: abc.Sequence[_types.Change],
) -> list[_types.Change]:
    """Leave out policies that a later one of the same answer replaces.

    None of them is ever active here.
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


def take_delta(view: View, delta: _types.Delta, now: float) -> Updates:
    """Take what a peer told after this view's content.

    One that is older than what is known is dropped, whoever tells it.
    """
    if delta.revision < view.revision:
        return []
    if not delta.whole and _queries.is_restored(view, delta.revision):
        # It leaves out what the copy that the store came back from lacks.
        return []
    changes: list[_types.Change] = list(delta.instances)
    if delta.policy is not None:
        changes.append(delta.policy)
    changes += [_types.Removed(key) for key in delta.removed]
    changes += [_types.Unusable(key) for key in delta.unusable]
    step = replace_all if delta.whole else apply_changes
    updates = step(view, changes, delta.revision, delta.content, now)
    view.content = max(view.content, delta.content)
    return updates


def _apply_one(view: View, change: _types.Change, now: float) -> Updates:
    if isinstance(change, policies.Policy):
        return _set_policy(view, change)
    if isinstance(change, _types.Removed):
        return _remove(view, change.id, now)
    if isinstance(change, _types.Unusable):
        return _withdraw(view, change.id)
    return _set_instance(view, change)


def adopt_snapshot(
    view: View, snapshot: _types.Snapshot, now: float
) -> Updates:
    """Take what a peer knows, if its revision is greater."""
    if snapshot.revision <= view.revision:
        return []
    known: list[_types.Change] = list(snapshot.instances)
    if snapshot.policy is not None:
        known.append(snapshot.policy)
    return replace_all(view, known, snapshot.revision, snapshot.content, now)


def expire(view: View, now: float) -> Updates:
    """Give up on vanished entries, and trust those that stayed."""
    stayed = [key for key, until in view.doubted_until.items() if until <= now]
    for key in stayed:
        del view.doubted_until[key]
    over = [
        key
        for key, lapsed in view.lapsed.items()
        if now - lapsed.lapsed_at >= LAPSED_SECONDS
    ]
    for key in over:
        del view.lapsed[key]
    if over or stayed:
        view.target_cache.clear()
    return [
        *((_types.News.GONE, key) for key in over),
        *((_types.News.TRUSTED, key) for key in stayed),
    ]


def note_replaced(view: View, key: str) -> Updates:
    """Note that another instance answered at the address of this one."""
    if key in view.replaced_ids or key not in view.instances:
        return []
    view.replaced_ids.add(key)
    view.target_cache.clear()
    return [(_types.News.REPLACED, key)]


def _set_policy(view: View, policy: policies.Policy) -> Updates:
    """Put the policy in force unless a later one is: none reverts."""
    if view.table is not None and policy.version <= view.table.policy.version:
        return []
    view.table = policies.new_table(policy)
    return [(_types.News.POLICY, "")]


def _set_instance(view: View, instance: _types.Instance) -> Updates:
    """Take an entry, unless a later run under the same id is known.

    A late heartbeat, or a peer that is behind, would bring back the state,
    slots and address of a run that has ended.
    """
    latest = view.latest_starts.get(instance.id, 0)
    if instance.born and instance.born < latest:
        return [(_types.News.OUTDATED, instance.id)]
    if not instance.born and latest:
        # Told by a daemon of the version before: it may be either run.
        instance = dataclasses.replace(instance, born=latest)
    before = view.instances.get(instance.id)
    if _has_left(before, instance):
        return [(_types.News.OUTDATED, instance.id)]
    if before != instance:
        view.doubted_until.pop(instance.id, None)
    runs = before != instance and instance.id in view.replaced_ids
    if runs:
        # Only an instance that runs changes its entry.
        view.replaced_ids.discard(instance.id)
    view.lapsed.pop(instance.id, None)
    view.instances[instance.id] = instance
    _note_born(view, instance)
    if latest and instance.born > latest:
        news = _types.News.RESTARTED
    elif before is None:
        news = _types.News.ADDED
    elif _is_same(before, instance) and not runs:
        return []
    elif instance.state is not before.state:
        news = _types.News.LEAVING
    else:
        news = _types.News.CHANGED
    return [(news, instance.id)]


def _has_left(
    before: _types.Instance | None, instance: _types.Instance
) -> bool:
    """Return whether the run that an entry calls ready is to stop.

    A run that leaves does not come back; an older copy of the store lists it
    as it was.
    """
    return (
        before is not None
        and before.state is _types.InstanceState.LEAVING
        and instance.state is _types.InstanceState.READY
        and instance.born == before.born
    )


def _is_same(before: _types.Instance, instance: _types.Instance) -> bool:
    """Return whether an entry says the same of where work may go.

    For how long an instance stays cold counts down with each heartbeat.
    """
    return before == dataclasses.replace(
        instance, cold_seconds=before.cold_seconds
    )


def _note_born(view: View, instance: _types.Instance) -> None:
    if not instance.born:
        return
    view.latest_starts.pop(instance.id, None)
    view.latest_starts[instance.id] = instance.born
    if len(view.latest_starts) > BORN_KEPT:
        del view.latest_starts[next(iter(view.latest_starts))]


def _withdraw(view: View, key: str) -> Updates:
    """Use an instance no longer whose entry has become unreadable."""
    known = view.instances.pop(key, None)
    lapsed = view.lapsed.pop(key, None)
    if known is None and lapsed is None:
        return []
    view.replaced_ids.discard(key)
    view.doubted_until.pop(key, None)
    return [(_types.News.UNUSABLE, key)]


def _remove(view: View, key: str, now: float) -> Updates:
    instance = view.instances.pop(key, None)
    if instance is None:
        return []
    view.target_cache.clear()
    view.replaced_ids.discard(key)
    view.doubted_until.pop(key, None)
    if instance.state is not _types.InstanceState.READY:
        return [(_types.News.GONE, key)]
    trusted = now < view.unsteady_until
    view.lapsed[key] = Lapsed(instance, now, trusted)
    return [(_types.News.LAPSED, key)]
