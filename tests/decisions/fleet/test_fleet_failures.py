from __future__ import annotations

from collections import abc
import functools

import msgspec

from sassafrasstair.bench import _capacity_fleets
from sassafrasstair.decisions import fleet

Make = abc.Callable[..., bytes]
Settled = abc.Callable[..., _capacity_fleets.Fleet]
SERVICE = "service-00"
SUSPICIONS = {"member_suspected", "member_gone"}


def _events(made: _capacity_fleets.Fleet, since: float) -> list[str]:
    return [report.event for at, _, report in made.reports if at >= since]


def _chosen(made: _capacity_fleets.Fleet, address: str) -> set[str]:
    """Return the VMs that the daemon at ``address`` may call."""
    targets = fleet.targets(made.nodes[address], SERVICE, made.now)
    return {target.vm for target in targets}


def _shunned(made: _capacity_fleets.Fleet, vm: str) -> bool:
    """Return whether no other running daemon would send work to ``vm``."""
    return not any(
        vm in _chosen(made, address)
        for address, node in made.nodes.items()
        if address not in made.down and node.local_record.vm != vm
    )


def _silence(made: _capacity_fleets.Fleet) -> None:
    """Stop the periodic exchanges, which might find the news themselves."""
    for node in made.nodes.values():
        node.next_gossip_at = made.now + 60


def _domain(made: _capacity_fleets.Fleet, name: str) -> list[str]:
    return [
        address
        for address, node in made.nodes.items()
        if node.local_record.failure_domain == name
    ]


def test_restart_beside_a_stale_platform_keeps_the_newest(
    settled: Settled, make_bundle: Make
) -> None:
    """An approved version would be gone from one VM after its restart.

    The platform comes back with its contents of last week; then a daemon
    restarts with empty memory and reads it before it has asked a peer.
    """
    made = settled(1)
    old = made.platform.contents
    made.publish(bundles=(make_bundle(2),))
    assert made.run(6, lambda: made.at_version(2))
    made.platform.contents = old
    address = next(iter(made.nodes))
    record = made.nodes[address].local_record
    seeds = tuple(_domain(made, "domain-0")[1:])
    made.in_force[address].clear()
    made.start(record, seeds)
    made.run(0.01)
    node = made.nodes[address]
    effects = fleet.process_platform_bundles(
        node, list(old.bundles), old.index, made.now, made.rng
    )
    made.perform(address, effects)
    made.run(6)
    assert [version for _, version in made.in_force[address]] == [2]


def test_alone_with_the_platform_a_daemon_serves_after_a_bounded_wait(
    settled: Settled,
) -> None:
    """A restarted daemon that no peer can reach must still serve.

    Its failure domain has only this VM left and is cut off from the
    others, but not from the platform.
    """
    made = settled(2)
    first, *others = _domain(made, "domain-0")
    for address in others:
        made.stop(address)
    made.cut("domain-0")
    made.start(made.nodes[first].local_record, tuple(others))
    made.run(0.01)
    node = made.nodes[first]
    assert not fleet.ready_to_serve(node, made.now)
    assert made.run(9, lambda: fleet.ready_to_serve(node, made.now))


def test_versions_never_go_back_while_two_operators_approve(
    settled: Settled, make_bundle: Make
) -> None:
    """Two operators publish version 2 with other contents in turn.

    Each watcher hears of another one last; all daemons must agree.
    """
    made = settled(3, loss=0.05)
    for deadline_ms in (1_000, 2_000, 1_000):
        made.publish(bundles=(make_bundle(2, deadline_ms=deadline_ms),))
        made.run(0.3)
    made.run(6)
    in_force = [fleet.in_force(node) for node in made.nodes.values()]
    assert all(bundle == in_force[0] for bundle in in_force)
    for seen in made.in_force.values():
        assert [v for _, v in seen] == sorted(v for _, v in seen)


