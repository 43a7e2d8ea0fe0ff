"""Instances, changes, and the snapshots and deltas that daemons exchange.

The store has one entry per instance. A view treats an instance as follows:

- known: its entry is in ``View.instances``. It gets requests if it is ready.
- leaving: it announced that it is about to stop, and gets no new requests.
- lapsed: its entry vanished while it was ready (``View.lapsed``). Either it
  was removed, or its entry merely expired while the store was unreachable. In
  the second case, or if both are possible, it is used like a ready instance;
  otherwise only if its service has no ready one.
- gone: its entry vanished while it was leaving, or has been lapsed for
  ``LAPSED_SECONDS``. It is dropped from the view.
- unusable: its entry became unreadable. It is dropped at once.
- replaced: another instance answered at its address, so it has ended. It gets
  no requests unless its entry changes (``View.replaced_ids``).
- restarted: its entry names a later start, so it is another run.
- said to leave: it said in an answer that it is about to stop, whatever its
  entry says. It gets no requests until it restarts (``View.said_to_leave``).
- held back: it was removed, and a store restored from an older copy lists it
  again. It gets no requests for a while (``View.held_back_until``).

An outdated entry is one of an earlier run or state; it is ignored. The store
is recovering for a short time after an outage or a restore
(``View.recovering_until``): until instances have rewritten their entries, one
that is missing may have expired or been lost.
"""

from __future__ import annotations

import dataclasses
import enum

from sassafrasstair.decisions.policies import _policies


PORT_MAX = 65_535
SLOTS_MAX = 1_000_000
"""More concurrent requests than any instance handles; more is invalid."""
COLD_SECONDS_MAX = 86_400.0
"""A warm-up longer than a day is invalid."""
BORN_MS_MAX = 253_402_300_799_999
"""The last millisecond of the year 9999; a later start is invalid."""


class InstanceState(enum.Enum):
    """The state that an instance reports of itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One run of an upstream; a restart changes its ``id`` or ``born``.

    ``host`` is the address of its VM, on which its daemon listens too, and
    ``port`` is the upstream's. ``since`` is the store revision at which its
    entry was created. ``slots`` is the number of requests that it declares to
    run at a time, from which its concurrency limit starts. ``cold_seconds``
    is for how many seconds it will still be slow because it has just started;
    it counts down with each heartbeat. ``born`` is when it started, in Unix
    milliseconds by the clock of its VM, or 0 if unknown.
    """

    id: str
    service: str
    host: str
    port: int
    since: int
    failure_domain: str
    region: str
    slots: int
    state: InstanceState
    cold_seconds: float
    born: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Removed:
    """The entry of an instance was removed."""

    id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unusable:
    """The entry of an instance became unreadable."""

    id: str


Change = _policies.Policy | Instance | Removed | Unusable


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The whole view of a daemon, as of the store's ``revision``.

    ``content`` is the content revision: that of the last change that had an
    effect on the view.
    """

    revision: int
    content: int
    policy: _policies.Policy | None
    instances: tuple[Instance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """The changes of a view after a content revision, as of ``revision``.

    ``content`` is the content revision of the sender's view: the revision of
    the last change that had an effect on it. If ``whole``, the delta is the
    sender's whole view, and entries that it lacks have vanished. ``removed``
    and ``unusable`` are ids of instances. If entries may be of a later state
    than ``revision``, ``ahead_to`` is the latest revision of that state.
    """

    revision: int
    content: int
    whole: bool = False
    policy: _policies.Policy | None = None
    instances: tuple[Instance, ...] = ()
    removed: tuple[str, ...] = ()
    unusable: tuple[str, ...] = ()
    ahead_to: int = -1

    @property
    def empty(self) -> bool:
        """Whether the delta changes nothing but the view's revision."""
        listed = self.instances or self.removed or self.unusable
        return not (self.whole or self.policy or listed)


def without_unusable(snapshot: Snapshot) -> Snapshot:
    """Return the snapshot without instances whose entry is invalid."""
    usable = tuple(each for each in snapshot.instances if _is_usable(each))
    return dataclasses.replace(snapshot, instances=usable)


def usable_delta(delta: Delta) -> Delta:
    """Return the delta with invalid instances listed as unusable."""
    usable = tuple(each for each in delta.instances if _is_usable(each))
    invalid_ids = tuple(
        each.id for each in delta.instances if not _is_usable(each)
    )
    return dataclasses.replace(
        delta, instances=usable, unusable=delta.unusable + invalid_ids
    )


def _is_usable(instance: Instance) -> bool:
    return (
        bool(instance.id and instance.service and instance.host)
        and f"{instance.id}{instance.service}{instance.host}".isascii()
        and 0 < instance.port <= PORT_MAX
        and 0 < instance.slots <= SLOTS_MAX
        and 0.0 <= instance.cold_seconds <= COLD_SECONDS_MAX
        and 0 <= instance.born <= BORN_MS_MAX
    )


class News(enum.Enum):
    """The effect of a change on the view; the module defines the states."""

    POLICY = "policy"
    ADDED = "instance_added"
    LEAVING = "instance_leaving"
    CHANGED = "instance_changed"
    LAPSED = "instance_lapsed"
    GONE = "instance_gone"
    REPLACED = "instance_replaced"
    RESTARTED = "instance_restarted"
    OUTDATED = "instance_outdated"
    UNUSABLE = "instance_unusable"
    RESTORED = "store_restored"
    WRITTEN_AGAIN = "written_again"
    """A change that only the daemons that follow this one may lack."""
    HELD_BACK = "instance_doubted"
    """The instance is held back."""
    HOLD_BACK_ENDED = "instance_trusted"
    """The instance gets requests again, as its entry has stayed."""
