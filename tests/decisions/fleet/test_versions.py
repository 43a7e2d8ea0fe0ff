from __future__ import annotations

from collections import abc
import itertools
import random
import zlib

import msgspec
import pytest

from sassafrasstair import bundles
from sassafrasstair.decisions import fleet
from sassafrasstair.decisions.fleet import _versions

MakeBundle = abc.Callable[..., bytes]


def _settle(node: fleet.Node) -> None:
    fleet.tick(node, 3.0, random.Random(1))


def _offer(node: fleet.Node, *envelopes: bytes) -> list[fleet.Effect]:
    return fleet.process_platform_bundles(
        node, list(envelopes), 11, 3.0, random.Random(1)
    )


@pytest.mark.parametrize(
    ("offers", "expected", "kept"),
    [
        ([(1, ()), (2, ())], 2, {2}),
        ([(1, ()), (2, ("domain-1",))], 1, {1, 2}),
        ([(1, ()), (2, ("domain-0",))], 2, {1, 2}),
        ([(1, ()), (2, ("domain-0",)), (3, ("domain-1",))], 2, {1, 2, 3}),
        ([(1, ()), (2, ("domain-0",)), (3, ("domain-0",))], 3, {1, 3}),
        ([(1, ()), (2, ("domain-0",)), (3, ())], 3, {3}),
    ],
)
def test_same_bundle_in_force_in_any_order(
    node: fleet.Node,
    make_bundle: MakeBundle,
    verify: abc.Callable[[bytes], bundles.ApprovedBundle],
    offers: list[tuple[int, tuple[str, ...]]],
    expected: int,
    kept: set[int],
) -> None:
    envelopes = [make_bundle(*offer) for offer in offers]
    for order in itertools.permutations(envelopes):
        fresh_node = fleet.new_node(
            node.local_record, "0001", (), verify, 0.0, random.Random(1)
        )
        _settle(fresh_node)
        effects = _offer(fresh_node, *order)
        in_force = fleet.in_force(fresh_node)
        assert in_force is not None
        versions = [
            effect.bundle.version
            for effect in effects
            if isinstance(effect, fleet.InForce)
        ]
        assert versions == sorted(set(versions))
        assert in_force.version == expected
        assert {held.version for held in fresh_node.bundles_by_id} == kept


@pytest.mark.parametrize(
    ("offers", "elapsed", "expected"),
    [
        ([(1, ())], 0.0, []),
        ([(1, ()), (2, ())], 0.0, [1]),
        ([(1, ()), (2, ())], 6.9, [1]),
        ([(1, ()), (2, ())], 7.1, []),
        ([(1, ()), (2, ("domain-1",))], 99.0, [2]),
        ([(1, ()), (2, ("domain-0",))], 99.0, [1]),
        ([(1, ()), (2, ("domain-0",)), (3, ())], 0.0, [2, 1]),
        ([(version, ()) for version in range(1, 8)], 0.0, [6, 5, 4, 3]),
    ],
)
def test_other_bundles_last_as_long_as_their_requests(
    node: fleet.Node,
    make_bundle: MakeBundle,
    offers: list[tuple[int, tuple[str, ...]]],
    elapsed: float,
    expected: list[int],
) -> None:
    """The deadline of the one class is 1 s, and bundles spread within 6 s."""
    _settle(node)
    _offer(node, *(make_bundle(*offer) for offer in offers))
    found = fleet.other_bundles(node, 3.0 + elapsed)
    assert [bundle.version for bundle in found] == expected


def test_bundle_with_tickets_lasts_as_long_as_these(
    node: fleet.Node, make_bundle: MakeBundle
) -> None:
    """Its tickets are good for 600 s, longer than any deadline."""
    _settle(node)
    older = msgspec.json.decode(make_bundle(1))
    older["classes"]["lookup"]["once"] = True
    _offer(node, msgspec.json.encode(older), make_bundle(2))
    for elapsed, expected in ((605.0, [1]), (607.0, [])):
        found = fleet.other_bundles(node, 3.0 + elapsed)
        assert [bundle.version for bundle in found] == expected


