"""One daemon of a virtual world: the decision cores and what joins them."""

from __future__ import annotations

import dataclasses
import functools
import random
import typing

from sassafrasstair import bundles
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import fleet
from sassafrasstair.decisions import load
from sassafrasstair.decisions import once
from sassafrasstair import outcomes
from tests.fuzz import members
from tests.fuzz import upstreams
from tests.fuzz import worlds

if typing.TYPE_CHECKING:
    from collections import abc

CANCELLED = once.Unknown(outcomes.Reason.CANCELLED)
STEP = 0.05
FLEET_EVERY = 5


class Daemon:
    def __init__(self, world: worlds.World, vm: str) -> None:
        world.starts += 1
        self.world = world
        self.record = worlds.record(vm)
        self.incarnation = f"{world.starts:06d}"
        self.rng = random.Random(world.rng.random())
        self.skew = self.rng.uniform(0.0, 1000.0)
        self.alive, self.stopping = True, False
        self.paused_until = 0.0
        self.steps = self.arriving = 0
        self.watch_failed, self.watched = False, 0
        self.bundle: bundles.Bundle | None = None
        self.calls: dict[str, upstreams.Asked] = {}
        self.bodies: dict[str, bytes] = {}
        self.attempts: dict[str, upstreams.Attempt] = {}
        now = self.now
        self.node = fleet.new_node(
            self.record,
            self.incarnation,
            worlds.VMS,
            worlds.approved,
            now,
            self.rng,
        )
        self.entrance = calls.new_entrance(
            self.incarnation, self.record.failure_domain, "r"
        )
        self.guard = load.new_guard(4, now, cold=True)
        self.owner = once.new_owner(
            vm, self.incarnation, self.rng.randbytes(16), 64
        )
        self.started = world.now
        self.known = world.known_in(vm[-1])
        world.daemons[vm] = self
        self.step()

    @property
    def now(self) -> float:
        return self.world.now + self.skew

    def at(self, delay: float, action: abc.Callable[[], object]) -> None:
        self.world.at(delay, action, self)

    def step(self) -> None:
        self.steps += 1
        self.guarded(load.tick(self.guard, self.now))
        if self.steps % FLEET_EVERY == 0:
            members.carry_out(self, fleet.tick(self.node, self.now, self.rng))
            once.expire(self.owner, self.now)
            members.watch(self)
            self.ping()
        leaving = self.node.members[self.record.vm].leaving
        self.guard.leaving = self.guard.leaving or leaving
        busy = bool(self.guard.running or self.guard.waiting)
        busy = busy or bool(self.calls or self.arriving)
        if self.stopping and not busy and not self.attempts:
            self.alive = False
            self.world.check_stop(self.record.vm)
            self.world.note(f"{self.record.vm} stopped")
        else:
            self.at(STEP, self.step)

    def stop(self) -> None:
        self.stopping = self.guard.leaving = True
        once.stop_issuing(self.owner)
        members.carry_out(
            self, fleet.set_leaving(self.node, self.now, self.rng)
        )

    # The entrance.

    def ping(self) -> None:
        routes = self.entrance.routes
        for vm in calls.probe_due(routes, self.now):

            def serve(peer: Daemon, reply: abc.Callable[[bool], None]) -> None:
                reply(peer.bundle is not None and not peer.guard.leaving)

            def replied(daemon: Daemon, alive: bool, vm: str = vm) -> None:
                calls.probe_ended(
                    daemon.entrance.routes, vm, alive, daemon.now
                )

            def failed(sent: bool) -> None:
                """Leave it ejected."""

            self.world.request(self, vm, serve, replied, failed, 1.0)

    def take_ticket(
        self, request_class: str, got: abc.Callable[[str], object]
    ) -> None:
        """Take a ticket from an instance; ``got`` is told "" of a failure."""
        service = "poster" if request_class == "write-down" else "ledger"
        targets = fleet.targets(self.node, service, self.now)
        if not targets:
            got("")
            return

        def serve(owner: Daemon, reply: abc.Callable[[str], None]) -> None:
            issued = once.issue_ticket(
                owner.owner,
                service,
                request_class,
                worlds.LIFETIME,
                owner.now,
            )
            reply(issued.ticket if isinstance(issued, once.Issued) else "")

        def replied(daemon: Daemon, ticket: str) -> None:
            if daemon is self:
                got(ticket)

        vm = self.rng.choice(targets).vm
        self.world.request(self, vm, serve, replied, lambda _: got(""), 1.0)

    def begin(self, asked: upstreams.Asked) -> str:
        """Take a call; return its key at this entrance, or ""."""
        call, tell = asked.call, asked.tell
        if not self.bundle or not fleet.ready_to_serve(self.node, self.now):
            tell(*self.refusal(call, outcomes.Reason.NO_BUNDLE))
            return ""
        targets = fleet.targets(self.node, call.service, self.now)
        if self.bundle.classes[call.request_class].once:
            name = once.parse_ticket(call.ticket)
            assert name is not None
            known = fleet.incarnation_of(self.node, name.vm)
            if known > name.incarnation:
                tell(*self.refusal(call, outcomes.Reason.OWNER_GONE))
                return ""
            targets = (calls.Target(name.vm, call.service, name.vm[-1], "r"),)
        key, effect = calls.begin_call(
            self.entrance, self.bundle, call, targets, self.now, self.rng
        )
        if key:
            self.calls[key] = asked
        self.act(key, asked, effect)
        return key

    def refusal(
        self, call: calls.Call, reason: outcomes.Reason
    ) -> tuple[outcomes.Outcome, outcomes.Reason, bytes]:
        refused = once.entrance_refusal(call.repeat, reason)
        return refused.outcome, refused.reason, b""

    def act(
        self, key: str, asked: upstreams.Asked, effect: calls.Effect
    ) -> None:
        if isinstance(effect, calls.Send):
            self.send(key, asked.call, asked.work, effect)
            return
        self.calls.pop(key, None)
        tell = asked.tell
        if asked.parent is not None:
            asked.parent.spent += effect.retries_spent
        if isinstance(effect, calls.Deliver):
            body = self.bodies.pop(effect.attempt_id)
            tell(outcomes.Outcome.DONE, outcomes.Reason.NONE, body)
        else:
            tell(effect.outcome, effect.reason, b"")

    def send(
        self, key: str, call: calls.Call, work: int, effect: calls.Send
    ) -> None:
        attempt_id, vm = effect.attempt_id, effect.target.vm
        left = max(0.0, effect.deadline - self.now)
        self.world.oracle.sends[call.call_id, call.service] += 1
        if not call.ticket:
            self.world.check_leaving(vm)

        def serve(callee: Daemon, reply: upstreams.Reply) -> None:
            callee.accept(attempt_id, call, left, work, effect.retries, reply)

        heard = []

        def replied(daemon: Daemon, value: tuple[calls.Answer, bytes]) -> None:
            heard.append(value)
            there = value[0].incarnation
            fleet.observe_call(daemon.node, vm, True, there, daemon.now)
            daemon.answered(key, attempt_id, call, *value)

        def failed(sent: bool) -> None:
            if heard:
                return
            reason = outcomes.Reason.PEER_LOST
            outcome = outcomes.Outcome.UNKNOWN
            if not sent:
                reason = outcomes.Reason.PEER_UNREACHABLE
                outcome = outcomes.Outcome.NOT_RUN
                fleet.observe_call(self.node, vm, False, "", self.now)
            answer = calls.Answer(outcome, reason)
            self.answered(key, attempt_id, call, answer, b"")

        self.world.request(self, vm, serve, replied, failed, left)

    def answered(
        self,
        key: str,
        attempt_id: str,
        call: calls.Call,
        answer: calls.Answer,
        body: bytes,
    ) -> None:
        if self.bundle is None:
            return
        targets = fleet.targets(self.node, call.service, self.now)
        if call.ticket:
            targets = ()
        effect = calls.apply_answer(
            self.entrance,
            self.bundle,
            key,
            attempt_id,
            answer,
            targets,
            self.now,
            self.rng,
        )
        if effect is None:
            self.world.oracle.counts["late answers dropped"] += 1
            return
        self.bodies[attempt_id] = body
        self.act(key, self.calls[key], effect)

    def abandon(self, key: str) -> None:
        """Give up a call whose caller went away, and its attempt."""
        self.calls.pop(key, None)
        pending = self.entrance.pending.get(key)
        attempt_id = calls.abandon_call(self.entrance, key, self.now)
        if pending is not None and attempt_id:
            vm = pending.tried[-1]
            self.world.carry(
                self.record.vm, vm, lambda peer: peer.cancelled(attempt_id)
            )

    # The upstream's side.

    def accept(
        self,
        attempt_id: str,
        call: calls.Call,
        left: float,
        work: int,
        retries: int,
        reply: upstreams.Reply,
    ) -> None:
        self.world.oracle.deliver(call.call_id, attempt_id)
        unfit = outcomes.Reason.NONE
        if self.bundle is None:
            unfit = outcomes.Reason.NO_BUNDLE
        local = call.ticket or f"{attempt_id}/{self.world.rng.random()}"
        if call.ticket:
            arrival = self.arrive(call, unfit)
            if isinstance(arrival, once.Join):
                self.attempts[local].replies[attempt_id] = reply
                return
            if not isinstance(arrival, once.Run):
                reply(self.settled(arrival))
                return
        if self.bundle is None:
            reply(self.settled(once.NotRun(unfit)))
            return
        rules = self.bundle.classes[call.request_class]
        deadline = self.now + left
        call = dataclasses.replace(call, deadline=deadline, retries=retries)
        self.attempts[local] = upstreams.Attempt(
            call, work, {attempt_id: reply}
        )
        rank = load.rank(rules.importance, call.caller, 0)
        work_item = load.Work(
            local,
            call.request_class,
            call.tenant,
            rank,
            deadline,
            rules.refusal.queue_ms / 1000,
        )
        self.guarded(load.offer(self.guard, work_item, self.now))

    def arrive(self, call: calls.Call, unfit: outcomes.Reason) -> once.Arrival:
        name, now = call.request_class, self.now
        if unfit is outcomes.Reason.NONE:
            return once.accept_arrival(self.owner, call.ticket, name, now)
        return once.refuse_arrival(self.owner, call.ticket, name, unfit, now)

    def guarded(self, effects: abc.Iterable[load.Effect]) -> None:
        for effect in effects:
            local = effect.attempt_id
            if isinstance(effect, load.Start):
                self.start(local)
            elif isinstance(effect, load.TurnAway):
                self.check_turn(effect)
                self.end(local, once.NotRun(effect.reason))
            else:
                aborted = functools.partial(self.ended, local, CANCELLED)
                self.at(0.001, aborted)

    def check_turn(self, turn: load.TurnAway) -> None:
        """Check that nothing less important was kept instead."""
        attempt = self.attempts.get(turn.attempt_id)
        if turn.reason is not outcomes.Reason.QUEUE_FULL or not attempt:
            return
        assert self.bundle is not None
        rules = self.bundle.classes[attempt.call.request_class]
        rank = load.rank(rules.importance, attempt.call.caller, 0)
        kept = [one.work.rank for one in self.guard.waiting.values()]
        if min(kept, default=rank) < rank:
            self.world.oracle.faults.append("shed out of order")

    def cancelled(self, attempt_id: str) -> None:
        for local, attempt in list(self.attempts.items()):
            if attempt.replies.pop(attempt_id, None) and not attempt.replies:
                self.guarded(load.cancel(self.guard, local, self.now))
                if local not in self.guard.running:
                    self.end(local, once.NotRun(outcomes.Reason.CANCELLED))

    def start(self, local: str) -> None:
        attempt = self.attempts.get(local)
        if attempt is None:
            return
        ticket = attempt.call.ticket
        if ticket and not once.dispatched(self.owner, ticket, self.now):
            self.at(0.0, lambda: self.ended(local, CANCELLED))
            return
        self.world.check_leaving(self.record.vm)
        upstreams.execute(self, local, attempt)

    def ended(self, local: str, result: once.Result) -> None:
        """Take how a started attempt ended at the upstream."""
        if local not in self.attempts:
            return
        end = load.End.DONE
        if not isinstance(result, once.Done):
            end = load.End.FAILED
        self.end(local, result)
        self.guarded(load.finish(self.guard, local, end, self.now))

    def end(self, local: str, result: once.Result) -> None:
        attempt = self.attempts.pop(local, None)
        if attempt is None:
            return
        ticket = attempt.call.ticket
        if ticket:
            result = once.finish_execution(
                self.owner, ticket, result, self.now
            )
        for reply in attempt.replies.values():
            reply(self.settled(result, attempt.spent))

    def settled(
        self,
        result: once.Result | once.Replay | once.Refused,
        spent: int = 0,
    ) -> tuple[calls.Answer, bytes]:
        outcome, reason, body = (
            outcomes.Outcome.DONE,
            outcomes.Reason.NONE,
            b"",
        )
        if isinstance(result, once.Replay):
            assert isinstance(result.result, once.Done)
            result = result.result
        if isinstance(result, once.Done):
            body = result.body
        elif isinstance(result, once.Refused):
            outcome, reason = result.outcome, result.reason
        else:
            outcome, reason = outcomes.Outcome.UNKNOWN, result.reason
            if isinstance(result, once.NotRun):
                outcome = outcomes.Outcome.NOT_RUN
        told = calls.LoadReport(
            load.busy(self.guard), load.floor(self.guard, self.now)
        )
        answer = calls.Answer(
            outcome, reason, told, spent, incarnation=self.incarnation
        )
        return answer, body
