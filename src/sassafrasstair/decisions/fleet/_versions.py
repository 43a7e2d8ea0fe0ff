"""Choice of the bundles that a daemon stores, and of the one in force.

Bundles are totally ordered by version and then by the digest of their
payload. Daemons keep the greatest, so they agree whatever order the bundles
arrive in, and never return to an older one.
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

MAX_REFUSED = 8
MAX_SUPERSEDED = 4
ADOPTION_SECONDS = 6.0
"""Within this time all daemons that can be reached adopt a bundle."""
DIGEST_BYTES = 16


def bundle_id(approved: bundles.ApprovedBundle) -> _messages.BundleId:
    """Return the position of a bundle in the total order.

    The digest covers the payload and not the envelope: the same payload
    with another signature is the same bundle.
    """
    # A digest of the decoded bundle would depend on the release's defaults:
    # during an upgrade, old and new daemons would permanently choose
    # different bundles of one version. The signed text has no defaults.
    digest = bytes.fromhex(approved.digest)[:DIGEST_BYTES]
    return _messages.BundleId(approved.bundle.version, digest)


def add_envelope(
    node: _states.Node, envelope: bytes, source: str, now: float
) -> list[_effects.Effect]:
    """Verify ``envelope`` and store its bundle if it is new.

    ``source`` is "platform" or the address of a peer, for the log.
    """
    envelope_digest = hashlib.sha256(envelope).digest()
    if len(envelope) > bundles.MAX_BUNDLE_BYTES:
        return _refuse(node, envelope_digest, "too large", source)
    if any(
        envelope_digest == stored_bundle.envelope_digest
        for stored_bundle in node.bundles_by_id.values()
    ):
        return []
    try:
        approved = node.verify(envelope)
    except bundles.BundleError as error:
        return _refuse(node, envelope_digest, str(error), source)
    identifier = bundle_id(approved)
    stored = _states.StoredBundle(
        identifier, approved.bundle, compress(envelope), envelope_digest
    )
    return _store(node, stored, source, now)


def update_in_force(node: _states.Node) -> list[_effects.Effect]:
    """Put the greatest applicable bundle in force once settled.

    A bundle applies if its rollout is empty or names the own failure domain.
    """
    if not node.settled:
        return []
    applicable = [
        stored
        for stored in node.bundles_by_id.values()
        if _applies(stored.bundle, node.local_record.failure_domain)
    ]
    if not applicable:
        return []
    newest = max(applicable, key=lambda stored: stored.bundle_id)
    current = node.in_force
    if current is not None and newest.bundle_id <= current.bundle_id:
        return []
    node.in_force = newest
    return [_effects.InForce(newest.bundle)]


def compress(envelope: bytes) -> bytes:
    """Return ``envelope`` compressed for the wire."""
    return zlib.compress(envelope, 6)


def decompress(body: bytes) -> bytes | None:
    """Return the envelope in ``body``, or None if it is malformed.

    A larger envelope than allowed is cut off one byte past the limit.
    """
    # A small body can decompress to gigabytes and exhaust the VM's memory.
    # Decompression stops one byte past the maximum size of a bundle.
    limit = bundles.MAX_BUNDLE_BYTES + 1
    try:
        return zlib.decompressobj().decompress(body, limit)
    except zlib.error:
        return None


def missing_ids(
    node: _states.Node, ids: abc.Iterable[_messages.BundleId]
) -> list[_messages.BundleId]:
    """Return those of ``ids`` that may be new here, greatest first."""
    # A staged bundle may arrive before an older one for all domains, which
    # peers may still need from this daemon. Therefore only a bundle for all
    # domains supersedes the older ones.
    id_for_all_domains = min(
        (
            identifier
            for identifier, stored in node.bundles_by_id.items()
            if not stored.bundle.rollout
        ),
        default=None,
    )
    missing = [
        bundle_id
        for bundle_id in ids
        if bundle_id not in node.bundles_by_id
        and (id_for_all_domains is None or bundle_id > id_for_all_domains)
    ]
    return sorted(missing, reverse=True)


def _store(
    node: _states.Node,
    stored: _states.StoredBundle,
    source: str,
    now: float,
) -> list[_effects.Effect]:
    if stored.bundle_id in node.bundles_by_id:
        return []
    effects = _report_conflict(node, stored)
    kept = _newest_by_domain(node.bundles_by_id | {stored.bundle_id: stored})
    if stored.bundle_id not in kept:
        return effects + _refuse_outdated(node, stored, max(kept), source)
    _keep_superseded(node, kept, now)
    node.bundles_by_id = kept
    node.bundle_push_pending = True
    return effects + update_in_force(node)


def _keep_superseded(
    node: _states.Node,
    kept: abc.Container[_messages.BundleId],
    now: float,
) -> None:
    """Keep the bundles that are dropped for the requests under way."""
    dropped = [
        _states.SupersededBundle(
            identifier,
            stored.bundle,
            now + ADOPTION_SECONDS + _longest_use(stored.bundle),
        )
        for identifier, stored in node.bundles_by_id.items()
        if identifier not in kept
    ]
    unexpired = [each for each in node.superseded if now < each.kept_until]
    newest_first = sorted(
        [*unexpired, *dropped], key=lambda each: each.bundle_id, reverse=True
    )
    node.superseded = tuple(newest_first[:MAX_SUPERSEDED])


def _longest_use(bundle: bundles.Bundle) -> float:
    """Return for how many seconds its requests and tickets may last."""
    classes = bundle.classes.values()
    longest = max((rules.deadline_ms for rules in classes), default=0)
    if any(rules.once for rules in classes):
        longest = max(longest, bundle.ticket_lifetime_ms)
    return longest / 1000


def _refuse_outdated(
    node: _states.Node,
    stored: _states.StoredBundle,
    newest: _messages.BundleId,
    source: str,
) -> list[_effects.Effect]:
    version = stored.bundle_id.version
    reason = f"downgraded: version {version}, newest is {newest.version}"
    if version == newest.version:
        reason = "same version as another, of lesser digest"
    return _refuse(node, stored.envelope_digest, reason, source)


def _report_conflict(
    node: _states.Node, stored: _states.StoredBundle
) -> list[_effects.Effect]:
    for other in node.bundles_by_id:
        if other.version == stored.bundle_id.version:
            fields = {
                "version": str(other.version),
                "kept": max(other, stored.bundle_id).digest.hex(),
                "dropped": min(other, stored.bundle_id).digest.hex(),
            }
            node.dropped_digests[other.version] = fields["dropped"]
            return [_effects.ReportEvent("bundle_conflict", fields)]
    return []


def _newest_by_domain(
    bundles_by_id: dict[_messages.BundleId, _states.StoredBundle],
) -> dict[_messages.BundleId, _states.StoredBundle]:
    """Return the bundles that are the greatest in some failure domain."""
    kept = {}
    covered: set[str] = set()
    for identifier in sorted(bundles_by_id, reverse=True):
        rollout = bundles_by_id[identifier].bundle.rollout
        if not rollout:
            kept[identifier] = bundles_by_id[identifier]
            break
        if not covered.issuperset(rollout):
            kept[identifier] = bundles_by_id[identifier]
            covered.update(rollout)
    return kept


def _applies(bundle: bundles.Bundle, domain: str) -> bool:
    return not bundle.rollout or domain in bundle.rollout


def _refuse(
    node: _states.Node, envelope_digest: bytes, reason: str, source: str
) -> list[_effects.Effect]:
    key = envelope_digest[:DIGEST_BYTES].hex()
    if key in node.refusal_reasons:
        return []
    while len(node.refusal_reasons) >= MAX_REFUSED:
        del node.refusal_reasons[next(iter(node.refusal_reasons))]
    node.refusal_reasons[key] = reason
    fields = {"digest": key, "reason": reason, "source": source}
    return [_effects.ReportEvent("bundle_refused", fields)]
