"""VMs that call each other: transport, upstream and nested calls.

Messages between VMs take the network's delay and are lost on a cut or at
a VM that is gone; nothing else tells the sender.
"""

from __future__ import annotations

import functools
import random
import typing

from sassafrasstair.bench import _model_clock
from sassafrasstair.bench import _model_meters
from sassafrasstair.bench import _model_upstreams
from sassafrasstair.bench import _model_vms
from sassafrasstair.bench import _overload_mixes
from sassafrasstair.bench import _overload_policies
from sassafrasstair.decisions import calls
from sassafrasstair.decisions import load
from sassafrasstair import outcomes

TICK_SECONDS = 0.05
PING_SECONDS = 0.006
PING_TIMEOUT = 0.1
SAMPLE_SECONDS = 0.5

_rank = functools.cache(load.rank)


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
        self.vms: dict[str, _model_vms.Vm] = {}
        self.targets: dict[str, list[calls.Target]] = {}
        for service in mix.bundle.services:
            self.targets[service] = [
                calls.Target(f"{service}-{domain}", service, domain, mesh)
                for domain, mesh in mix.bundle.failure_domains.items()
            ]
            for target in self.targets[service]:
                self.start_vm(target, cold=False)
        self._tick()
        self._sample()

    def start_vm(self, target: calls.Target, cold: bool) -> None:
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
        self.vms[target.vm] = _model_vms.Vm(target, policy, upstream)

    def stop_vm(self, target: calls.Target) -> None:
        """Take a VM away with all that it held."""
        vm = self.vms[target.vm]
        vm.alive = False
        vm.jobs.clear()
        vm.outgoing.clear()

    def set_pace(self, vm: _model_vms.Vm, factor: float) -> None:
        """Make the upstream slower, the work under way included."""
        now = self.timeline.now
        change = factor / vm.upstream.factor
        vm.upstream.factor = factor
        for job in vm.jobs.values():
            if now >= job.ends:
                continue
            passed = now - job.stretch_from
            length = job.ends - job.stretch_from
            _model_vms.close_stretch(job, job.left * passed / length, now)
            job.ends = now + (job.ends - now) * change
            self.timeline.at(job.ends, self._worked, vm, job)

    def enter(
        self, vm: _model_vms.Vm, call: calls.Call, reply: _model_vms.Reply
    ) -> str:
        """Hand a call to the vm's entrance; return its key or ""."""
        key, effect = vm.policy.begin(
            self._view(vm), call, self.targets[call.service]
        )
        if isinstance(effect, calls.Send):
            outgoing = _model_vms.Outgoing(call, reply)
            vm.outgoing[key] = outgoing
            self._send(vm, key, outgoing, effect)
            return key
        reply(effect)
        return ""

    def leave(self, vm: _model_vms.Vm, key: str) -> None:
        """Abandon a call: nobody waits for it."""
        outgoing = vm.outgoing.pop(key, None)
        if outgoing is None or outgoing.send is None:
            return
        vm.policy.abandon(key, self.timeline.now)
        self._cancel(vm, outgoing.send)

    def _view(self, vm: _model_vms.Vm) -> _overload_policies.View:
        self._seen.service = vm.target.service
        self._seen.now = self.timeline.now
        return self._seen

    def _post(
        self,
        source: _model_vms.Vm,
        target: _model_vms.Vm,
        action: typing.Callable[..., None],
        *args: typing.Any,
    ) -> None:
        """Run ``action`` at the target after the delay, unless lost."""
        if self._parted(source, target):
            return
        when = self.timeline.now + _model_vms.delay(source, target)
        self.timeline.at(when, action, target, *args)

    def _parted(self, source: _model_vms.Vm, target: _model_vms.Vm) -> bool:
        if not target.alive or not source.alive:
            return True
        ends = source.target.failure_domain, target.target.failure_domain
        return ends[0] != ends[1] and self.cut_domain in ends

    def _send(
        self,
        vm: _model_vms.Vm,
        key: str,
        outgoing: _model_vms.Outgoing,
        send: calls.Send,
    ) -> None:
        outgoing.send = send
        target = self.vms[send.target.vm]
        self._post(vm, target, self._take, vm, key, outgoing.call, send)
        self.timeline.time_out(send.deadline, self._time_out, vm, key, send)

    def _time_out(self, vm: _model_vms.Vm, key: str, send: calls.Send) -> None:
        outgoing = vm.outgoing.get(key)
        if outgoing is None or outgoing.send is not send:
            return
        if vm.policy.propagates:
            self._cancel(vm, send)
        reason = outcomes.Reason.DEADLINE_PASSED
        answer = calls.Answer(outcomes.Outcome.UNKNOWN, reason)
        self._answered(vm, key, send, answer)

    def _cancel(self, vm: _model_vms.Vm, send: calls.Send) -> None:
        target = self.vms[send.target.vm]
        self._post(vm, target, self._cancelled, send.attempt_id)

    def _cancelled(self, vm: _model_vms.Vm, attempt_id: str) -> None:
        if not vm.alive:
            return
        now = self.timeline.now
        effects = vm.policy.cancel(attempt_id, now)
        job = vm.jobs.get(attempt_id)
        if job is not None and not job.started and vm.policy.propagates:
            del vm.jobs[attempt_id]
        self._apply(vm, effects)

    def _take(
        self,
        vm: _model_vms.Vm,
        source: _model_vms.Vm,
        key: str,
        call: calls.Call,
        send: calls.Send,
    ) -> None:
        if not vm.alive:
            return
        self.meter.calls[call.call_id, call.service] += 1
        rules = self.mix.bundle.classes[call.request_class]
        work = load.Work(
            send.attempt_id,
            call.request_class,
            call.tenant,
            _rank(rules.importance, call.caller, _overload_mixes.VERSION),
            send.deadline,
            rules.refusal.queue_ms / 1000,
        )
        vm.jobs[send.attempt_id] = _model_vms.Job(
            source, key, call, send, work
        )
        now = self.timeline.now
        self._apply(vm, vm.policy.offer(work, now))

    def _apply(self, vm: _model_vms.Vm, effects: list[load.Effect]) -> None:
        for effect in effects:
            job = vm.jobs.get(effect.attempt_id)
            if job is None:
                continue
            if isinstance(effect, load.Start):
                self._start(vm, job)
            elif isinstance(effect, load.TurnAway):
                self._end(vm, job, None, effect.reason, effect.retry_after)
            else:
                self._abort(vm, job)

    def _start(self, vm: _model_vms.Vm, job: _model_vms.Job) -> None:
        now = self.timeline.now
        job.started = True
        seconds = _model_upstreams.begin(vm.upstream, now, self.rng)
        if seconds is None:
            reason = outcomes.Reason.UPSTREAM_REFUSED
            self._end(vm, job, load.End.REFUSED, reason)
            return
        job.stretch_from = now
        job.ends = now + seconds
        self.timeline.at(job.ends, self._worked, vm, job)

    def _worked(self, vm: _model_vms.Vm, job: _model_vms.Job) -> None:
        """Go on after the own work: call the next service or finish."""
        now = self.timeline.now
        if vm.jobs.get(job.send.attempt_id) is not job or now < job.ends:
            return
        chain = self.chains[job.call.request_class]
        depth = chain.index(job.call.service) + 1
        if depth == len(chain):
            self._note_work(job)
            self._finish(vm, job)
            return
        rules = self.mix.bundle.classes[job.call.request_class]
        deadline = now + rules.deadline_ms / 1000
        if vm.policy.propagates:
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
            self._nested(vm, job, effect)

        job.nested = self.enter(vm, nested, reply)

    def _note_work(self, job: _model_vms.Job) -> None:
        now = self.timeline.now
        _model_vms.close_stretch(job, job.left, now)
        tried = self.meter.tries.get(job.call.call_id)
        if tried is not None:
            tried.work = job.stretches

    def _nested(
        self, vm: _model_vms.Vm, job: _model_vms.Job, effect: calls.Effect
    ) -> None:
        if vm.jobs.get(job.send.attempt_id) is not job:
            return
        if isinstance(effect, calls.Refuse):
            _model_upstreams.end(vm.upstream)
            self._end(
                vm,
                job,
                load.End.FAILED,
                effect.reason,
                effect.retry_after,
                effect.retries_spent,
                effect.outcome,
            )
        elif isinstance(effect, calls.Deliver):
            self._finish(vm, job, effect.retries_spent)

    def _finish(
        self, vm: _model_vms.Vm, job: _model_vms.Job, spent: int = 0
    ) -> None:
        _model_upstreams.end(vm.upstream)
        reason = outcomes.Reason.NONE
        done = outcomes.Outcome.DONE
        self._end(vm, job, load.End.DONE, reason, 0.0, spent, done)

    def _abort(self, vm: _model_vms.Vm, job: _model_vms.Job) -> None:
        _model_upstreams.end(vm.upstream)
        if job.nested:
            self.leave(vm, job.nested)
        reason = outcomes.Reason.CANCELLED
        unknown = outcomes.Outcome.UNKNOWN
        end = load.End.CANCELLED
        self._end(vm, job, end, reason, 0.0, 0, unknown)

    def _end(
        self,
        vm: _model_vms.Vm,
        job: _model_vms.Job,
        end: load.End | None,
        reason: outcomes.Reason,
        retry_after: float = 0.0,
        spent: int = 0,
        outcome: outcomes.Outcome = outcomes.Outcome.NOT_RUN,
    ) -> None:
        """Answer the job; ``end`` is None if it never started."""
        del vm.jobs[job.send.attempt_id]
        effects: list[load.Effect] = []
        if end is not None:
            now = self.timeline.now
            effects = vm.policy.finish(job.send.attempt_id, end, now)
        told = vm.policy.told(self._view(vm), job.work)
        answer = calls.Answer(
            outcome, reason, told, spent, retry_after, vm.target.vm
        )
        self._post(vm, job.source, self._answered, job.key, job.send, answer)
        self._apply(vm, effects)

    def _answered(
        self,
        vm: _model_vms.Vm,
        key: str,
        send: calls.Send,
        answer: calls.Answer,
    ) -> None:
        outgoing = vm.outgoing.get(key)
        if outgoing is None:
            return
        effect = vm.policy.answered(
            self._view(vm),
            key,
            send.attempt_id,
            answer,
            self.targets[outgoing.call.service],
        )
        if isinstance(effect, calls.Send):
            self._send(vm, key, outgoing, effect)
        elif effect is not None:
            del vm.outgoing[key]
            outgoing.reply(effect)

    def _tick(self) -> None:
        now = self.timeline.now
        for vm in self.vms.values():
            if not vm.alive:
                continue
            self._apply(vm, vm.policy.tick(now))
            for name in vm.policy.probe_due(now):
                self._ping(vm, self.vms[name])
        self.timeline.at(now + TICK_SECONDS, self._tick)

    def _ping(self, vm: _model_vms.Vm, target: _model_vms.Vm) -> None:
        alive = not self._parted(vm, target)
        delay = PING_SECONDS if alive else PING_TIMEOUT
        when = self.timeline.now + delay
        self.timeline.at(when, self._pinged, vm, target, alive)

    def _pinged(
        self, vm: _model_vms.Vm, target: _model_vms.Vm, alive: bool
    ) -> None:
        """Note a ping; a dead daemon's attempts are given up as lost."""
        name = target.target.vm
        vm.policy.probed(name, alive, self.timeline.now)
        if alive:
            return
        reason = outcomes.Reason.PEER_LOST
        lost = calls.Answer(outcomes.Outcome.UNKNOWN, reason)
        for key, outgoing in list(vm.outgoing.items()):
            send = outgoing.send
            if send is not None and send.target.vm == name:
                self._answered(vm, key, send, lost)

    def _sample(self) -> None:
        self._reports.append(
            {
                name: vm.upstream.running / vm.upstream.slots
                for name, vm in self.vms.items()
            }
        )
        back = round(self.stale / SAMPLE_SECONDS)
        seen = max(0, len(self._reports) - 1 - back)
        self._seen.loads = self._reports[seen]
        when = self.timeline.now + SAMPLE_SECONDS
        self.timeline.at(when, self._sample)
