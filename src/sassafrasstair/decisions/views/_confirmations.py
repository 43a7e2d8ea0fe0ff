"""Confirmations that the active policy was the newest at some instant.

A confirmation names a version and an instant: no policy that the store had
acknowledged by then is newer. It is valid at every daemon that has that
version or a newer one, so daemons forward it without the policy itself. A key
in the policy was valid at that instant.
"""

from __future__ import annotations

import dataclasses
import typing

from sassafrasstair.decisions.views import _queries

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions.views import _views


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """A daemon's confirmation that a policy version is the newest.

    ``age_seconds`` is how long ago the version was known to be the newest.
    ``held_seconds`` is for how long the daemon held the peer's poll open
    before it answered.
    """

    version: int
    age_seconds: float
    held_seconds: float = 0.0


def active_version(view: _views.View) -> int:
    """Return the version of the active policy, -1 without one."""
    return -1 if view.table is None else view.table.policy.version


def apply_confirmation(
    view: _views.View, version: int, confirmed_at: float
) -> bool:
    """Apply a confirmation; return whether it is valid for this view.

    ``confirmed_at`` is in seconds of this daemon's clock, and not later than
    the time at which the version was the newest. A confirmation from right
    after the store was restored from an older copy is rejected, as the store
    may then lack a newer policy. A daemon that starts knows of a restore only
    by a peer that has a newer policy.
    """
    active = active_version(view)
    if version < 0 or version > active:
        return False
    if confirmed_at < view.confirmable_from:
        return False
    if confirmed_at < view.settled_from and active < view.peer_version:
        return False
    view.confirmed_at = max(view.confirmed_at, confirmed_at)
    return True


def receive_confirmation(
    view: _views.View,
    confirmation: Confirmation,
    asked_at: float,
    peer_revision: int,
) -> bool:
    """Apply the confirmation of a peer that was polled at ``asked_at``.

    The age counts from the peer's answer, which is later than the poll by at
    least the time for which the poll was held open. ``peer_revision`` is a
    revision of the peer's view. If that is of a later era than this view, the
    confirmation may come from an older copy of the store and is rejected.
    """
    view.peer_version = max(view.peer_version, confirmation.version)
    if _queries.is_restored(view, peer_revision):
        return False
    instant = asked_at + confirmation.held_seconds - confirmation.age_seconds
    return apply_confirmation(view, confirmation.version, instant)


def own_confirmation(
    view: _views.View, now: float, held_seconds: float
) -> Confirmation | None:
    """Return the confirmation to send to a peer, None without one.

    ``held_seconds`` is for how long the peer's poll was held open.
    """
    age = unconfirmed_seconds(view, now)
    if age == float("inf"):
        return None
    return Confirmation(active_version(view), max(0.0, age), held_seconds)


def unconfirmed_seconds(view: _views.View, now: float) -> float:
    """Return how long ago the policy was last known to be the newest."""
    return now - view.confirmed_at


def may_lack_changes(view: _views.View) -> bool:
    """Return whether the policy may be that of an older copy of the store.

    A daemon that starts can't tell whether the store was restored just before
    its first read: the policy that it confirms may then be one that had been
    replaced.
    """
    return view.confirmed_at < view.settled_from


def note_full_read(view: _views.View, revision: int) -> None:
    """Record a full read of the latest state, as of ``revision``.

    It has all policies up to that revision.
    """
    view.policies_read_to_revision = max(
        view.policies_read_to_revision, revision
    )


def note_changes_read(view: _views.View, after: int, revision: int) -> None:
    """Record that a watch returned all changes between two revisions.

    These are the changes after the revision ``after``, up to ``revision``.

    Not called for a watch without changes: a stalled watch looks the same.
    """
    if after <= view.policies_read_to_revision:
        view.policies_read_to_revision = max(
            view.policies_read_to_revision, revision
        )


def up_to_date_with(view: _views.View, revision: int) -> bool:
    """Return whether the view has all policies up to that store revision."""
    return revision <= view.policies_read_to_revision
