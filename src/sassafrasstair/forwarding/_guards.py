"""The guards of the instances that ran on this VM, one for each run."""

from __future__ import annotations

import math
import typing

from sassafrasstair.decisions import load
from sassafrasstair.decisions import views

if typing.TYPE_CHECKING:
    from sassafrasstair.forwarding import _state

UNKNOWN_SLOTS = 16
"""Slots of an instance whose entry this daemon has not read yet."""
SPARE_SLOTS_RATIO = 0.06
"""The part of an instance's slots that is left free: some slow down when
they are nearly full, by more than the last slots are worth."""
SPARE_SLOTS_MIN = 16
"""With fewer slots than this one left free would be too many."""
GUARDS_MAX = 4
"""Guards of instances that ran on this VM one after the other."""
START_MARGIN_SECONDS = 0.1
"""By so much earlier than the instance's start a request must have been
handed over to be counted as lost with the run before: the time of day is
read at another moment than it was written."""

GuardKey = tuple[str, int]
"""An instance's id and when its run started, 0 where that is not known."""


def get_guard(daemon: _state.Daemon, instance: str, now: float) -> load.Guard:
    """Return the guard of the instance's latest run."""
    key = instance, views.born_at(daemon.view, instance)
    guard = daemon.guards.get(key)
    if guard is None:
        # Until its start is told a run is known by its id alone.
        guard = daemon.guards.pop((instance, 0), None)
        if guard is None:
            slots = _usable_slots(views.instance_by_id(daemon.view, instance))
            guard = load.new_guard(slots, now, patient=True)
        daemon.guards[key] = guard
        _drop_oldest(daemon)
    return guard


def resize(daemon: _state.Daemon, instance: str, guard: load.Guard) -> None:
    """Let the guard have the slots that the instance's entry tells."""
    known = views.instance_by_id(daemon.view, instance)
    slots = _usable_slots(known)
    if known is not None and slots != guard.limit_state.slots:
        load.resize(guard, slots)


def has_ended(daemon: _state.Daemon, key: GuardKey) -> bool:
    """Return whether the run is over: the instance has started again."""
    instance, born = key
    return 0 < born < views.born_at(daemon.view, instance)


def started_at(daemon: _state.Daemon, instance: str, now: float) -> float:
    """Return when the latest run started, on the clock of ``now``.

    Minus infinity where the time of day can't tell: it has been set back
    since, or the start is not known.
    """
    born = views.born_at(daemon.view, instance)
    age = daemon.clock.wall().timestamp() - born / 1000
    if not born or age < 0.0:
        return -math.inf
    return now - age - START_MARGIN_SECONDS


def _drop_oldest(daemon: _state.Daemon) -> None:
    if len(daemon.guards) <= GUARDS_MAX:
        return
    oldest = next(iter(daemon.guards))
    if not daemon.guards[oldest].running_work:
        del daemon.guards[oldest]


def _usable_slots(instance: views.Instance | None) -> int:
    slots = UNKNOWN_SLOTS if instance is None else instance.slots
    if slots < SPARE_SLOTS_MIN:
        return slots
    return slots - math.ceil(SPARE_SLOTS_RATIO * slots)
