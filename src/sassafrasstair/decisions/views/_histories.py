"""At which content each thing last changed, and what is gone.

A daemon tells a peer what changed after the peer's own content. It keeps
nothing for a peer: changes of one entry coalesce into its last state, and a
peer that is further behind than what is kept gets the whole view.
"""

from __future__ import annotations

import dataclasses

from sassafrasstair.decisions.policies import _policies
from sassafrasstair.decisions.views import _types

REMOVALS_KEPT = 1_000
"""Ids that are gone and still told: all 1,300 instances would be replaced
in ten minutes before a peer that is a minute behind reads the whole view."""


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """An instance that is gone since ``content``, or became unreadable."""

    content: int
    unusable: bool


@dataclasses.dataclass(slots=True)
class History:
    """``floor`` is the content from which on all changes are kept.

    ``changed`` is by the instance's id; ``policy`` is that of the policy.
    """

    complete_from: int = -1
    policy_content: int = -1
    changed_at: dict[str, int] = dataclasses.field(default_factory=dict)
    removals: dict[str, Removal] = dataclasses.field(default_factory=dict)


def record_change(
    history: History, change: _types.Change, content: int
) -> None:
    """Note that a change made a difference at ``content``."""
    if isinstance(change, _policies.Policy):
        history.policy_content = content
    elif isinstance(change, _types.Instance):
        history.changed_at[change.id] = content
        history.removals.pop(change.id, None)
    else:
        _record_removal(history, change, content)


def removed_ids(
    history: History, after: int, unusable: bool
) -> tuple[str, ...]:
    """Return the ids that are gone, or unreadable, since ``after``."""
    return tuple(
        key
        for key, each in history.removals.items()
        if each.content > after and each.unusable is unusable
    )


def _record_removal(
    history: History,
    change: _types.Removed | _types.Unusable,
    content: int,
) -> None:
    history.changed_at.pop(change.id, None)
    history.removals.pop(change.id, None)
    unusable = isinstance(change, _types.Unusable)
    history.removals[change.id] = Removal(content, unusable)
    if len(history.removals) > REMOVALS_KEPT:
        oldest = next(iter(history.removals))
        history.complete_from = max(
            history.complete_from, history.removals.pop(oldest).content
        )
