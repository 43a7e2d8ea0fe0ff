"""Data classes of one daemon's state: members, checks, domains, bundles."""

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
    """One VM in this daemon's member table.

    ``incarnation``, ``revision``, ``liveness``, ``leaving`` and
    ``platform_unreachable`` hold the merged rumours, see ``Rumour``;
    ``changed_at`` is when a rumour last changed any of them. ``record`` is
    the VM list entry by which this daemon knows the VM; its own state may
    say "leaving" too. ``last_contact_at`` is when this daemon last had
    contact with the VM, and ``failures`` counts the failed contacts since.
    ``ejected`` means that the failures were enough to send the VM no work;
    ``next_probe_at`` is when the VM is probed again. After its return it
    gets no work until ``hold_down_until``; ``flaps`` counts its recent
    returns and lengthens that time.
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


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Life:
    """Order of what the daemons on one VM have said of themselves."""

    incarnation: str
    revision: int


@dataclasses.dataclass(slots=True)
class Check:
    """Liveness check of one VM, by this daemon and by helpers.

    ``with_helpers`` tells whether helpers are asked as well. The result of
    this daemon's own probe is ``direct_result``, None while it runs.
    ``helpers_asked`` counts the helpers, ``helper_results`` holds whether
    each reached the VM. Peers at ``reply_to`` await the direct result.
    """

    started_at: float
    with_helpers: bool
    direct_result: bool | None = None
    helpers_asked: int = 0
    helper_results: dict[str, bool] = dataclasses.field(default_factory=dict)
    reply_to: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class DomainReachability:
    """Reachability of another failure domain from this daemon.

    ``failed_at`` maps VMs of the domain to the time of their last failed
    contact; ``last_success_at`` is the time of the last good contact.
    ``unreachable`` last changed at ``changed_at``. An unreachable domain is
    probed again at ``next_probe_at``; ``last_probed_at`` limits the probes
    that failures and reports of peers cause.
    """

    failed_at: dict[str, float] = dataclasses.field(default_factory=dict)
    last_success_at: float = -1e9
    unreachable: bool = False
    changed_at: float = -1e9
    next_probe_at: float = 0.0
    last_probed_at: float = -1e9


@dataclasses.dataclass(frozen=True, slots=True)
class StoredBundle:
    """One verified bundle.

    ``envelope_digest`` is the SHA-256 digest of its uncompressed envelope.
    """

    bundle_id: _messages.BundleId
    bundle: bundles.Bundle
    compressed_envelope: bytes
    envelope_digest: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class SupersededBundle:
    """A bundle that is no longer stored.

    Requests that daemons accepted under it have ended at ``kept_until``.
    """

    bundle_id: _messages.BundleId
    bundle: bundles.Bundle
    kept_until: float


@dataclasses.dataclass(slots=True)
class PendingFetch:
    """Fetch of a bundle from ``address``, in progress.

    ``other_addresses`` are peers that have the bundle too and are asked if
    this one fails or does not answer by ``deadline``.
    """

    address: str
    deadline: float
    other_addresses: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Node:
    """State of the local daemon, with its in-memory view of the fleet.

    Nothing of it is persisted. ``local_record`` and ``incarnation`` identify
    this daemon; it raises ``revision`` to override rumours about itself.
    ``seeds`` are the configured addresses of daemons that it asks first, and
    ``verify`` decodes an envelope and checks its approvals.
    ``by_address`` maps addresses of daemons to VMs; ``ejected``,
    ``not_serving``, ``held_down``, ``failed_calls`` and ``records_to_send``
    are sets of VMs. The rumours about those in ``records_to_send`` carry the
    record, because peers may lack it.
    ``transmissions_left`` counts how often each queued rumour is still to
    be sent. ``push_pending`` and ``bundle_push_pending`` mean that rumours
    or bundles wait for a push, and ``push_tokens`` limit its rate.
    ``sync_address`` is the peer whose reply to a fetch of members is awaited,
    '' if none is.
    ``usability_version`` and ``membership_version`` count the changes that
    invalidate caches. ``listed`` holds the VMs of the list that was last
    read here, each with its life at that time, and ``listed_index`` the
    platform index of that list. ``vm_list_index`` is the greatest index of a
    list that was read here or learned from peers.
    ``superseded`` are the last bundles that newer ones have replaced here.
    ``settled`` tells whether the daemon has finished its bootstrap, that is,
    has learned enough from peers to serve; ``peer_settled_by_address`` tells
    the same of each peer that answered. ``refusal_reasons`` are by envelope
    digest, and ``dropped_digests`` by the version that two bundles shared.
    ``watching`` means that this daemon watches the platform, and
    ``platform_failures`` counts its consecutive failures to do so or to read
    the platform.
    """

    local_record: _messages.Record
    incarnation: str
    seeds: tuple[str, ...]
    verify: abc.Callable[[bytes], bundles.ApprovedBundle]
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
    listed_index: int = 0
    listed: dict[str, Life] = dataclasses.field(default_factory=dict)
    checks: dict[str, Check] = dataclasses.field(default_factory=dict)
    ejected: set[str] = dataclasses.field(default_factory=set)
    not_serving: set[str] = dataclasses.field(default_factory=set)
    records_to_send: set[str] = dataclasses.field(default_factory=set)
    held_down: set[str] = dataclasses.field(default_factory=set)
    failed_calls: set[str] = dataclasses.field(default_factory=set)
    reachability: dict[str, DomainReachability] = dataclasses.field(
        default_factory=dict
    )
    next_sync_at: float = -1e9
    sync_address: str = ""
    # Caches: the targets are valid for one ``usability_version``, the
    # partners and the choice of watchers for one ``membership_version``.
    partners_version: int = -1
    partners: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())
    watchers_version: int = -1
    targets_version: int = -1
    targets: dict[tuple[str, int], tuple[calls.Target, ...]] = (
        dataclasses.field(default_factory=dict)
    )
    # Bundles.
    bundles_by_id: dict[_messages.BundleId, StoredBundle] = dataclasses.field(
        default_factory=dict
    )
    in_force: StoredBundle | None = None
    superseded: tuple[SupersededBundle, ...] = ()
    settled: bool = False
    peer_settled_by_address: dict[str, bool] = dataclasses.field(
        default_factory=dict
    )
    fetches: dict[_messages.BundleId, PendingFetch] = dataclasses.field(
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
    next_expiry_at: float = 0.0
    next_push_at: float = 0.0
    tokens_refilled_at: float = 0.0
    pending_effects: list[_effects.Effect] = dataclasses.field(
        default_factory=list
    )
    gossip_round: int = 0
    ignore_failures_until: float = -1e9
