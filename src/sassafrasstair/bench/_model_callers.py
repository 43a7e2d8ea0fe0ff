"""The fake callers: they retry hard, the same under every policy.

A refusal with Retry-After is honoured to the letter; any other failure is
repeated soon. The caller gives a try up at its class's deadline.
"""

from __future__ import annotations

import dataclasses
import itertools
import typing

from sassafrasstair.bench import _model_meters
from sassafrasstair.decisions import calls
from sassafrasstair import outcomes

if typing.TYPE_CHECKING:
    from sassafrasstair.bench import _model_worlds
    from sassafrasstair.bench import _overload_mixes

REPEATS_MAX = 2
SOON_SECONDS = (0.05, 0.3)
POPULATION = 5_000


@dataclasses.dataclass(slots=True)
class Request:
    """One caller's request over all of its tries."""

    serial: int
    caller: str
    kind: _overload_mixes.Kind
    first: float
    repeat: int = 0


class Callers:
    """Callers that send at a rate to entrances in all failure domains."""

    def __init__(self, world: _model_worlds.World) -> None:
        self._world = world
        self._serial = itertools.count()
        self._weights = [kind.part for kind in world.mix.kinds]
        self.rate = 0.0

    def start(self) -> None:
        """Send the first request, and from then on by the rate."""
        self._plan_next()

    def _plan_next(self) -> None:
        timeline = self._world.timeline
        gap = self._world.rng.expovariate(self.rate)
        timeline.at(timeline.now + gap, self._send_first)

    def _send_first(self) -> None:
        rng = self._world.rng
        kinds = self._world.mix.kinds
        kind = rng.choices(kinds, self._weights)[0]
        caller = f"caller-{rng.randrange(POPULATION)}"
        now = self._world.timeline.now
        self._try(Request(next(self._serial), caller, kind, now))
        self._plan_next()

    def _try(self, request: Request) -> None:
        world = self._world
        now = world.timeline.now
        kind = request.kind
        call_id = f"{request.serial}.{request.repeat}"
        rules = world.mix.bundle.classes[kind.name]
        deadline = now + rules.deadline_ms / 1000
        tried = _model_meters.Try(now, request.first, deadline, kind.important)
        world.meter.tries[call_id] = tried
        call = calls.Call(
            call_id,
            kind.chain[0],
            kind.name,
            "main",
            request.caller,
            deadline,
            request.repeat,
            rules.retries,
            ticket="ticket" if rules.once else "",
        )
        arrives = now + world.mix.client_delay
        world.timeline.at(arrives, self._enter, request, tried, call)

    def _enter(
        self,
        request: Request,
        tried: _model_meters.Try,
        call: calls.Call,
    ) -> None:
        world = self._world
        drawn = world.rng.choice(world.targets[call.service])
        vm = world.vms[drawn.vm]
        if not vm.alive:
            # The connection fails and the caller takes the next address.
            later = world.timeline.now + 2 * world.mix.client_delay
            world.timeline.at(later, self._enter, request, tried, call)
            return
        ended = False

        def reply(effect: calls.Effect) -> None:
            nonlocal ended
            if not ended:
                ended = True
                back = world.timeline.now + world.mix.client_delay
                world.timeline.at(back, self._replied, request, tried, effect)

        def give_up() -> None:
            nonlocal ended
            if ended:
                return
            ended = True
            if vm.policy.propagates:
                world.leave(vm, key)
            reason = outcomes.Reason.DEADLINE_PASSED
            effect = calls.Refuse(outcomes.Outcome.UNKNOWN, reason)
            self._replied(request, tried, effect)

        key = world.enter(vm, call, reply)
        if not ended:
            world.timeline.time_out(call.deadline, give_up)

    def _replied(
        self,
        request: Request,
        tried: _model_meters.Try,
        effect: calls.Effect,
    ) -> None:
        timeline = self._world.timeline
        if isinstance(effect, calls.Deliver):
            tried.done_at = timeline.now
            return
        if request.repeat >= REPEATS_MAX:
            return
        wait = self._world.rng.uniform(*SOON_SECONDS)
        if isinstance(effect, calls.Refuse) and effect.retry_after > 0:
            wait = effect.retry_after
        request.repeat += 1
        timeline.at(timeline.now + wait, self._try, request)
