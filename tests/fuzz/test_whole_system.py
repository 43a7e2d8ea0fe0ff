"""Stateful fuzzing of several daemons' decision cores together.

``HYPOTHESIS_PROFILE=long`` runs more and longer sequences.
"""

from __future__ import annotations

import os
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from sassafrasstair import outcomes
from tests.fuzz import daemons
from tests.fuzz import members
from tests.fuzz import upstreams
from tests.fuzz import worlds

if typing.TYPE_CHECKING:
    from collections import abc

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=160,
    stateful_step_count=40,
    # Without shrinking a failing run ends as soon as a good one.
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.register_profile(
    "long",
    hypothesis.settings.get_profile("ci"),
    derandomize=False,
    phases=[hypothesis.Phase.generate, hypothesis.Phase.shrink],
    max_examples=int(os.environ.get("FUZZ_EXAMPLES", "2000")),
    stateful_step_count=80,
)
PROFILE = os.environ.get("HYPOTHESIS_PROFILE", "ci")
STARTED_IN = 12.0
IN_FORCE_IN = 6.0
RETRIES = 1
DONE_IN = 2.0
KILLED_AFTER = 0.1
IMPATIENT = 5
LEAST_STEPS = 1_000
vms = st.sampled_from(worlds.VMS)
shares = st.sampled_from((0.0, 0.1, 0.5))
FAULTS = (
    "kill",
    "pause",
    "cut",
    "weather",
    "platform",
    "publish",
    "upstream",
    "leave",
)
steps = {"taken": 0}


Rule = typing.TypeVar("Rule")


def may(fault: str) -> abc.Callable[[Rule], Rule]:
    """Allow a rule in those examples that have its kind of fault."""

    def is_allowed(machine: WholeSystem) -> bool:
        return fault in machine.faults

    wrap = stateful.precondition(is_allowed)
    return typing.cast("abc.Callable[[Rule], Rule]", wrap)


