"""One VM of the model, and the calls and attempts that it holds."""

from __future__ import annotations

import dataclasses
import typing

from sassafrasstair.bench import _model_meters
from sassafrasstair.decisions import calls

if typing.TYPE_CHECKING:
    from sassafrasstair.bench import _model_upstreams
    from sassafrasstair.bench import _overload_policies
    from sassafrasstair.decisions import load

LOCAL_DELAY = 0.0002
DOMAIN_DELAY = 0.0015

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

    source: Vm
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
class Vm:
    """One VM: the daemon's decisions and the upstream beside it."""

    target: calls.Target
    policy: _overload_policies.Policy
    upstream: _model_upstreams.Upstream
    alive: bool = True
    outgoing: dict[str, Outgoing] = dataclasses.field(default_factory=dict)
    jobs: dict[str, Job] = dataclasses.field(default_factory=dict)


def close_stretch(job: Job, part: float, now: float) -> None:
    """Note that the job got through ``part`` of its work until now."""
    stretch = _model_meters.Stretch(job.stretch_from, now, part)
    job.stretches = (*job.stretches, stretch)
    job.stretch_from = now
    job.left -= part


def delay(source: Vm, target: Vm) -> float:
    """Return the seconds that a message takes one way."""
    if source is target:
        return 0.0
    here = source.target.failure_domain
    near = here == target.target.failure_domain
    return LOCAL_DELAY if near else DOMAIN_DELAY
