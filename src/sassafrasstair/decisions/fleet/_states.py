"""State of one daemon's view of the fleet."""

from __future__ import annotations

import dataclasses
import typing

from sassafrasstair.decisions.fleet import _messages

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair import bundles
    from sassafrasstair.decisions import calls
    from sassafrasstair.decisions.fleet import _effects

BUCKETS = 32


@dataclasses.dataclass(slots=True)
class Member:
    """One VM as this daemon sees it.

    ``failures`` counts failed contacts of this daemon since the last good
    one; ``barred`` says that they were enough to send it no work;
    ``hold_until`` keeps it barred for a while after it is back.
    """

    record: _messages.Record
    incarnation: str = ""
    revision: int = 0
    life: int = _messages.SERVING
    leaving: bool = False
    blind: bool = False
    changed: float = 0.0
    heard: float = -1e9
    failures: int = 0
    barred: bool = False
    flaps: int = 0
    hold_until: float = -1e9
    next_probe: float = 0.0


@dataclasses.dataclass(slots=True)
class Check:
    """One VM being tested: by this daemon and by helpers."""

    started: float
    whole: bool
    direct: bool | None = None
    asked: int = 0
    results: dict[str, bool] = dataclasses.field(default_factory=dict)
    reply_to: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Reach:
    """Whether another failure domain can be reached from here."""

    failed: dict[str, float] = dataclasses.field(default_factory=dict)
    success: float = -1e9
    cut: bool = False
    changed: float = -1e9
    next_probe: float = 0.0
    checked: float = -1e9


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """One verified bundle.

    ``body`` is its envelope compressed for the wire, ``seal`` the digest
    of the envelope.
    """

    bundle_id: _messages.BundleId
    bundle: bundles.Bundle
    body: bytes
    seal: bytes


@dataclasses.dataclass(slots=True)
class Fetch:
    """A bundle being fetched, and who else could give it."""

    address: str
    deadline: float
    others: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Node:
    """All that one daemon knows of the fleet; lost with its process."""

    me: _messages.Record
    incarnation: str
    seeds: tuple[str, ...]
    verify: abc.Callable[[bytes], bundles.Approved]
    started: float
    # Membership.
    revision: int = 0
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    by_address: dict[str, str] = dataclasses.field(default_factory=dict)
    edition: int = 0
    roster: int = 0
    checksums: list[int] = dataclasses.field(
        default_factory=lambda: [0] * BUCKETS
    )
    hot: dict[str, int] = dataclasses.field(default_factory=dict)
    urgent: bool = False
    tokens: float = 0.0
    index: int = 0
    listed: dict[str, str] = dataclasses.field(default_factory=dict)
    older_index: int = 0
    older_listed: dict[str, str] = dataclasses.field(default_factory=dict)
    checks: dict[str, Check] = dataclasses.field(default_factory=dict)
    barred: set[str] = dataclasses.field(default_factory=set)
    unwell: set[str] = dataclasses.field(default_factory=set)
    unlisted: set[str] = dataclasses.field(default_factory=set)
    holding: set[str] = dataclasses.field(default_factory=set)
    missed_calls: set[str] = dataclasses.field(default_factory=set)
    reach: dict[str, Reach] = dataclasses.field(default_factory=dict)
    next_sync: float = -1e9
    syncing: bool = False
    # Caches, valid for one edition of who is usable, or for one roster
    # of who is a member and may watch.
    partners_roster: int = -1
    partners: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())
    watchers_roster: int = -1
    targets_edition: int = -1
    targets: dict[tuple[str, int], tuple[calls.Target, ...]] = (
        dataclasses.field(default_factory=dict)
    )
    # Bundles.
    held: dict[_messages.BundleId, Held] = dataclasses.field(
        default_factory=dict
    )
    in_force: Held | None = None
    settled: bool = False
    answered: dict[str, bool] = dataclasses.field(default_factory=dict)
    fetches: dict[_messages.BundleId, Fetch] = dataclasses.field(
        default_factory=dict
    )
    refused: dict[str, str] = dataclasses.field(default_factory=dict)
    conflicts: dict[int, str] = dataclasses.field(default_factory=dict)
    shunned: dict[_messages.BundleId, float] = dataclasses.field(
        default_factory=dict
    )
    offer: bool = False
    # Platform.
    watching: bool = False
    reading: bool = False
    read_at: float = 0.0
    platform_failures: int = 0
    # Time.
    ticked: float = 0.0
    next_gossip: float = 0.0
    next_review: float = 0.0
    next_flush: float = 0.0
    flushed: float = 0.0
    waiting: list[_effects.Effect] = dataclasses.field(default_factory=list)
    round: int = 0
    deaf_until: float = -1e9
