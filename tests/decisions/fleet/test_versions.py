from __future__ import annotations

from collections import abc
import itertools
import random
import zlib

import pytest

from sassafrasstair import bundles
from sassafrasstair.decisions import fleet
from sassafrasstair.decisions.fleet import _versions

Make = abc.Callable[..., bytes]


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
    make_bundle: Make,
    verify: abc.Callable[[bytes], bundles.Approved],
    offers: list[tuple[int, tuple[str, ...]]],
    expected: int,
    kept: set[int],
) -> None:
    envelopes = [make_bundle(*offer) for offer in offers]
    for order in itertools.permutations(envelopes):
        one = fleet.new_node(
            node.local_record, "0001", (), verify, 0.0, random.Random(1)
        )
        _settle(one)
        effects = _offer(one, *order)
        in_force = fleet.in_force(one)
        assert in_force is not None
        came = [
            effect.bundle.version
            for effect in effects
            if isinstance(effect, fleet.InForce)
        ]
        assert came == sorted(set(came))
        assert in_force.version == expected
        assert {held.version for held in one.bundles_by_id} == kept


def test_same_version_twice_is_settled_alike_and_reported(
    node: fleet.Node,
    make_bundle: Make,
    verify: abc.Callable[[bytes], bundles.Approved],
) -> None:
    """Two operators approve version 2 at once, with different payloads.

    Each failure domain hears of another one first. Without one fixed rule
    each would keep the first that it heard, for good.
    """
    envelopes = [make_bundle(2, deadline_ms=ms) for ms in (1_000, 2_000)]
    winners = set()
    for order in (envelopes, envelopes[::-1]):
        one = fleet.new_node(
            node.local_record, "0001", (), verify, 0.0, random.Random(1)
        )
        _settle(one)
        effects = _offer(one, *order)
        assert one.in_force is not None
        winners.add(one.in_force.bundle_id.digest)
        events = [e.event for e in effects if isinstance(e, fleet.ReportEvent)]
        assert "bundle_conflict" in events
        assert fleet.status(one)["conflicts"]["2"] not in winners
    assert len(winners) == 1


@pytest.mark.parametrize(
    ("envelope", "reason"),
    [
        (b"{}", "bad_value"),
        (b" " * (bundles.MAX_BUNDLE_BYTES + 1), "too large"),
        (None, "downgraded: version 1, newest is 2"),
    ],
)
def test_refused_bundle_is_shown_and_changes_nothing(
    node: fleet.Node, make_bundle: Make, envelope: bytes | None, reason: str
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


def test_body_that_unpacks_too_large_is_cut_off() -> None:
    body = zlib.compress(b" " * (50 * bundles.MAX_BUNDLE_BYTES))
    envelope = _versions.unpack(body)
    assert envelope is not None
    assert len(envelope) == bundles.MAX_BUNDLE_BYTES + 1


def test_bundle_refused_here_is_not_fetched_again_at_once(
    node: fleet.Node,
) -> None:
    """A peer holds a bundle whose key this daemon no longer trusts.

    Each gossip exchange names it; fetching it each time would spend the
    whole control budget on bodies that are refused.
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


def test_order_follows_the_signed_text(
    make_bundle: Make,
    verify: abc.Callable[[bytes], bundles.Approved],
) -> None:
    """Two halves of a mesh stay on different bundles of one version.

    Two operators approved the same version; half of the daemons run a
    newer release, whose schema has one more default. A digest of what they
    decoded orders the two bundles differently in either half.
    """
    text = make_bundle(7)
    wider = text.replace(b"{", b"{ ", 1)
    for one in (text, wider):
        place = fleet.bundle_id(verify(one))
        assert bundles.digest(one).startswith(place.digest.hex())
    assert fleet.bundle_id(verify(text)) != fleet.bundle_id(verify(wider))
