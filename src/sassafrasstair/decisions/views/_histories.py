"""The content revision at which each entry last changed or was removed.

A daemon sends a peer what changed after the peer's own content revision. It
keeps no state per peer: changes of one entry coalesce into its last state,
and a peer that is further behind than the history gets the whole view.
"""

from __future__ import annotations

import dataclasses

from sassafrasstair.decisions.policies import _policies
from sassafrasstair.decisions.views import _types

REMOVALS_KEPT = 1_000
"""Removed ids that are kept. Even if all 1,300 instances are replaced within
ten minutes, a peer that is a minute behind needs no whole view."""


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """The removal of an instance at a content revision.

    ``unusable`` is whether its entry became unreadable instead of vanishing.
    """

    content_revision: int
    unusable: bool


@dataclasses.dataclass(slots=True)
class History:
    """The content revisions of the last changes.

    All changes after the revision ``complete_from`` are kept. The policy last
    changed at the revision ``policy_changed_at``. By instance id,
    ``changed_at`` has the revision at which a known instance last changed,
    and ``removals`` has the removal of one that is no longer known.
    """

    complete_from: int = -1
    policy_changed_at: int = -1
    changed_at: dict[str, int] = dataclasses.field(default_factory=dict)
    removals: dict[str, Removal] = dataclasses.field(default_factory=dict)


def record_change(
    history: History, change: _types.Change, content_revision: int
) -> None:
    """Record a change that had an effect, at that content revision."""
    if isinstance(change, _policies.Policy):
        history.policy_changed_at = content_revision
    elif isinstance(change, _types.Instance):
        history.changed_at[change.id] = content_revision
        history.removals.pop(change.id, None)
    else:
        _record_removal(history, change, content_revision)


def removed_ids(
    history: History, after: int, unusable: bool
) -> tuple[str, ...]:
    """Return the ids that were removed after the revision ``after``.

    With ``unusable``, return those whose entry became unreadable instead of
    those whose entry vanished.
    """
    return tuple(
        instance_id
        for instance_id, removal in history.removals.items()
        if removal.content_revision > after and removal.unusable is unusable
    )


def _record_removal(
    history: History,
    change: _types.Removed | _types.Unusable,
    content_revision: int,
) -> None:
    history.changed_at.pop(change.id, None)
    history.removals.pop(change.id, None)
    unusable = isinstance(change, _types.Unusable)
    history.removals[change.id] = Removal(content_revision, unusable)
    if len(history.removals) > REMOVALS_KEPT:
        oldest = next(iter(history.removals))
        history.complete_from = max(
            history.complete_from,
            history.removals.pop(oldest).content_revision,
        )
