"""Which instance of a service an attempt goes to."""

from __future__ import annotations

import dataclasses
import typing


if typing.TYPE_CHECKING:
    from collections import abc
    import random

    from sassafrasstair.decisions.calls import _messages


@dataclasses.dataclass(slots=True)
class Routes:
    """What this entrance has seen of the instances that it calls."""

    failure_domain: str
    region: str
    inflight: dict[str, int] = dataclasses.field(default_factory=dict)
    loads: dict[str, _messages.Load] = dataclasses.field(default_factory=dict)


def pick(
    routes: Routes,
    targets: abc.Sequence[_messages.Target],
    tried: abc.Collection[str],
    now: float,
    rng: random.Random,
) -> _messages.Target | None:
    """Return the instance for one attempt, or None if none is usable."""
    usable = [target for target in targets if target.vm not in tried]
    return rng.choice(usable) if usable else None


def sent(routes: Routes, vm: str, now: float) -> None:
    """Note that an attempt went to ``vm``."""
    routes.inflight[vm] = routes.inflight.get(vm, 0) + 1


def ended(
    routes: Routes, vm: str, answer: _messages.Answer, now: float
) -> None:
    """Note how an attempt at ``vm`` ended, and the load it told."""
    routes.inflight[vm] = max(0, routes.inflight.get(vm, 0) - 1)
    routes.loads[vm] = answer.load


def probe_due(routes: Routes, now: float) -> list[str]:
    """Return the ejected VMs that a ping should now be sent to."""
    return []


def probed(routes: Routes, vm: str, alive: bool, now: float) -> None:
    """Note the end of a ping to an ejected VM."""
