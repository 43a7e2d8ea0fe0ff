"""Instances, changes, and the snapshots and deltas that daemons exchange."""

from __future__ import annotations

import dataclasses
import enum
import math

from sassafrasstair.decisions.policies import _policies


PORT_MAX = 65_535


class InstanceState(enum.Enum):
    """The state that an instance reports of itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One run of an upstream; a restart changes its ``id`` or ``born``.

    ``host`` is the address of its VM, on which its daemon listens too, and
    ``port`` is the upstream's. ``since`` is the store revision at which its
    entry was created. ``slots`` is its declared concurrency, from which its
    limit starts. ``cold_seconds`` is for how much longer it is slow
    after its start. ``born`` is when it started, in Unix milliseconds by the
    clock of its VM, or 0 if unknown.
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

    ``content`` is the revision of the last change that had an effect.
    """

    revision: int
    content: int
    policy: _policies.Policy | None
    instances: tuple[Instance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """The changes of a view after a content revision, as of ``revision``.

    ``content`` is the revision of the last change that had an effect. If
    ``whole``, the delta is the sender's whole view, and instances that it
    lacks are gone. ``removed`` and ``unusable`` are ids of instances.
    """

    revision: int
    content: int
    whole: bool = False
    policy: _policies.Policy | None = None
    instances: tuple[Instance, ...] = ()
    removed: tuple[str, ...] = ()
    unusable: tuple[str, ...] = ()

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
        and instance.slots > 0
        and 0.0 <= instance.cold_seconds < math.inf
        and instance.born >= 0
    )


class News(enum.Enum):
    """The effect of a change on the view."""

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
    HELD_BACK = "instance_doubted"
    HOLD_BACK_ENDED = "instance_trusted"