def test_conflicting_bundles_are_resolved_alike_and_reported(
    node: fleet.Node,
    make_bundle: MakeBundle,
    verify: abc.Callable[[bytes], bundles.ApprovedBundle],
) -> None:
    """Two operators approve version 2 at once, with different payloads.

    Daemons receive the two in different orders. Without a fixed rule each
    would permanently keep the one that arrived first.
    """
    envelopes = [make_bundle(2, deadline_ms=ms) for ms in (1_000, 2_000)]
    winners = set()
    for order in (envelopes, envelopes[::-1]):
        fresh_node = fleet.new_node(
            node.local_record, "0001", (), verify, 0.0, random.Random(1)
        )
        _settle(fresh_node)
        effects = _offer(fresh_node, *order)
        assert fresh_node.in_force is not None
        winners.add(fresh_node.in_force.bundle_id.digest)
        events = [e.event for e in effects if isinstance(e, fleet.ReportEvent)]
        assert "bundle_conflict" in events
        assert fleet.status(fresh_node)["conflicts"]["2"] not in winners
    assert len(winners) == 1


@pytest.mark.parametrize(
    ("envelope", "reason"),
    [
        (b"{}", "bad_value"),
        (b" " * (bundles.MAX_BUNDLE_BYTES + 1), "too large"),
        (None, "downgraded: version 1, newest is 2"),
    ],
)
def test_refused_bundle_is_in_status_and_changes_nothing(
    node: fleet.Node,
    make_bundle: MakeBundle,
    envelope: bytes | None,
    reason: str,
) -> None:
    _settle(node)
    _offer(node, make_bundle(2))
    before = fleet.in_force(node)
    refused = make_bundle(1) if envelope is None else envelope
    assert not any(
        isinstance(effect, fleet.InForce) for effect in _offer(node, refused)
    )
    assert fleet.in_force(node) is before
    (shown,) = fleet.status(node)["refused"].values()
    assert shown.startswith(reason)


def test_decompression_stops_at_the_size_limit() -> None:
    body = zlib.compress(b" " * (50 * bundles.MAX_BUNDLE_BYTES))
    envelope = _versions.decompress(body)
    assert envelope is not None
    assert len(envelope) == bundles.MAX_BUNDLE_BYTES + 1


def test_refused_bundle_is_not_fetched_again_at_once(
    node: fleet.Node,
) -> None:
    """A peer stores a bundle whose key this daemon no longer trusts.

    Each gossip exchange lists it. Fetching it each time would spend the
    whole budget of control traffic on refused bodies.
    """
    _settle(node)
    rng = random.Random(1)
    wanted = fleet.BundleId(9, b"9" * 16)
    gossip = fleet.Gossip("vm-0006", "10.0.0.6:1", "1", True, 0, 0, (wanted,))
    reply = fleet.BundleReply(wanted, zlib.compress(b"{}"))
    _, effects = fleet.handle_request(node, gossip, 3.0, rng)
    asked = fleet.Exchange("10.0.0.6:1", fleet.BundleFetch(wanted))
    assert asked in effects
    fleet.process_reply(node, "10.0.0.6:1", reply, 3.1, rng)
    assert asked not in fleet.handle_request(node, gossip, 4.0, rng)[1]


def test_order_depends_on_the_signed_text(
    make_bundle: MakeBundle,
    verify: abc.Callable[[bytes], bundles.ApprovedBundle],
) -> None:
    """Parts of a mesh could stay on different bundles of one version.

    Two operators approved the same version, and half of the daemons run a
    newer release whose schema has one more default. A digest of the decoded
    bundle would order the two differently in each half.
    """
    text = make_bundle(7)
    reformatted = text.replace(b"{", b"{ ", 1)
    for envelope in (text, reformatted):
        identifier = fleet.bundle_id(verify(envelope))
        assert bundles.digest(envelope).startswith(identifier.digest.hex())
    assert fleet.bundle_id(verify(text)) != fleet.bundle_id(
        verify(reformatted)
    )