class WholeSystem(stateful.RuleBasedStateMachine):
    world: worlds.World
    faults: abc.Set[str] = frozenset()

    # All faults at once leave little that is served: each example has few.
    @stateful.initialize(
        seed=st.integers(0, 2**16),
        faults=st.sets(st.sampled_from(FAULTS), min_size=1, max_size=4),
    )
    def start(self, seed: int, faults: set[str]) -> None:
        self.faults = faults
        self.world = worlds.World(seed)
        self.version = 1
        self.works = 0
        self.taking: set[int] = set()
        for vm in worlds.VMS:
            daemons.Daemon(self.world, vm)
        self.world.run(STARTED_IN)
        self.disturbed()
        if "upstream" in faults:
            self.upstream("ledger", slow=1.0, refuses=0.0, loses=0.5)

    def teardown(self) -> None:
        if hasattr(self, "world"):
            self.calm()
            self.whole()

    def disturbed(self) -> None:
        self.world.disturbed = self.world.now

    # Callers.

    @stateful.rule(
        vm=vms,
        kind=st.sampled_from(("lookup", "report")),
        count=st.sampled_from((1, 8, 8, 60)),
    )
    def look_up(self, vm: str, kind: str, count: int) -> None:
        for _ in range(count):
            self.works += 1
            use = worlds.Use("", self.works, kind, vm)
            upstreams.ask(self.world, use, f"caller-{self.works}")

    @stateful.rule(vm=vms, count=st.sampled_from((1, 3)))
    def write_down(self, vm: str, count: int) -> None:
        for _ in range(count):
            self.works += 1
            self.post(vm, self.works)

    def post(self, vm: str, work: int) -> None:
        daemon = self.world.daemons[vm]
        if not daemon.alive or work in self.taking:
            return
        self.taking.add(work)

        def got(ticket: str) -> None:
            self.taking.discard(work)
            if ticket:
                use = worlds.Use("", work, "write-down", vm, ticket)
                upstreams.ask(self.world, use, f"caller-{work}")

        daemon.take_ticket("write-down", upstreams.once_only(got))

    @stateful.rule(vm=vms, pick=st.integers(0, 7))
    def repeat(self, vm: str, pick: int) -> None:
        """Ask again: with the same ticket unless told "not run"."""
        latest = {
            use.work: use for use in self.world.oracle.uses if use.ticket
        }
        if not latest:
            return
        use = list(latest.values())[-1 - pick % len(latest)]
        upstreams.give_up(self.world, use)
        if use.told and use.told[0] is outcomes.Outcome.NOT_RUN:
            self.post(vm, use.work)
            return
        again = worlds.Use(
            "",
            use.work,
            use.request_class,
            vm,
            use.ticket,
            use.repeat + 1,
        )
        upstreams.ask(self.world, again, f"caller-{use.work}")

    @stateful.rule(
        vm=vms, other=vms, seconds=st.sampled_from((0.01, 0.03, 0.3))
    )
    def impatient(self, vm: str, other: str, seconds: float) -> None:
        """Take tickets, use them, and soon use them again elsewhere."""
        self.write_down(vm, IMPATIENT)
        for entrance in (other, vm):
            self.world.run(seconds)
            for pick in range(IMPATIENT):
                self.repeat(entrance, pick)

    # Time and faults.

    @stateful.rule(seconds=st.sampled_from((0.005, 0.02, 0.1, 1.0, 4.0)))
    def advance(self, seconds: float) -> None:
        self.world.run(seconds)

    @may("kill")
    @stateful.rule(vm=vms, other=vms, back=st.booleans())
    def kill(self, vm: str, other: str, back: bool) -> None:
        self.write_down(other, IMPATIENT)
        self.world.run(KILLED_AFTER)
        self.disturbed()
        self.world.daemons[vm].alive = False
        for use in self.world.oracle.uses:
            if use.vm == vm and use.told is None:
                use.open = False
        if back:
            self.restart(vm)
        for pick in range(IMPATIENT):
            self.repeat(other, pick)

    @stateful.rule(vm=vms)
    def restart(self, vm: str) -> None:
        self.disturbed()
        if not self.world.daemons[vm].alive:
            self.world.oracle.leaving.pop(vm, None)
            self.world.platform.list_as(vm, "live")
            daemons.Daemon(self.world, vm)

    @may("pause")
    @stateful.rule(vm=vms, seconds=st.sampled_from((0.5, 2.0, 7.0)))
    def pause(self, vm: str, seconds: float) -> None:
        self.disturbed()
        self.world.daemons[vm].paused_until = self.world.now + seconds

    @may("cut")
    @stateful.rule(cut=st.booleans())
    def cut(self, cut: bool) -> None:
        self.disturbed()
        pair = frozenset(worlds.DOMAINS)
        self.world.cuts = {pair} if cut else set()

    @may("weather")
    @stateful.rule(loss=shares, doubled=shares, late=shares)
    def weather(self, loss: float, doubled: float, late: float) -> None:
        self.disturbed()
        self.world.loss, self.world.doubled = loss, doubled
        self.world.late = late

    @may("platform")
    @stateful.rule(down=st.booleans(), lag=st.sampled_from((0, 2)))
    def platform(self, down: bool, lag: int) -> None:
        self.disturbed()
        self.world.platform.down = down
        self.world.platform.lag["a"] = lag

    @may("publish")
    @stateful.rule(
        rollout=st.sampled_from(("", "a", "b")), rivals=st.booleans()
    )
    def publish(self, rollout: str, rivals: bool) -> None:
        self.version += 1
        texts = [worlds.envelope(self.version, 0, rollout)]
        if rivals:
            texts.append(worlds.envelope(self.version, 1, rollout))
        self.world.platform.publish(*texts)

    @may("upstream")
    @stateful.rule(
        service=st.sampled_from(("poster", "ledger")),
        slow=st.sampled_from((1.0, 1.0, 1.0, 40.0)),
        refuses=st.sampled_from((0.0, 0.0, 0.5)),
        loses=st.sampled_from((0.0, 0.5)),
    )
    def upstream(
        self, service: str, slow: float, refuses: float, loses: float
    ) -> None:
        for vm in worlds.VMS:
            if vm.startswith(service):
                changed = upstreams.Upstream(slow, refuses, loses)
                self.world.upstreams[vm] = changed

    @may("leave")
    @stateful.rule(vm=vms, signalled=st.booleans())
    def leave(self, vm: str, signalled: bool) -> None:
        daemon = self.world.daemons[vm]
        if not daemon.alive:
            return
        self.world.oracle.leaving.setdefault(vm, self.world.now)
        if signalled:
            daemon.stop()
        else:
            self.world.platform.list_as(vm, "leaving")

    # What must always hold.

    def calm(self) -> None:
        """Without faults all agree within seconds and all are answered."""
        world = self.world
        self.cut(cut=False)
        self.weather(0.0, 0.0, 0.0)
        self.platform(down=False, lag=0)
        asleep = max(one.paused_until for one in world.daemons.values())
        world.run(max(0.0, asleep - world.now))
        for vm in worlds.VMS:
            self.restart(vm)
            world.upstreams[vm] = upstreams.Upstream()
        world.run(STARTED_IN)
        self.publish("", rivals=False)
        world.run(IN_FORCE_IN)
        wanted = members.place(worlds.verify(worlds.envelope(self.version)))
        for vm, daemon in world.daemons.items():
            if daemon.alive:
                assert daemon.bundle, f"{vm} has no bundle"
                assert members.place(daemon.bundle) == wanted, vm
        for use in world.oracle.uses:
            answered = use.told or not use.open
            assert answered, f"{use.root} was never answered"
        if not world.oracle.leaving:
            self.serves()

    def serves(self) -> None:
        """Without faults every request is done."""
        before = len(self.world.oracle.uses)
        for vm in worlds.VMS:
            self.look_up(vm, "lookup", 1)
            self.write_down(vm, 1)
            self.world.run(DONE_IN)
        uses = self.world.oracle.uses[before:]
        told = [use.told and use.told[0] for use in uses]
        done = [outcomes.Outcome.DONE] * 2 * len(worlds.VMS)
        assert told == done, uses

    @stateful.invariant()
    def whole(self) -> None:
        steps["taken"] += 1
        oracle = self.world.oracle
        assert not oracle.faults
        for (service, work), times in oracle.ran.items():
            assert times <= 1, f"{service} ran {work} {times} times"
        for ticket in oracle.not_run:
            assert not oracle.tickets_ran[ticket], "not run, but it ran"
        # A link never doubles; tickets hold without that, plain ones do not.
        for root in oracle.roots_not_run - oracle.doubled.keys():
            assert not oracle.roots_ran[root], f"{root} not run, but it ran"
        for (root, _), sends in oracle.sends.items():
            most = (1 + RETRIES) * (1 + oracle.doubled[root])
            assert sends <= most, f"{root} was sent {sends} times"


def test_whole_system() -> None:
    profile = hypothesis.settings.get_profile(PROFILE)
    stateful.run_state_machine_as_test(WholeSystem, settings=profile)
    print(f"fuzz {PROFILE}: {steps['taken']} steps")
    assert steps["taken"] >= LEAST_STEPS
