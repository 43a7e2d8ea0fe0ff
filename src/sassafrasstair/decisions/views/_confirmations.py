"""Until when the active policy is known to have been the newest one.

A confirmation names a version and an instant: no policy that the store had
acknowledged by then is newer. It holds at whoever has that version or a newer
one, so it is passed on between daemons without the policy itself. A key that
the policy holds was valid at that instant.
"""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from sassafrasstair.decisions.views import _views


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """What a daemon tells of the policy that it confirms.

    ``age`` is how many seconds ago it was the newest, and ``held`` for how
    many the question waited for its answer.
    """

    version: int
    age_seconds: float
    held_seconds: float = 0.0


def active_version(view: _views.View) -> int:
    """Return the version of the active policy, -1 without one."""
    return -1 if view.table is None else view.table.policy.version


def apply_confirmation(
    view: _views.View, version: int, instant: float
) -> bool:
    """Take a confirmation; return whether it holds here.

    ``instant`` is in seconds of the clock, and no later than the truth. A
    store that has just come back older may lack a newer policy.
    """
    if version < 0 or version > active_version(view):
        return False
    if instant < view.confirmable_from:
        return False
    view.confirmed_at = max(view.confirmed_at, instant)
    return True


def receive_confirmation(
    view: _views.View, confirmation: Confirmation, asked_at: float
) -> bool:
    """Take the confirmation of a peer that was asked at an instant.

    The age counts from the answer, which is later than the question by the
    time for which it was held at least.
    """
    instant = asked_at + confirmation.held_seconds - confirmation.age_seconds
    return apply_confirmation(view, confirmation.version, instant)


def own_confirmation(
    view: _views.View, now: float, held: float
) -> Confirmation | None:
    """Return what to tell a peer, None if nothing was confirmed."""
    age = unconfirmed_seconds(view, now)
    if age == float("inf"):
        return None
    return Confirmation(active_version(view), max(0.0, age), held)


def unconfirmed_seconds(view: _views.View, now: float) -> float:
    """Return how long ago the policy was known to be the newest."""
    return now - view.confirmed_at


def note_full_read(view: _views.View, revision: int) -> None:
    """Note a reading of the latest state: it has all policies until then."""
    view.policies_read_until = max(view.policies_read_until, revision)


def note_changes_read(view: _views.View, after: int, revision: int) -> None:
    """Note that a watch brought all changes between two revisions.

    One that brought none says nothing: a watch that stalls looks the same.
    """
    if after <= view.policies_read_until:
        view.policies_read_until = max(view.policies_read_until, revision)


def up_to_date_at(view: _views.View, revision: int) -> bool:
    """Return whether the view has all policies up to a revision."""
    return revision <= view.policies_read_until
