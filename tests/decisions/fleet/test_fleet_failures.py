from __future__ import annotations

from collections import abc
import functools

import msgspec
import pytest

from sassafrasstair.bench import _capacity_fleets
from sassafrasstair.decisions import fleet
from tests.decisions.fleet import work

MakeBundle = abc.Callable[..., bytes]
MakeFleet = abc.Callable[..., _capacity_fleets.Fleet]
IN_FORCE_SECONDS = 6.0
SUSPICIONS = {"member_suspected", "member_gone"}


def _events(simulation: _capacity_fleets.Fleet, since: float) -> list[str]:
    return [
        report.event for at, _, report in simulation.reports if at >= since
    ]


def _stop_periodic_gossip(simulation: _capacity_fleets.Fleet) -> None:
    """Stop the periodic exchanges, which might spread the change too."""
    for node in simulation.nodes.values():
        node.next_gossip_at = simulation.now + 60


def _addresses_in(simulation: _capacity_fleets.Fleet, name: str) -> list[str]:
    return [
        address
        for address, node in simulation.nodes.items()
        if node.local_record.failure_domain == name
    ]


def test_restart_with_stale_platform_keeps_newest_version(
    settled: MakeFleet, make_bundle: MakeBundle
) -> None:
    """A restarted VM would run an older version than the approved one.

    The platform is restored from an old copy. A daemon then restarts with
    empty memory and reads the platform before it has asked a peer.
    """
    simulation = settled(1)
    old = simulation.platform.contents
    simulation.publish(bundles=(make_bundle(2),))
    assert simulation.run(6, lambda: simulation.at_version(2))
    simulation.platform.contents = old
    address = next(iter(simulation.nodes))
    record = simulation.nodes[address].local_record
    seeds = tuple(_addresses_in(simulation, "domain-0")[1:])
    simulation.in_force[address].clear()
    simulation.start(record, seeds)
    simulation.run(0.01)
    node = simulation.nodes[address]
    effects = fleet.process_platform_bundles(
        node, list(old.bundles), old.index, simulation.now, simulation.rng
    )
    simulation.perform(address, effects)
    simulation.run(6)
    assert [version for _, version in simulation.in_force[address]] == [2]


def test_daemon_without_peers_serves_after_bounded_wait(
    settled: MakeFleet,
) -> None:
    """A restarted daemon that no peer can reach must still serve.

    It is the only VM left in its failure domain, which is partitioned from
    the other domains but not from the platform.
    """
    simulation = settled(2)
    first, *others = _addresses_in(simulation, "domain-0")
    for address in others:
        simulation.stop(address)
    simulation.cut("domain-0")
    simulation.start(simulation.nodes[first].local_record, tuple(others))
    simulation.run(0.01)
    node = simulation.nodes[first]
    assert not fleet.ready_to_serve(node, simulation.now)
    assert simulation.run(
        9, lambda: fleet.ready_to_serve(node, simulation.now)
    )


def test_versions_never_go_back_while_two_operators_approve(
    settled: MakeFleet, make_bundle: MakeBundle
) -> None:
    """Two operators publish version 2 with different contents in turn.

    Watchers may receive the two in different orders; all daemons must
    agree.
    """
    simulation = settled(3, loss=0.05)
    for deadline_ms in (1_000, 2_000, 1_000):
        simulation.publish(bundles=(make_bundle(2, deadline_ms=deadline_ms),))
        simulation.run(0.3)
    simulation.run(6)
    in_force = [fleet.in_force(node) for node in simulation.nodes.values()]
    assert all(bundle == in_force[0] for bundle in in_force)
    for seen in simulation.in_force.values():
        assert [v for _, v in seen] == sorted(v for _, v in seen)


def test_staged_bundle_stays_in_its_failure_domains(
    settled: MakeFleet, make_bundle: MakeBundle
) -> None:
    simulation = settled(4)
    staged = make_bundle(2, rollout=("domain-1",))
    simulation.publish(bundles=(make_bundle(1), staged))
    simulation.run(6)
    for node in simulation.nodes.values():
        bundle = fleet.in_force(node)
        assert bundle is not None
        staged_here = node.local_record.failure_domain == "domain-1"
        assert bundle.version == (2 if staged_here else 1)


def test_dead_watchers_are_replaced(
    settled: MakeFleet, make_bundle: MakeBundle
) -> None:
    """Both watchers of a domain fail, then a version is published.

    The domain is partitioned from the others, so that only its own watchers
    can receive the version.
    """
    simulation = settled(5)
    watchers = [
        a
        for a in _addresses_in(simulation, "domain-0")
        if a in simulation.watching
    ]
    assert len(watchers) == 2
    for address in watchers:
        simulation.stop(address)
    simulation.cut("domain-0")
    simulation.run(15)
    simulation.publish(bundles=(make_bundle(2),))
    assert simulation.run(6, lambda: simulation.at_version(2))


