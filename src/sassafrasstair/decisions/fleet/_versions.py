"""Which bundles a daemon keeps, and which one is in force.

Bundles are totally ordered by version and then by the digest of their
payload; replicas keep the greatest, so they agree in whatever order
bundles come and never go back.
"""

from __future__ import annotations

import hashlib
import typing
import zlib

from sassafrasstair import bundles
from sassafrasstair.decisions.fleet import _effects
from sassafrasstair.decisions.fleet import _messages
from sassafrasstair.decisions.fleet import _states

if typing.TYPE_CHECKING:
    from collections import abc

MOST_REFUSED = 8
DIGEST_BYTES = 16


def bundle_id(approved: bundles.Approved) -> _messages.BundleId:
    """Return the place of a bundle in the total order.

    The digest is of the payload and not of the envelope: two signatures
    under the same payload do not make two bundles.
    """
    # Failure: while daemons are replaced by a newer release, old and new
    # ones settle two bundles of one version differently for good. A digest
    # of the decoded bundle depends on the release's defaults; that of the
    # signed text does not.
    digest = bytes.fromhex(approved.digest)[:DIGEST_BYTES]
    return _messages.BundleId(approved.bundle.version, digest)


def offered(
    node: _states.Node, envelope: bytes, source: str
) -> list[_effects.Effect]:
    """Take in one envelope from ``source`` if it is good and new."""
    seal = hashlib.sha256(envelope).digest()
    if len(envelope) > bundles.MAX_BUNDLE_BYTES:
        return _refuse(node, seal, "too large", source)
    if any(
        seal == held.envelope_digest for held in node.bundles_by_id.values()
    ):
        return []
    try:
        approved = node.verify(envelope)
    except bundles.BundleError as error:
        return _refuse(node, seal, str(error), source)
    place = bundle_id(approved)
    held = _states.StoredBundle(place, approved.bundle, pack(envelope), seal)
    return _keep(node, held, source)


def settle(node: _states.Node) -> list[_effects.Effect]:
    """Put the greatest bundle that applies here in force, if settled."""
    if not node.settled:
        return []
    applying = [
        held
        for held in node.bundles_by_id.values()
        if _applies(held.bundle, node.local_record.failure_domain)
    ]
    if not applying:
        return []
    newest = max(applying, key=lambda held: held.bundle_id)
    current = node.in_force
    if current is not None and newest.bundle_id <= current.bundle_id:
        return []
    node.in_force = newest
    return [_effects.InForce(newest.bundle)]


def pack(envelope: bytes) -> bytes:
    """Return ``envelope`` compressed for the wire."""
    return zlib.compress(envelope, 6)


def unpack(body: bytes) -> bytes | None:
    """Return the envelope in ``body``, or None if bad or too large."""
    # A small body can unpack to gigabytes and use up the VM's memory: the
    # limit stops the unpacking one byte past what a bundle may have.
    limit = bundles.MAX_BUNDLE_BYTES + 1
    try:
        return zlib.decompressobj().decompress(body, limit)
    except zlib.error:
        return None


def wanted(
    node: _states.Node, ids: abc.Iterable[_messages.BundleId]
) -> list[_messages.BundleId]:
    """Return those of ``ids`` that may be news here, greatest first."""
    # A staged bundle may come before the older one for all domains, which
    # others still need from here: only one for all makes older ones old.
    floor = min(
        (
            one
            for one, held in node.bundles_by_id.items()
            if not held.bundle.rollout
        ),
        default=None,
    )
    missing = [
        one
        for one in ids
        if one not in node.bundles_by_id and (floor is None or one > floor)
    ]
    return sorted(missing, reverse=True)


def _keep(
    node: _states.Node, held: _states.StoredBundle, source: str
) -> list[_effects.Effect]:
    if held.bundle_id in node.bundles_by_id:
        return []
    effects = _conflict(node, held)
    kept = _frontier(node.bundles_by_id | {held.bundle_id: held})
    if held.bundle_id not in kept:
        return effects + _outdated(node, held, max(kept), source)
    node.bundles_by_id = kept
    node.bundle_push_pending = True
    return effects + settle(node)


def _outdated(
    node: _states.Node,
    held: _states.StoredBundle,
    newest: _messages.BundleId,
    source: str,
) -> list[_effects.Effect]:
    version = held.bundle_id.version
    reason = f"downgraded: version {version}, newest is {newest.version}"
    if version == newest.version:
        reason = "same version as another, of lesser digest"
    return _refuse(node, held.envelope_digest, reason, source)


def _conflict(
    node: _states.Node, held: _states.StoredBundle
) -> list[_effects.Effect]:
    for other in node.bundles_by_id:
        if other.version == held.bundle_id.version:
            fields = {
                "version": str(other.version),
                "kept": max(other, held.bundle_id).digest.hex(),
                "dropped": min(other, held.bundle_id).digest.hex(),
            }
            node.dropped_digests[other.version] = fields["dropped"]
            return [_effects.ReportEvent("bundle_conflict", fields)]
    return []


def _frontier(
    held: dict[_messages.BundleId, _states.StoredBundle],
) -> dict[_messages.BundleId, _states.StoredBundle]:
    """Return the bundles that are the greatest of some failure domain."""
    kept = {}
    covered: set[str] = set()
    for one in sorted(held, reverse=True):
        rollout = held[one].bundle.rollout
        if not rollout:
            kept[one] = held[one]
            break
        if not covered.issuperset(rollout):
            kept[one] = held[one]
            covered.update(rollout)
    return kept


def _applies(bundle: bundles.Bundle, domain: str) -> bool:
    return not bundle.rollout or domain in bundle.rollout


def _refuse(
    node: _states.Node, seal: bytes, reason: str, source: str
) -> list[_effects.Effect]:
    key = seal[:DIGEST_BYTES].hex()
    if key in node.refusal_reasons:
        return []
    while len(node.refusal_reasons) >= MOST_REFUSED:
        del node.refusal_reasons[next(iter(node.refusal_reasons))]
    node.refusal_reasons[key] = reason
    fields = {"digest": key, "reason": reason, "source": source}
    return [_effects.ReportEvent("bundle_refused", fields)]