def test_staged_bundle_stays_in_its_failure_domains(
    settled: Settled, make_bundle: Make
) -> None:
    made = settled(4)
    staged = make_bundle(2, rollout=("domain-1",))
    made.publish(bundles=(make_bundle(1), staged))
    made.run(6)
    for node in made.nodes.values():
        bundle = fleet.in_force(node)
        assert bundle is not None
        staged_here = node.local_record.failure_domain == "domain-1"
        assert bundle.version == (2 if staged_here else 1)


def test_dead_watchers_are_replaced(
    settled: Settled, make_bundle: Make
) -> None:
    """Both watchers of a domain vanish, then a version is published.

    The domain is cut off from the others, so that only its own watchers
    can bring the version in.
    """
    made = settled(5)
    watchers = [a for a in _domain(made, "domain-0") if a in made.watching]
    assert len(watchers) == 2
    for address in watchers:
        made.stop(address)
    made.cut("domain-0")
    made.run(15)
    made.publish(bundles=(make_bundle(2),))
    assert made.run(6, lambda: made.at_version(2))


def test_blind_watchers_get_others_beside_them(settled: Settled) -> None:
    """Both watchers of a domain lose the platform, others would reach it.

    They are alive, so their peers keep them; without a word from them the
    domain would hear of nothing new.
    """
    made = settled(6)
    watchers = [a for a in _domain(made, "domain-0") if a in made.watching]
    for address in watchers:
        del made.watching[address]
        for _ in range(3):
            fleet.process_platform_failure(
                made.nodes[address], made.now, made.rng
            )
    made.run(10)
    watching = [a for a in _domain(made, "domain-0") if made.nodes[a].watching]
    assert len(watching) == 4


def test_cut_domain_goes_on_alone_and_is_back_after_the_heal(
    settled: Settled, make_bundle: Make
) -> None:
    """A failure domain is cut off for a minute, with the platform.

    Callers inside must find the instances inside, and nobody must be
    declared dead; after the heal a version published meanwhile holds.
    """
    made = settled(7)
    inside = _domain(made, "domain-0")
    names = {made.nodes[address].local_record.vm for address in inside}
    since = made.now
    made.cut("domain-0")
    made.cuts.add(frozenset(("domain-0", "")))
    made.publish(bundles=(make_bundle(2),))
    made.run(60)
    for address in made.nodes:
        chosen = _chosen(made, address)
        assert chosen
        assert (chosen <= names) == (address in inside)
    assert not SUSPICIONS.intersection(_events(made, since))
    made.heal()
    assert made.run(6, lambda: made.at_version(2))
    made.run(6)
    assert all(
        names - {made.nodes[a].local_record.vm} <= _chosen(made, a)
        for a in inside
    )
    assert any(names & _chosen(made, a) for a in _domain(made, "domain-1"))
    assert all(len(_chosen(made, a) - names) >= 2 for a in inside)


def test_domain_that_calls_cannot_reach_is_shunned_whole_within_3_s(
    settled: Settled,
) -> None:
    """A failure domain is cut off; one caller sees a call fail.

    Its peers have called nobody there yet. One by one they would lose a
    call to each instance behind the cut.
    """
    made = settled(16)
    names = {made.nodes[a].local_record.vm for a in _domain(made, "domain-0")}
    callers = _domain(made, "domain-1")
    made.cut("domain-0")
    caller = made.nodes[callers[0]]
    fleet.observe_call(caller, min(names), False, "", made.now)
    assert made.run(
        3, lambda: not any(names & _chosen(made, a) for a in callers)
    )


def test_paused_process_wakes_accuses_nobody_and_is_taken_back(
    settled: Settled,
) -> None:
    """A process stands still for two minutes, is held for gone and wakes.

    All its own exchanges are overdue then; it must not take its peers for
    dead, and must get work again though no rumour of it is left.
    """
    made = settled(8)
    address = next(iter(made.nodes))
    vm = made.nodes[address].local_record.vm
    made.pause(address, 120)
    made.run(119.9)
    assert _shunned(made, vm)
    since = made.now
    assert made.run(3, lambda: "refuted" in _events(made, since))
    made.run(10)
    accused = {
        report.fields["vm"]
        for at, _, report in made.reports
        if at >= since and report.event in SUSPICIONS
    }
    assert not accused
    for other in made.nodes.values():
        assert other.members[vm].liveness == 0
    near = _domain(made, "domain-0")
    assert all(vm in _chosen(made, a) for a in near if a != address)


