from __future__ import annotations

import itertools
import random
import typing

import msgspec
import pytest

from sassafrasstair.bench import _capacity_fleets
from sassafrasstair.decisions import fleet
from sassafrasstair.decisions.fleet import _members
from sassafrasstair.decisions.fleet import _messages
from sassafrasstair.decisions.fleet import _subsets
from sassafrasstair.decisions.fleet import _summaries
from sassafrasstair.decisions.fleet import _suspicions

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair import bundles

RECORD = _capacity_fleets.records(24, 1)[6]


def _rumour(
    incarnation: str, revision: int, liveness: int, leaving: bool = False
) -> fleet.Rumour:
    return fleet.Rumour(
        RECORD.vm, incarnation, revision, liveness, leaving, record=RECORD
    )


@pytest.mark.parametrize(
    ("rumours", "expected"),
    [
        ([("1", 0, 0), ("1", 0, 1)], ("1", 0, 1, False)),
        ([("1", 0, 2), ("1", 1, 0)], ("1", 1, 0, False)),
        ([("1", 1, 0), ("1", 0, 2), ("1", 1, 1)], ("1", 1, 1, False)),
        ([("1", 3, 2), ("2", 0, 0)], ("2", 0, 0, False)),
        ([("1", 0, 0, True), ("1", 1, 0)], ("1", 1, 0, True)),
        ([("1", 0, 0, True), ("2", 0, 0)], ("2", 0, 0, False)),
    ],
)
def test_rumours_merge_alike_in_any_order(
    node: fleet.Node,
    rumours: list[tuple[str, int, int, bool]],
    expected: tuple[str, int, int, bool],
) -> None:
    for order in itertools.permutations(rumours):
        if RECORD.vm in node.members:
            _members.remove(node, RECORD.vm)
        for rumour in order:
            _members.merge(node, _rumour(*rumour), 0.0)
        member = node.members[RECORD.vm]
        assert expected == (
            member.incarnation,
            member.revision,
            member.liveness,
            member.leaving,
        )


@pytest.mark.parametrize(
    ("own", "others", "size", "expected"),
    [
        (20, 20, 8, (6, 2)),
        (20, 0, 8, (8, 0)),
        (0, 20, 8, (0, 8)),
        (3, 20, 8, (3, 5)),
        (1, 1, 8, (1, 1)),
    ],
)
def test_targets_prefer_own_domain_with_spillover(
    node: fleet.Node,
    own: int,
    others: int,
    size: int,
    expected: tuple[int, int],
) -> None:
    for number in range(own + others):
        domain = "domain-0" if number < own else f"domain-{1 + number % 5}"
        vm = f"other-{number}"
        record = fleet.Record(vm, "s", domain, "region-0", f"1.1.1.1:{number}")
        _members.merge(node, fleet.Rumour(vm, "1", 0, 0, record=record), 0.0)
    targets = _chosen_records(node, size)
    near = [t for t in targets if t.failure_domain == "domain-0"]
    assert (len(near), len(targets) - len(near)) == expected


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x92\x63\x01", b"\x91\x01"])
def test_malformed_bytes_raise_bad_message(data: bytes) -> None:
    with pytest.raises(fleet.BadMessage):
        fleet.decode(data)


def test_rumours_are_sent_a_bounded_number_of_times(node: fleet.Node) -> None:
    _members.merge(node, _rumour("1", 0, _messages.GONE), 0.0)
    _members.queue_rumour(node, RECORD.vm)
    sent = [
        rumour.vm
        for _ in range(100)
        for rumour in _members.take_rumours(node, "")
    ]
    assert 0 < sent.count(RECORD.vm) <= 3 * 3


def _chosen_records(node: fleet.Node, size: int) -> tuple[fleet.Record, ...]:
    return tuple(
        node.members[target.vm].record
        for target in _subsets.choose_targets(node, "s", size, 0.0)
    )


def test_same_seed_gives_same_effects(
    verify: abc.Callable[[bytes], bundles.ApprovedBundle],
) -> None:
    seen = []
    for _ in range(2):
        rng = random.Random(7)
        node = fleet.new_node(RECORD, "1", ("1.1.1.1:1",), verify, 0.0, rng)
        seen.append(fleet.tick(node, 0.25, rng))
    assert seen[0] == seen[1]


def test_differing_members_are_fetched(
    node: fleet.Node, verify: abc.Callable[[bytes], bundles.ApprovedBundle]
) -> None:
    """A rumour is no longer sent before it has reached every daemon.

    Member tables would differ permanently unless a later exchange, in which
    the checksums differ, fetches the differing members.
    """
    rng = random.Random(1)
    peer = fleet.new_node(
        _capacity_fleets.records(24, 1)[1], "1", (), verify, 0.0, rng
    )
    _members.merge(peer, _rumour("1", 0, _messages.SERVING), 0.0)
    node.transmissions_left.clear()
    peer.transmissions_left.clear()
    gossip = _summaries.build_summary(peer, fleet.Gossip, node.local_record.vm)
    _, effects = fleet.handle_request(node, gossip, 1.0, rng)
    (fetch,) = [e for e in effects if isinstance(e, fleet.Exchange)]
    reply, _ = fleet.handle_request(peer, fetch.message, 1.0, rng)
    assert reply is not None
    fleet.process_reply(node, fetch.address, reply, 1.0, rng)
    assert fleet.incarnation_of(node, RECORD.vm) == "1"


