"""What the entrance decides with: calls, attempts, answers and effects.

All instants are float seconds of the local monotonic clock; all durations
are float seconds. Nothing here crosses a process border: the ``daemons``
package carries the remaining time, never an instant.
"""

from __future__ import annotations

import dataclasses

from sassafrasstair import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One caller's request as the entrance took it.

    ``call_id`` names the root request of the chain and is the same at each
    hop. ``caller`` is the stable identity that shedding hashes, so that one
    caller's requests live or die together. ``repeat`` counts the caller's
    own repeats, from 0. ``retries`` is what is left of the chain's
    allowance. ``ticket`` is empty unless the class is once-only.
    """

    call_id: str
    service: str
    request_class: str
    tenant: str
    caller: str
    deadline: float
    repeat: int = 0
    retries: int = 0
    depth: int = 0
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One instance of a service, with the daemon in its slot."""

    vm: str
    service: str
    failure_domain: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What a callee's daemon says of itself on each answer.

    ``busy`` is the share of its limit in use, queue included (may pass
    1.0). ``floor`` is the shed floor for the answered class: a rank below
    it is refused there or further down the chain (see ``load.rank``).
    ``limit`` is the concurrency limit that ``busy`` is a share of, and
    ``service`` the usual seconds of service; 0 means not told.
    """

    busy: float = 0.0
    floor: float = 0.0
    limit: float = 0.0
    service_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The end of one attempt, as the entrance's transport reports it.

    ``spent`` is how many retries were used further down. ``incarnation``
    is that of the callee's daemon, empty when it never answered.
    """

    outcome: outcomes.Outcome
    reason: outcomes.Reason = outcomes.Reason.NONE
    load: LoadReport = LoadReport()
    retries_spent: int = 0
    retry_after: float = 0.0
    incarnation: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Effect: send attempt ``attempt_id`` of the call to ``target``.

    The transport must give up at ``deadline`` and report an ``Answer``.
    """

    attempt_id: str
    target: Target
    deadline: float
    retries: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Effect: give the caller its final refusal, at once.

    ``retry_after`` is in seconds; 0 means that coming back is of no use.
    """

    outcome: outcomes.Outcome
    reason: outcomes.Reason
    retry_after: float = 0.0
    retries_spent: int = 0
    floor: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver:
    """Effect: pass on the answer of attempt ``attempt_id`` as it came."""

    attempt_id: str
    retries_spent: int = 0
    floor: float = 0.0


Effect = Send | Refuse | Deliver
