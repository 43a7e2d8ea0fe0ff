"""Load guards of the instances on this VM.

A restarted instance gets a new guard, so a guard is identified by the id and
the start of its instance.
"""

from __future__ import annotations

import math
import typing

from sassafrasstair.decisions import load
from sassafrasstair.decisions import views

if typing.TYPE_CHECKING:
    from sassafrasstair.forwarding import _state

UNKNOWN_SLOTS = 16
"""Slots assumed for an instance whose entry has not been read yet."""
SPARE_SLOTS_RATIO = 0.06
"""The fraction of an instance's slots that is left free. Some instances slow
down so much when nearly full that using the last slots lowers throughput."""
SPARE_SLOTS_MIN = 12
"""Instances with fewer slots use all: one spare slot would be a tenth of them
or more, which is about what slowing down near the last slot costs."""
GUARDS_MAX = 4
"""Maximum guards kept, for instances that ran on this VM in succession."""
START_MARGIN_SECONDS = 0.1
"""A request counts as lost in a restart only if it was sent this much before
the instance's start. The start is a wall-clock time that was written at one
moment and is converted at another."""

GuardKey = tuple[str, int]
"""An instance's id and its start in milliseconds, 0 if unknown."""


def get_guard(daemon: _state.Daemon, instance: str, now: float) -> load.Guard:
    """Return the guard of the instance since its latest start."""
    key = instance, views.born_at(daemon.view, instance)
    guard = daemon.guards.get(key)
    if guard is None:
        # A guard created before the start was known is keyed by 0.
        guard = daemon.guards.pop((instance, 0), None)
        if guard is None:
            slots = _usable_slots(views.instance_by_id(daemon.view, instance))
            guard = load.new_guard(slots, now, patient=True)
        daemon.guards[key] = guard
        _drop_oldest(daemon)
    return guard


def resize(daemon: _state.Daemon, instance: str, guard: load.Guard) -> None:
    """Resize the guard to the slots in the instance's entry."""
    entry = views.instance_by_id(daemon.view, instance)
    slots = _usable_slots(entry)
    if entry is not None and slots != guard.limit_state.slots:
        load.resize(guard, slots)


def leaving_seconds(daemon: _state.Daemon, instance: str, now: float) -> float:
    """Return for how long the instance is known to leave, or to be gone.

    What was sent while its entry may merely have expired may still wait.
    """
    entry = daemon.view.instances.get(instance)
    lapsed = daemon.view.lapsed.get(instance)
    if entry is None and lapsed is not None:
        daemon.leaving_since.setdefault(instance, lapsed.lapsed_at)
    elif entry is not None and entry.state is views.InstanceState.LEAVING:
        daemon.leaving_since.setdefault(instance, now)
    elif entry is not None:
        daemon.leaving_since.pop(instance, None)
    return now - daemon.leaving_since.get(instance, now)


def has_left(daemon: _state.Daemon, instance: str, now: float) -> bool:
    """Return whether the instance left so long ago that it gets nothing."""
    seconds = leaving_seconds(daemon, instance, now)
    return seconds >= daemon.settings.bounds.drain_seconds


def has_ended(daemon: _state.Daemon, key: GuardKey) -> bool:
    """Return whether the instance has restarted since the key's start."""
    instance, born = key
    return 0 < born < views.born_at(daemon.view, instance)


def started_at(daemon: _state.Daemon, instance: str, now: float) -> float:
    """Return when the instance last started, on the clock of ``now``.

    Minus infinity if the start is unknown, or lies in the future because the
    wall clock has been set back since.
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
        daemon.leaving_since.pop(oldest[0], None)


def _usable_slots(instance: views.Instance | None) -> int:
    slots = UNKNOWN_SLOTS if instance is None else instance.slots
    if slots < SPARE_SLOTS_MIN:
        return slots
    return slots - math.ceil(SPARE_SLOTS_RATIO * slots)
