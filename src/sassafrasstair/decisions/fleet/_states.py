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
    liveness: int = _messages.SERVING
    leaving: bool = False
    platform_unreachable: bool = False
    changed_at: float = 0.0
    last_contact_at: float = -1e9
    failures: int = 0
    ejected: bool = False
    flaps: int = 0
    hold_down_until: float = -1e9
    next_probe_at: float = 0.0


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
class DomainReachability:
    """Whether another failure domain can be reached from here."""

    failed_at: dict[str, float] = dataclasses.field(default_factory=dict)
    last_success_at: float = -1e9
    unreachable: bool = False
    changed_at: float = -1e9
    next_probe_at: float = 0.0
    last_probed_at: float = -1e9


@dataclasses.dataclass(frozen=True, slots=True)
class StoredBundle:
    """One verified bundle.

    ``body`` is its envelope compressed for the wire, ``seal`` the digest
    of the envelope.
    """

    bundle_id: _messages.BundleId
    bundle: bundles.Bundle
    compressed_envelope: bytes
    envelope_digest: bytes


@dataclasses.dataclass(slots=True)
class Fetch:
    """A bundle being fetched, and who else could give it."""

    address: str
    deadline: float
    others: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Node:
    """All that one daemon knows of the fleet; lost with its process."""

    local_record: _messages.Record
    incarnation: str
    seeds: tuple[str, ...]
    verify: abc.Callable[[bytes], bundles.Approved]
    started_at: float
    # Membership.
    revision: int = 0
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    by_address: dict[str, str] = dataclasses.field(default_factory=dict)
    usability_version: int = 0
    membership_version: int = 0
    bucket_checksums: list[int] = dataclasses.field(
        default_factory=lambda: [0] * BUCKETS
    )
    transmissions_left: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    push_pending: bool = False
    push_tokens: float = 0.0
    vm_list_index: int = 0
    listed_states: dict[str, str] = dataclasses.field(default_factory=dict)
    restored_index: int = 0
    restored_states: dict[str, str] = dataclasses.field(default_factory=dict)
    checks: dict[str, Check] = dataclasses.field(default_factory=dict)
    ejected: set[str] = dataclasses.field(default_factory=set)
    not_serving: set[str] = dataclasses.field(default_factory=set)
    unshared_records: set[str] = dataclasses.field(default_factory=set)
    held_down: set[str] = dataclasses.field(default_factory=set)
    failed_calls: set[str] = dataclasses.field(default_factory=set)
    reachability: dict[str, DomainReachability] = dataclasses.field(
        default_factory=dict
    )
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
    bundles_by_id: dict[_messages.BundleId, StoredBundle] = dataclasses.field(
        default_factory=dict
    )
    in_force: StoredBundle | None = None
    settled: bool = False
    settled_by_address: dict[str, bool] = dataclasses.field(
        default_factory=dict
    )
    fetches: dict[_messages.BundleId, Fetch] = dataclasses.field(
        default_factory=dict
    )
    refusal_reasons: dict[str, str] = dataclasses.field(default_factory=dict)
    dropped_digests: dict[int, str] = dataclasses.field(default_factory=dict)
    fetch_blocked_until: dict[_messages.BundleId, float] = dataclasses.field(
        default_factory=dict
    )
    bundle_push_pending: bool = False
    # Platform.
    watching: bool = False
    read_pending: bool = False
    next_read_at: float = 0.0
    platform_failures: int = 0
    # Time.
    last_tick_at: float = 0.0
    next_gossip_at: float = 0.0
    next_review: float = 0.0
    next_flush: float = 0.0
    flushed: float = 0.0
    pending_effects: list[_effects.Effect] = dataclasses.field(
        default_factory=list
    )
    gossip_round: int = 0
    ignore_failures_until: float = -1e9
