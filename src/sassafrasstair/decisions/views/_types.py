"""Instances, what changes, and what daemons hand each other."""

from __future__ import annotations

import dataclasses
import enum
import math

from sassafrasstair.decisions.policies import _policies


PORT_MAX = 65_535


class InstanceState(enum.Enum):
    """What an instance says of itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One run of an upstream; a restart has another ``id`` or ``born``.

    ``host`` is the address of its VM, where its daemon listens too, and
    ``port`` its own. ``since`` is the store's revision at which its entry
    came. ``cold_seconds`` is for how long it stays slow after its start.
    ``born`` is when it started, in Unix milliseconds by the clock of its VM;
    0 if that was not told.
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
    """The entry of an instance is gone."""

    id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unusable:
    """The entry of an instance can't be read any more: it names none."""

    id: str


Change = _policies.Policy | Instance | Removed | Unusable


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All that one daemon knows, as of ``revision`` of the store."""

    revision: int
    content: int
    policy: _policies.Policy | None
    instances: tuple[Instance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """What became known after a ``content``, as of ``revision``.

    ``whole`` when it is all that the sender knows: what it lacks is gone.
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
        """Whether it changes nothing but how far the view goes."""
        listed = self.instances or self.removed or self.unusable
        return not (self.whole or self.policy or listed)


def without_unusable(snapshot: Snapshot) -> Snapshot:
    """Return the snapshot without instances that can't be asked."""
    usable = tuple(each for each in snapshot.instances if _is_usable(each))
    return dataclasses.replace(snapshot, instances=usable)


def usable_delta(delta: Delta) -> Delta:
    """Return the delta with instances that can't be asked told as such."""
    usable = tuple(each for each in delta.instances if _is_usable(each))
    wrong = tuple(each.id for each in delta.instances if not _is_usable(each))
    return dataclasses.replace(
        delta, instances=usable, unusable=delta.unusable + wrong
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
    """What a change made different here."""

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
    DOUBTED = "instance_doubted"
    TRUSTED = "instance_trusted"
