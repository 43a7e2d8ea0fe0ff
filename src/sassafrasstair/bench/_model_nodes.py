"""VMs that call each other: transport, upstream and nested calls.

Messages between VMs take the network's delay and are lost on a cut or at
a VM that is gone; nothing else tells the sender.
"""

from __future__ import annotations

import dataclasses
import functools
import random
import typing

from sassafrasstair.bench import _model_clock
from sassafrasstair.bench import _model_meters
from sassafrasstair.bench import _model_upstreams
from sassafrasstair.bench import _overload_mixes
from sassafrasstair.bench import _overload_policies
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import load
from sassafrasstair import outcomes

TICK_SECONDS = 0.05
PING_SECONDS = 0.006
PING_TIMEOUT = 0.1
SAMPLE_SECONDS = 0.5
LOCAL_DELAY = _overload_mixes.LOCAL_DELAY
DOMAIN_DELAY = _overload_mixes.DOMAIN_DELAY

_rank = functools.cache(functools.partial(load.rank, epoch=0))

Reply = typing.Callable[[calls.Effect], None]


@dataclasses.dataclass(slots=True)
class Outgoing:
    """A call at an entrance: who gets the answer, what is under way."""

    call: calls.Call
    reply: Reply
    send: calls.Send | None = None


@dataclasses.dataclass(slots=True)
class Job:
    """An attempt at its target VM."""

    source: Node
    key: str
    call: calls.Call
    send: calls.Send
    work: load.Work
    started: bool = False
    nested: str = ""
    stretch_from: float = 0.0
    ends: float = 0.0
    left: float = 1.0
    stretches: tuple[_model_meters.Stretch, ...] = ()


@dataclasses.dataclass(slots=True)
class Node:
    """One VM: the daemon's decisions and the upstream beside it."""

    target: calls.Target
    policy: _overload_policies.Policy
    upstream: _model_upstreams.Upstream
    alive: bool = True
    outgoing: dict[str, Outgoing] = dataclasses.field(default_factory=dict)
    jobs: dict[str, Job] = dataclasses.field(default_factory=dict)


