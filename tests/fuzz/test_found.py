"""Failures that stateful fuzzing found, each with its story."""

from __future__ import annotations

import random

import pytest

from sassafrasstair.decisions import calls
from sassafrasstair.decisions import fleet
from sassafrasstair import outcomes
from tests.fuzz import daemons
from tests.fuzz import worlds

NOT_RUN = outcomes.Outcome.NOT_RUN
UNKNOWN = outcomes.Outcome.UNKNOWN
CUT = calls.Answer(NOT_RUN, outcomes.Reason.PEER_UNREACHABLE)
VOID = calls.Answer(NOT_RUN, outcomes.Reason.QUEUE_FULL, incarnation="1")


def begin(
    repeat: int, targets: tuple[calls.Target, ...]
) -> tuple[calls.Entrance, str, calls.Effect]:
    entrance = calls.new_entrance("1", "a", "r")
    bundle = worlds.verify(worlds.envelope(1))
    call = calls.Call(
        "root",
        "poster",
        "write-down",
        "shop",
        "caller",
        10.0,
        repeat,
        ticket="t",
    )
    rng = random.Random(1)
    return (
        entrance,
        *calls.begin_call(entrance, bundle, call, targets, 0.0, rng),
    )


@pytest.mark.parametrize(
    ("repeat", "answer", "told"),
    [
        (0, CUT, NOT_RUN),
        (1, CUT, UNKNOWN),
        (0, VOID, NOT_RUN),
        (1, VOID, NOT_RUN),
    ],
)
def test_a_repeat_that_cannot_reach_the_owner_is_unknown(
    repeat: int, answer: calls.Answer, told: outcomes.Outcome
) -> None:
    """A shopkeeper's write-down is slow and is repeated elsewhere.

    The second entrance cannot connect to the ticket's owner and says "not
    run"; the first use, still on its way, then runs. The shopkeeper takes
    a new ticket and the write-down is posted twice.
    """
    target = calls.Target("poster-a", "poster", "a", "r")
    entrance, key, sent = begin(repeat, (target,))
    assert isinstance(sent, calls.Send)
    refused = calls.apply_answer(
        entrance,
        worlds.verify(worlds.envelope(1)),
        key,
        sent.attempt_id,
        answer,
        (),
        1.0,
        random.Random(1),
    )
    assert isinstance(refused, calls.Refuse)
    assert refused.outcome is told


@pytest.mark.parametrize(("repeat", "told"), [(0, NOT_RUN), (1, UNKNOWN)])
def test_a_repeat_without_a_known_owner_is_unknown(
    repeat: int, told: outcomes.Outcome
) -> None:
    """The same story, at an entrance that knows no way to the owner."""
    _, _, refused = begin(repeat, ())
    assert isinstance(refused, calls.Refuse)
    assert refused.outcome is told


def test_a_domain_whose_vms_all_leave_gets_new_bundles() -> None:
    """All VMs of a domain are replaced one by one while a bundle comes.

    Each of them is listed as leaving and still serves what it has. Those
    that leave did not watch the platform, so nobody did, and the bundle
    was not in force until a new VM had started.
    """
    world = worlds.World(1)
    for vm in worlds.VMS:
        daemons.Daemon(world, vm)
    world.run(12.0)
    for vm in worlds.VMS:
        world.platform.list_as(vm, "leaving")
    world.run(3.0)
    world.platform.publish(worlds.envelope(2))
    world.run(6.0)
    held = [daemon.bundle for daemon in world.daemons.values()]
    assert [one.version for one in held if one] == [2, 2, 2, 2]


def test_instances_that_are_all_held_back_are_used() -> None:
    """After half a minute of heavy loss all lookups are refused.

    Each daemon has seen all instances come and go, holds them back for up
    to 16 s, and refuses for want of an instance though all of them serve.
    """
    world = worlds.World(1)
    for vm in worlds.VMS:
        daemons.Daemon(world, vm)
    world.run(12.0)
    daemon = world.daemons["ledger-a"]
    for vm in ("poster-a", "poster-b"):
        daemon.node.members[vm].hold_down_until = daemon.now + 10.0
    daemon.node.usability_version += 1
    found = fleet.targets(daemon.node, "poster", daemon.now)
    assert [target.vm for target in found] == ["poster-a", "poster-b"]