def test_watchers_without_platform_are_supplemented(
    settled: MakeFleet,
) -> None:
    """Both watchers of a domain lose the platform, which others can reach.

    They are alive, so their peers keep them as watchers. Unless they report
    the loss, the domain would receive no changes.
    """
    simulation = settled(6)
    watchers = [
        a
        for a in _addresses_in(simulation, "domain-0")
        if a in simulation.watching
    ]
    for address in watchers:
        del simulation.watching[address]
        for _ in range(3):
            fleet.process_platform_failure(
                simulation.nodes[address], simulation.now, simulation.rng
            )
    simulation.run(10)
    watching = [
        a
        for a in _addresses_in(simulation, "domain-0")
        if simulation.nodes[a].watching
    ]
    assert len(watching) == 4


def test_partitioned_domain_keeps_serving_and_recovers(
    settled: MakeFleet, make_bundle: MakeBundle
) -> None:
    """A failure domain loses the other domains and the platform for 60 s.

    Callers inside must use the instances inside, and no VM may be declared
    dead. Once the partition has healed, the version published meanwhile is
    in force.
    """
    simulation = settled(7)
    inside = _addresses_in(simulation, "domain-0")
    names = {simulation.nodes[address].local_record.vm for address in inside}
    since = simulation.now
    simulation.cut("domain-0")
    simulation.cuts.add(frozenset(("domain-0", "")))
    simulation.publish(bundles=(make_bundle(2),))
    simulation.run(60)
    for address in simulation.nodes:
        chosen = work.callable_vms(simulation, address)
        assert chosen
        assert (chosen <= names) == (address in inside)
    assert not SUSPICIONS.intersection(_events(simulation, since))
    simulation.heal()
    assert simulation.run(6, lambda: simulation.at_version(2))
    simulation.run(6)
    assert all(
        names - {simulation.nodes[a].local_record.vm}
        <= work.callable_vms(simulation, a)
        for a in inside
    )
    assert any(
        names & work.callable_vms(simulation, a)
        for a in _addresses_in(simulation, "domain-1")
    )
    assert all(
        len(work.callable_vms(simulation, a) - names) >= 2 for a in inside
    )


def test_unreachable_domain_gets_no_work_within_3_s(
    settled: MakeFleet,
) -> None:
    """A failure domain becomes unreachable, and one caller's call fails.

    The caller's peers have called no instance there yet. Otherwise each of
    them would lose a call to each unreachable instance.
    """
    simulation = settled(16)
    names = {
        simulation.nodes[a].local_record.vm
        for a in _addresses_in(simulation, "domain-0")
    }
    callers = _addresses_in(simulation, "domain-1")
    simulation.cut("domain-0")
    caller = simulation.nodes[callers[0]]
    fleet.observe_call(caller, min(names), False, "", simulation.now)
    assert simulation.run(
        3,
        lambda: (
            not any(names & work.callable_vms(simulation, a) for a in callers)
        ),
    )


def test_resumed_process_suspects_no_peer_and_gets_work(
    settled: MakeFleet,
) -> None:
    """A process resumes after a pause of two minutes and is marked as gone.

    All its own exchanges are overdue then. It must not suspect its peers,
    and must get work again although no rumour about it is still sent.
    """
    simulation = settled(8)
    address = next(iter(simulation.nodes))
    vm = simulation.nodes[address].local_record.vm
    simulation.pause(address, 120)
    simulation.run(119.9)
    assert work.gets_no_work(simulation, vm)
    since = simulation.now
    assert simulation.run(3, lambda: "refuted" in _events(simulation, since))
    simulation.run(10)
    suspected = {
        report.fields["vm"]
        for at, _, report in simulation.reports
        if at >= since and report.event in SUSPICIONS
    }
    assert not suspected
    for other in simulation.nodes.values():
        assert other.members[vm].liveness == 0
    near = _addresses_in(simulation, "domain-0")
    assert all(
        vm in work.callable_vms(simulation, a) for a in near if a != address
    )


def test_dead_vm_gets_no_work_3_s_after_one_call_to_it_failed(
    settled: MakeFleet,
) -> None:
    simulation = settled(9, loss=0.01)
    address, caller = (
        _addresses_in(simulation, "domain-0")[0],
        _addresses_in(simulation, "domain-3")[0],
    )
    vm = simulation.nodes[address].local_record.vm
    simulation.stop(address)
    _stop_periodic_gossip(simulation)
    fleet.observe_call(simulation.nodes[caller], vm, False, "", simulation.now)
    assert simulation.run(3, lambda: work.gets_no_work(simulation, vm))