class World:
    """All VMs of one mix under one policy."""

    def __init__(
        self,
        mix: _overload_mixes.Mix,
        make: _overload_policies.Make,
        seed: int,
    ) -> None:
        self.mix = mix
        self.timeline = _model_clock.Timeline()
        self.rng = random.Random(seed)
        self.meter = _model_meters.Meter()
        self.cut_domain = ""
        self.stale = 0.0
        self.chains = {kind.name: kind.chain for kind in mix.kinds}
        self._make = make
        self._reports: list[dict[str, float]] = []
        self._seen = _overload_policies.View(mix.bundle, "", {}, 0.0, self.rng)
        self.nodes: dict[str, Node] = {}
        self.targets: dict[str, list[calls.Target]] = {}
        for service in mix.bundle.services:
            self.targets[service] = [
                calls.Target(f"{service}-{domain}", service, domain, mesh)
                for domain, mesh in mix.bundle.failure_domains.items()
            ]
            for target in self.targets[service]:
                self.start_node(target, cold=False)
        self._tick()
        self._sample()

    def start_node(self, target: calls.Target, cold: bool) -> None:
        """Put a fresh VM in the place of the target."""
        rules = self.mix.bundle.services[target.service]
        now = self.timeline.now
        warm_at = now + rules.cold_start_ms / 1000 if cold else now
        upstream = _model_upstreams.Upstream(
            rules.slots,
            rules.connections,
            self.mix.seconds[target.service],
            cold_from=now,
            warm_at=warm_at,
        )
        incarnation = f"{target.vm}@{now}"
        policy = self._make(
            incarnation, target.failure_domain, target.region, rules, now, cold
        )
        self.nodes[target.vm] = Node(target, policy, upstream)

    def stop_node(self, target: calls.Target) -> None:
        """Take a VM away with all that it held."""
        node = self.nodes[target.vm]
        node.alive = False
        node.jobs.clear()
        node.outgoing.clear()

    def set_pace(self, node: Node, factor: float) -> None:
        """Make the upstream slower, the work under way included."""
        now = self.timeline.now
        change = factor / node.upstream.factor
        node.upstream.factor = factor
        for job in node.jobs.values():
            if now >= job.ends:
                continue
            passed = now - job.stretch_from
            length = job.ends - job.stretch_from
            self._close_stretch(job, job.left * passed / length)
            job.ends = now + (job.ends - now) * change
            self.timeline.at(job.ends, self._worked, node, job)

    def enter(self, node: Node, call: calls.Call, reply: Reply) -> str:
        """Hand a call to the node's entrance; return its key or ""."""
        key, effect = node.policy.begin(
            self._view(node), call, self.targets[call.service]
        )
        if isinstance(effect, calls.Send):
            outgoing = Outgoing(call, reply)
            node.outgoing[key] = outgoing
            self._send(node, key, outgoing, effect)
            return key
        reply(effect)
        return ""

    def leave(self, node: Node, key: str) -> None:
        """Abandon a call: nobody waits for it."""
        outgoing = node.outgoing.pop(key, None)
        if outgoing is None or outgoing.send is None:
            return
        node.policy.abandon(key, self.timeline.now)
        self._cancel(node, outgoing.send)

    def _view(self, node: Node) -> _overload_policies.View:
        self._seen.service = node.target.service
        self._seen.now = self.timeline.now
        return self._seen

    def _post(
        self,
        source: Node,
        target: Node,
        action: typing.Callable[..., None],
        *args: typing.Any,
    ) -> None:
        """Run ``action`` at the target after the delay, unless lost."""
        if self._parted(source, target):
            return
        delay = 0.0
        if source is not target:
            here = source.target.failure_domain
            near = here == target.target.failure_domain
            delay = LOCAL_DELAY if near else DOMAIN_DELAY
        when = self.timeline.now + delay
        self.timeline.at(when, action, target, *args)

    def _parted(self, source: Node, target: Node) -> bool:
        if not target.alive or not source.alive:
            return True
        ends = source.target.failure_domain, target.target.failure_domain
        return ends[0] != ends[1] and self.cut_domain in ends

    def _send(
        self, node: Node, key: str, outgoing: Outgoing, send: calls.Send
    ) -> None:
        outgoing.send = send
        target = self.nodes[send.target.vm]
        self._post(node, target, self._take, node, key, outgoing.call, send)
        self.timeline.time_out(send.deadline, self._time_out, node, key, send)

    def _time_out(self, node: Node, key: str, send: calls.Send) -> None:
        outgoing = node.outgoing.get(key)
        if outgoing is None or outgoing.send is not send:
            return
        if node.policy.propagates:
            self._cancel(node, send)
        reason = outcomes.Reason.DEADLINE_PASSED
        answer = calls.Answer(outcomes.Outcome.UNKNOWN, reason)
        self._answered(node, key, send, answer)

    def _cancel(self, node: Node, send: calls.Send) -> None:
        target = self.nodes[send.target.vm]
        self._post(node, target, self._cancelled, send.attempt_id)

    def _cancelled(self, node: Node, attempt_id: str) -> None:
        if not node.alive:
            return
        now = self.timeline.now
        effects = node.policy.cancel(attempt_id, now)
        job = node.jobs.get(attempt_id)
        if job is not None and not job.started and node.policy.propagates:
            del node.jobs[attempt_id]
        self._apply(node, effects)

    def _take(
        self,
        node: Node,
        source: Node,
        key: str,
        call: calls.Call,
        send: calls.Send,
    ) -> None:
        if not node.alive:
            return
        self.meter.calls[call.call_id, call.service] += 1
        rules = self.mix.bundle.classes[call.request_class]
        work = load.Work(
            send.attempt_id,
            call.request_class,
            call.tenant,
            _rank(rules.importance, call.caller),
            send.deadline,
            rules.refusal.queue_ms / 1000,
        )
        node.jobs[send.attempt_id] = Job(source, key, call, send, work)
        now = self.timeline.now
        self._apply(node, node.policy.offer(work, now))

    def _apply(self, node: Node, effects: list[load.Effect]) -> None:
        for effect in effects:
            job = node.jobs.get(effect.attempt_id)
            if job is None:
                continue
            if isinstance(effect, load.Start):
                self._start(node, job)
            elif isinstance(effect, load.Turn):
                self._end(node, job, None, effect.reason, effect.retry_after)
            else:
                self._abort(node, job)

    def _start(self, node: Node, job: Job) -> None:
        now = self.timeline.now
        job.started = True
        seconds = _model_upstreams.begin(node.upstream, now, self.rng)
        if seconds is None:
            reason = outcomes.Reason.UPSTREAM_REFUSED
            self._end(node, job, load.End.REFUSED, reason)
            return
        job.stretch_from = now
        job.ends = now + seconds
        self.timeline.at(job.ends, self._worked, node, job)

    def _worked(self, node: Node, job: Job) -> None:
        """Go on after the own work: call the next service or finish."""
        now = self.timeline.now
        if node.jobs.get(job.send.attempt_id) is not job or now < job.ends:
            return
        chain = self.chains[job.call.request_class]
        depth = chain.index(job.call.service) + 1
        if depth == len(chain):
            self._note_work(job)
            self._finish(node, job)
            return
        rules = self.mix.bundle.classes[job.call.request_class]
        deadline = now + rules.deadline_ms / 1000
        if node.policy.propagates:
            deadline = job.send.deadline
        call = job.call
        nested = calls.Call(
            call.call_id,
            chain[depth],
            call.request_class,
            call.tenant,
            call.caller,
            deadline,
            call.repeat,
            job.send.retries,
            depth,
            call.ticket,
        )

        def reply(effect: calls.Effect) -> None:
            self._nested(node, job, effect)

        job.nested = self.enter(node, nested, reply)

    def _note_work(self, job: Job) -> None:
        self._close_stretch(job, job.left)
        tried = self.meter.tries.get(job.call.call_id)
        if tried is not None:
            tried.work = job.stretches

    def _close_stretch(self, job: Job, part: float) -> None:
        now = self.timeline.now
        stretch = _model_meters.Stretch(job.stretch_from, now, part)
        job.stretches = (*job.stretches, stretch)
        job.stretch_from = now
        job.left -= part

    def _nested(self, node: Node, job: Job, effect: calls.Effect) -> None:
        if node.jobs.get(job.send.attempt_id) is not job:
            return
        if isinstance(effect, calls.Refuse):
            outcome = effect.outcome
            if outcome is outcomes.Outcome.DONE:
                outcome = outcomes.Outcome.UNKNOWN
            _model_upstreams.end(node.upstream)
            self._end(
                node,
                job,
                load.End.FAILED,
                effect.reason,
                effect.retry_after,
                effect.spent,
                outcome,
            )
        elif isinstance(effect, calls.Deliver):
            self._finish(node, job, effect.spent)

    def _finish(self, node: Node, job: Job, spent: int = 0) -> None:
        _model_upstreams.end(node.upstream)
        reason = outcomes.Reason.NONE
        done = outcomes.Outcome.DONE
        self._end(node, job, load.End.DONE, reason, 0.0, spent, done)

    def _abort(self, node: Node, job: Job) -> None:
        _model_upstreams.end(node.upstream)
        if job.nested:
            self.leave(node, job.nested)
        reason = outcomes.Reason.CANCELLED
        unknown = outcomes.Outcome.UNKNOWN
        end = load.End.CANCELLED
        self._end(node, job, end, reason, 0.0, 0, unknown)

    def _end(
        self,
        node: Node,
        job: Job,
        end: load.End | None,
        reason: outcomes.Reason,
        retry_after: float = 0.0,
        spent: int = 0,
        outcome: outcomes.Outcome = outcomes.Outcome.NOT_RUN,
    ) -> None:
        """Answer the job; ``end`` is None if it never started."""
        del node.jobs[job.send.attempt_id]
        effects: list[load.Effect] = []
        if end is not None:
            now = self.timeline.now
            effects = node.policy.finish(job.send.attempt_id, end, now)
        told = node.policy.told(self._view(node), job.work)
        answer = calls.Answer(
            outcome, reason, told, spent, retry_after, node.target.vm
        )
        self._post(node, job.source, self._answered, job.key, job.send, answer)
        self._apply(node, effects)

    def _answered(
        self, node: Node, key: str, send: calls.Send, answer: calls.Answer
    ) -> None:
        outgoing = node.outgoing.get(key)
        if outgoing is None:
            return
        effect = node.policy.answered(
            self._view(node),
            key,
            send.attempt_id,
            answer,
            self.targets[outgoing.call.service],
        )
        if isinstance(effect, calls.Send):
            self._send(node, key, outgoing, effect)
        elif effect is not None:
            del node.outgoing[key]
            outgoing.reply(effect)

    def _tick(self) -> None:
        now = self.timeline.now
        for node in self.nodes.values():
            if not node.alive:
                continue
            self._apply(node, node.policy.tick(now))
            for vm in node.policy.probe_due(now):
                self._ping(node, self.nodes[vm])
        self.timeline.at(now + TICK_SECONDS, self._tick)

    def _ping(self, node: Node, target: Node) -> None:
        alive = not self._parted(node, target)
        delay = PING_SECONDS if alive else PING_TIMEOUT
        when = self.timeline.now + delay
        self.timeline.at(when, self._pinged, node, target, alive)

    def _pinged(self, node: Node, target: Node, alive: bool) -> None:
        """Note a ping; a dead daemon's attempts are given up as lost."""
        vm = target.target.vm
        node.policy.probed(vm, alive, self.timeline.now)
        if alive:
            return
        reason = outcomes.Reason.PEER_LOST
        lost = calls.Answer(outcomes.Outcome.UNKNOWN, reason)
        for key, outgoing in list(node.outgoing.items()):
            send = outgoing.send
            if send is not None and send.target.vm == vm:
                self._answered(node, key, send, lost)

    def _sample(self) -> None:
        self._reports.append(
            {
                vm: node.upstream.running / node.upstream.slots
                for vm, node in self.nodes.items()
            }
        )
        back = round(self.stale / SAMPLE_SECONDS)
        seen = max(0, len(self._reports) - 1 - back)
        self._seen.loads = self._reports[seen]
        when = self.timeline.now + SAMPLE_SECONDS
        self.timeline.at(when, self._sample)