@pytest.mark.parametrize(("gap", "barred"), [(0.5, True), (20.0, False)])
def test_timeouts_right_after_a_pause_are_ignored(
    node: fleet.Node, gap: float, barred: bool
) -> None:
    """After a pause of the process all its open exchanges are overdue.

    They failed because it did not read the replies, not because its peers
    are gone.
    """
    rng = random.Random(1)
    _members.merge(node, _rumour("1", 0, _messages.SERVING), 0.0)
    fleet.tick(node, 1.0, rng)
    for _ in range(2):
        fleet.update_after_failed_exchange(
            node, RECORD.address, 1.0 + gap, rng
        )
    assert node.members[RECORD.vm].ejected is barred


def test_other_domains_do_not_declare_suspicion(
    node: fleet.Node,
) -> None:
    """A daemon and a helper cannot reach a VM of another failure domain.

    The network between the domains may be at fault, so only members of the
    VM's own domain may declare it suspected.
    """
    rng = random.Random(1)
    for number in range(6, 12):
        other = msgspec.structs.replace(
            _capacity_fleets.records(24, 1)[number], failure_domain="domain-1"
        )
        rumour = fleet.Rumour(other.vm, "1", 0, 0, record=other)
        _members.merge(node, rumour, 0.0)
    fleet.update_after_failed_exchange(node, RECORD.address, 0.1, rng)
    result = fleet.ProbeResult(RECORD.vm, "helper", reached=False)
    fleet.handle_request(node, result, 0.1, rng)
    fleet.update_after_failed_exchange(node, RECORD.address, 0.1, rng)
    assert node.members[RECORD.vm].liveness == _messages.SERVING


def test_vm_marked_gone_is_told_when_it_gossips(node: fleet.Node) -> None:
    """A process resumes after the rumour that it is gone was last sent.

    Unless a peer tells it of that state it cannot refute it.
    """
    _members.merge(node, _rumour("1", 0, _messages.GONE), 0.0)
    gossip = fleet.Gossip(RECORD.vm, RECORD.address, "1", True, 0, 0)
    reply, _ = fleet.handle_request(node, gossip, 1.0, random.Random(1))
    assert isinstance(reply, fleet.GossipReply)
    assert _rumour("1", 0, _messages.GONE).vm in {
        rumour.vm for rumour in reply.rumours if rumour.liveness
    }


@pytest.mark.parametrize(
    ("now", "index", "watches"),
    [(4.0, 0, False), (4.0, 9, True), (16, 0, True)],
)
def test_daemon_that_knows_only_seeds_does_not_watch(
    node: fleet.Node, now: float, index: int, watches: bool
) -> None:
    """When all daemons start at once, each knows only its seeds.

    It is among the first two of those, so the whole fleet would watch the
    platform.
    """
    node.vm_list_index = index
    node.settled = True
    effects = fleet.tick(node, now, random.Random(1))
    assert (fleet.Watch(enabled=True) in effects) is watches


@pytest.mark.parametrize(
    "liveness", [_messages.SUSPECTED, _messages.GONE, _messages.SERVING]
)
def test_suspicion_keeps_that_a_vm_cannot_reach_the_platform(
    node: fleet.Node, liveness: int
) -> None:
    """A VM that comes back could be chosen to watch the platform."""
    cut_off = msgspec.structs.replace(
        _rumour("1", 0, _messages.SERVING), platform_unreachable=True
    )
    _members.merge(node, cut_off, 0.0)
    _suspicions._set_liveness(node, RECORD.vm, liveness, 0.1)
    assert node.members[RECORD.vm].platform_unreachable


def test_failed_exchange_with_another_peer_keeps_the_members_fetch(
    node: fleet.Node, verify: abc.Callable[[bytes], bundles.ApprovedBundle]
) -> None:
    """A daemon that starts would fetch the whole table a second time."""
    rng = random.Random(1)
    peer = fleet.new_node(
        _capacity_fleets.records(24, 1)[1], "1", (), verify, 0.0, rng
    )
    peer.vm_list_index = 7
    _members.merge(peer, _rumour("1", 0, _messages.SERVING), 0.0)
    gossip = _summaries.build_summary(peer, fleet.Gossip, node.local_record.vm)

    def fetches(now: float) -> int:
        _, effects = fleet.handle_request(node, gossip, now, rng)
        return sum(
            isinstance(effect, fleet.Exchange)
            and isinstance(effect.message, _messages.MembersFetch)
            for effect in effects
        )

    assert fetches(1.0) == 1
    fleet.update_after_failed_exchange(node, "10.9.9.9:1", 1.1, rng)
    assert fetches(1.2) == 0
    fleet.update_after_failed_exchange(
        node, peer.local_record.address, 1.3, rng
    )
    assert fetches(1.4) == 1