def test_leaving_vm_gets_no_work_within_3_s(settled: MakeFleet) -> None:
    simulation = settled(10, loss=0.01)
    for address in (
        _addresses_in(simulation, "domain-0")[0],
        _addresses_in(simulation, "domain-4")[1],
    ):
        node = simulation.nodes[address]
        _stop_periodic_gossip(simulation)
        simulation.perform(
            address, fleet.set_leaving(node, simulation.now, simulation.rng)
        )
        gets_no_work = functools.partial(
            work.gets_no_work, simulation, node.local_record.vm
        )
        assert simulation.run(3, gets_no_work)


def test_leaving_in_vm_list_reaches_all_within_3_s(
    settled: MakeFleet,
) -> None:
    simulation = settled(11)
    first, *rest = simulation.platform.contents.vms
    leaving = msgspec.structs.replace(first, state="leaving")
    simulation.publish(vms=(leaving, *rest))
    assert simulation.run(3, lambda: work.gets_no_work(simulation, first.vm))
    assert simulation.run(
        10, lambda: "listed_as_leaving" in _events(simulation, 0)
    )


def test_one_broken_link_causes_no_suspicion(settled: MakeFleet) -> None:
    """One daemon cannot call one of its peers, which all others reach.

    If its report were enough, a healthy VM would get no work at all.
    """
    simulation = settled(12)
    one, other, *_ = _addresses_in(simulation, "domain-0")
    since = simulation.now
    simulation.broken.add((one, other))
    simulation.run(60)
    assert not SUSPICIONS.intersection(_events(simulation, since))
    vm = simulation.nodes[other].local_record.vm
    assert vm not in work.callable_vms(simulation, one)
    assert vm in work.callable_vms(
        simulation, _addresses_in(simulation, "domain-0")[2]
    )


def test_lost_watches_read_with_backoff_while_platform_is_down(
    settled: MakeFleet, make_bundle: MakeBundle
) -> None:
    """The platform is down for two minutes and comes back.

    All watchers lose their watch at once. Their reads, and those of the rest
    of the fleet, must be spread over time, and changes made meanwhile must
    arrive.
    """
    simulation = settled(13)
    before = sum(simulation.platform.calls.values())
    simulation.platform_goes(up=False)
    simulation.run(120)
    while_down = sum(simulation.platform.calls.values()) - before
    simulation.platform.publish(bundles=(make_bundle(2),))
    simulation.platform_goes(up=True)
    since = simulation.now
    assert simulation.run(31, lambda: simulation.at_version(2))
    simulation.run(31)
    assert len(simulation.watching) == 12
    assert while_down < 24 * 3 * 12
    assert simulation.platform.peak(since) <= 24 * 3


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("seconds", [10.0, 120.0])
@pytest.mark.parametrize(
    ("daemons", "domains"), [(1, 1), (2, 2), (4, 2), (16, 4), (24, 6)]
)
def test_bundle_after_the_platform_was_away_is_in_force_in_time(
    settled: MakeFleet,
    make_bundle: MakeBundle,
    daemons: int,
    domains: int,
    seconds: float,
    seed: int,
) -> None:
    """Few watchers paused up to 30 s each before they asked again."""
    simulation = settled(seed, daemons=daemons, domains=domains)
    simulation.platform_goes(up=False)
    simulation.run(seconds)
    simulation.platform.publish(bundles=(make_bundle(2),))
    simulation.platform_goes(up=True)
    assert simulation.run(IN_FORCE_SECONDS, lambda: simulation.at_version(2))


def test_simultaneous_start_reads_platform_rarely(settled: MakeFleet) -> None:
    """Every daemon starts with empty memory after a power failure.

    If each read the platform, 1,300 would do so in the same second.
    """
    simulation = settled(14)
    readers = sum(simulation.platform.calls.values()) / 3
    assert readers < 24 * 1.5
    assert len(simulation.watching) == 12
    assert (
        len({tuple(n.bucket_checksums) for n in simulation.nodes.values()})
        == 1
    )


def test_new_incarnation_reaches_all_daemons(
    settled: MakeFleet,
) -> None:
    simulation = settled(15)
    address = _addresses_in(simulation, "domain-2")[0]
    node = simulation.nodes[address]
    simulation.stop(address)
    simulation.run(20)
    simulation.start(
        node.local_record, tuple(_addresses_in(simulation, "domain-0"))
    )
    simulation.run(10)
    incarnation = simulation.nodes[address].incarnation
    assert incarnation > node.incarnation
    for other in simulation.nodes.values():
        assert fleet.incarnation_of(other, node.local_record.vm) == incarnation
        assert other.members[node.local_record.vm].liveness == 0
