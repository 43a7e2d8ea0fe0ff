"""Golden files of whole sessions: review them in a diff.

Each line is an event of a daemon, or what callers were told in a second.
After an intended change: ``pytest tests/golden --snapshot-update``.
"""

from __future__ import annotations

import functools
import typing

import pytest
from syrupy.extensions import single_file

from tests.fuzz import daemons
from tests.fuzz import upstreams
from tests.fuzz import worlds

if typing.TYPE_CHECKING:
    from syrupy import assertion

SEED = 7
STARTED_IN = 12.0
ORDINARY = {"lookup": 40, "report": 20, "write-down": 2}
SURGE = {"lookup": 100, "report": 400, "write-down": 10}


class TextExtension(single_file.SingleFileSnapshotExtension):
    _write_mode = single_file.WriteMode.TEXT
    file_extension = "txt"


@pytest.fixture
def golden(snapshot: assertion.SnapshotAssertion) -> typing.Any:
    return snapshot.use_extension(TextExtension)


def start() -> worlds.World:
    world = worlds.World(SEED)
    for vm in worlds.VMS:
        daemons.Daemon(world, vm)
    world.run(STARTED_IN)
    return world


def look_up(world: worlds.World, vm: str, kind: str, work: int) -> None:
    use = worlds.Use("", work, kind, vm)
    upstreams.ask(world, use, f"caller-{work % 50}")


def write_down(world: worlds.World, vm: str, work: int) -> None:
    def got(ticket: str) -> None:
        if not ticket:
            world.oracle.counts["write-down without ticket"] += 1
            return
        use = worlds.Use("", work, "write-down", vm, ticket)
        upstreams.ask(world, use, f"caller-{work % 50}")

    daemon = world.daemons[vm]
    if daemon.alive:
        daemon.take_ticket("write-down", upstreams.once_only(got))


def drive(world: worlds.World, seconds: int, load: dict[str, int]) -> None:
    """Have callers ask for some seconds, and note what they were told."""
    up = [vm for vm in worlds.VMS if not world.daemons[vm].stopping]
    entrances = [vm for vm in up if world.daemons[vm].bundle]
    for _ in range(seconds):
        before = world.oracle.counts.copy()
        for kind, rate in load.items():
            for number in range(rate):
                work = 1 + len(world.oracle.uses) + number
                vm = entrances[number % len(entrances)]
                ask = functools.partial(look_up, world, vm, kind)
                if kind == "write-down":
                    ask = functools.partial(write_down, world, vm)
                world.at((number + 0.5) / rate, functools.partial(ask, work))
        world.run(1.0)
        told = world.oracle.counts - before
        told.pop("none", None)
        lines = [f"{name} {told[name]}" for name in sorted(told)]
        world.note("told: " + ", ".join(lines))


def story(world: worlds.World) -> str:
    oracle = world.oracle
    twice = sum(times > 1 for times in oracle.ran.values())
    lied = sum(bool(oracle.tickets_ran[one]) for one in oracle.not_run)
    open_ = sum(use.open and use.told is None for use in oracle.uses)
    return "\n".join(
        [
            *world.log,
            f"write-downs and entries run: {sum(oracle.ran.values())}",
            f"run twice: {twice}, not run but ran: {lied}",
            f"never answered: {open_}, faults: {oracle.faults or 'none'}",
            "",
        ]
    )


def test_ordinary_day(golden: typing.Any) -> None:
    world = start()
    drive(world, 5, ORDINARY)
    world.run(3.0)
    assert story(world) == golden


def test_surge(golden: typing.Any) -> None:
    world = start()
    drive(world, 2, ORDINARY)
    world.note("surge begins")
    drive(world, 5, SURGE)
    world.note("surge ends")
    drive(world, 4, ORDINARY)
    world.run(3.0)
    assert story(world) == golden


def test_deep_slowdown(golden: typing.Any) -> None:
    world = start()
    drive(world, 2, ORDINARY)
    for slow in (10.0, 1.0):
        world.note(f"ledger takes {slow:.0f} times as long")
        for vm in ("ledger-a", "ledger-b"):
            world.upstreams[vm].slow = slow
        drive(world, 5, ORDINARY)
    world.run(3.0)
    assert story(world) == golden


def test_domain_cut_and_healed(golden: typing.Any) -> None:
    world = start()
    drive(world, 1, ORDINARY)
    world.note("domains a and b are cut from each other")
    world.cuts = {frozenset(worlds.DOMAINS)}
    world.platform.lag["b"] = 1
    world.platform.publish(worlds.envelope(2))
    drive(world, 6, ORDINARY)
    world.note("healed")
    world.cuts = set()
    drive(world, 6, ORDINARY)
    world.run(3.0)
    assert story(world) == golden


def test_bundle_rolled_out_and_superseded(golden: typing.Any) -> None:
    world = start()
    for what, texts in (
        ("v2 for domain a", [worlds.envelope(2, 0, "a")]),
        ("v3 for all", [worlds.envelope(3)]),
        ("two v4", [worlds.envelope(4, 0), worlds.envelope(4, 1)]),
    ):
        world.note(f"published: {what}")
        world.platform.publish(*texts)
        world.run(6.0)
    world.note("platform goes back to v1; ledger-a restarts beside it")
    world.platform.history.append(world.platform.history[0])
    world.daemons["ledger-a"].alive = False
    daemons.Daemon(world, "ledger-a")
    world.run(8.0)
    assert story(world) == golden


def test_planned_stop(golden: typing.Any) -> None:
    world = start()
    drive(world, 1, ORDINARY)
    world.upstreams["poster-a"].slow = 30.0
    world.at(0.5, lambda: world.note("poster-a is told to stop"))
    world.at(0.5, world.daemons["poster-a"].stop)
    drive(world, 1, ORDINARY)
    drive(world, 3, ORDINARY)
    world.note("poster-a starts again")
    world.upstreams["poster-a"].slow = 1.0
    daemons.Daemon(world, "poster-a")
    drive(world, 6, ORDINARY)
    world.run(3.0)
    assert story(world) == golden
