"""Instances, what changes, and what daemons hand each other."""

from __future__ import annotations

import dataclasses
import enum

from sassafrasstair.decisions.policies import _policies


class InstanceState(enum.Enum):
    """What an instance says of itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One run of an upstream; a restart has another ``id``.

    ``host`` is the address of its VM, where its daemon listens too, and
    ``port`` its own. ``since`` is the store's revision at which its entry
    came. ``cold_seconds`` is for how long it stays slow after its start.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Removed:
    """The entry of an instance is gone."""

    id: str


Change = _policies.Policy | Instance | Removed


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All that one daemon knows, as of ``revision`` of the store."""

    revision: int
    content: int
    policy: _policies.Policy | None
    instances: tuple[Instance, ...]


class News(enum.Enum):
    """What a change made different here."""

    POLICY = "policy"
    ADDED = "instance_added"
    LEAVING = "instance_leaving"
    CHANGED = "instance_changed"
    LAPSED = "instance_lapsed"
    GONE = "instance_gone"
    REPLACED = "instance_replaced"