def test_dead_vm_gets_no_work_3_s_after_one_call_to_it_failed(
    settled: Settled,
) -> None:
    made = settled(9, loss=0.01)
    address, caller = (
        _domain(made, "domain-0")[0],
        _domain(made, "domain-3")[0],
    )
    vm = made.nodes[address].local_record.vm
    made.stop(address)
    _silence(made)
    fleet.observe_call(made.nodes[caller], vm, False, "", made.now)
    assert made.run(3, lambda: _shunned(made, vm))


def test_leaving_vm_gets_no_work_within_3_s(settled: Settled) -> None:
    made = settled(10, loss=0.01)
    for address in (
        _domain(made, "domain-0")[0],
        _domain(made, "domain-4")[1],
    ):
        node = made.nodes[address]
        _silence(made)
        made.perform(address, fleet.set_leaving(node, made.now, made.rng))
        shunned = functools.partial(_shunned, made, node.local_record.vm)
        assert made.run(3, shunned)


def test_leaving_by_the_vm_list_reaches_all_within_3_s(
    settled: Settled,
) -> None:
    made = settled(11)
    first, *rest = made.platform.contents.vms
    leaving = msgspec.structs.replace(first, state="leaving")
    made.publish(vms=(leaving, *rest))
    assert made.run(3, lambda: _shunned(made, first.vm))
    assert made.run(10, lambda: "listed_as_leaving" in _events(made, 0))


def test_one_broken_link_accuses_nobody(settled: Settled) -> None:
    """One daemon cannot call one of its peers, which all others reach.

    On its word alone a healthy VM would be shunned by the whole fleet.
    """
    made = settled(12)
    one, other, *_ = _domain(made, "domain-0")
    since = made.now
    made.broken.add((one, other))
    made.run(60)
    assert not SUSPICIONS.intersection(_events(made, since))
    vm = made.nodes[other].local_record.vm
    assert vm not in _chosen(made, one)
    assert vm in _chosen(made, _domain(made, "domain-0")[2])


def test_lost_watch_costs_one_read_each_and_rests_while_down(
    settled: Settled, make_bundle: Make
) -> None:
    """The platform is down for two minutes and comes back.

    Every watcher loses its watch at once; they must not read in step, nor
    the fleet with them, and must have what changed meanwhile.
    """
    made = settled(13)
    before = sum(made.platform.calls.values())
    made.platform_goes(up=False)
    made.run(120)
    while_down = sum(made.platform.calls.values()) - before
    made.platform.publish(bundles=(make_bundle(2),))
    made.platform_goes(up=True)
    since = made.now
    assert made.run(31, lambda: made.at_version(2))
    made.run(31)
    assert len(made.watching) == 12
    assert while_down < 24 * 3 * 12
    assert made.platform.peak(since) <= 24 * 3


def test_all_start_at_once_and_most_never_read(settled: Settled) -> None:
    """Power is back in all domains: every daemon starts with nothing.

    If each read the platform, 1,300 would ask it in the same second.
    """
    made = settled(14)
    readers = sum(made.platform.calls.values()) / 3
    assert readers < 24 * 1.5
    assert len(made.watching) == 12
    assert len({tuple(n.bucket_checksums) for n in made.nodes.values()}) == 1


def test_replaced_vm_with_a_new_incarnation_is_taken_in(
    settled: Settled,
) -> None:
    made = settled(15)
    address = _domain(made, "domain-2")[0]
    node = made.nodes[address]
    made.stop(address)
    made.run(20)
    made.start(node.local_record, tuple(_domain(made, "domain-0")))
    made.run(10)
    incarnation = made.nodes[address].incarnation
    assert incarnation > node.incarnation
    for other in made.nodes.values():
        assert fleet.incarnation_of(other, node.local_record.vm) == incarnation
        assert other.members[node.local_record.vm].liveness == 0
