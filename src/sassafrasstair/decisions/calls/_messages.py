"""Inputs and effects of an entrance: calls, targets, answers and effects.

All instants are float seconds of the local monotonic clock, and all
durations are float seconds. None of these types leaves the process: on the
wire, the ``daemons`` package sends the remaining time instead of an instant.
"""

from __future__ import annotations

import dataclasses

from sassafrasstair import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A caller's request as the entrance received it.

    ``call_id`` names the root request of the chain and is the same at each
    hop. ``caller`` is the stable identity that load shedding hashes, so that
    the requests of one caller are admitted or refused together. ``repeat``
    counts how often the caller has sent the call again, from 0; ``retries``
    is the number of further attempts that the entrances of the chain may
    still make. ``depth`` is the number of hops before this one. ``ticket`` is
    set exactly if the call is once-only, and names the one daemon process
    that may run it.
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
class Need:
    """What a request needs of the instance that it is sent to.

    ``objective_left`` is the time in seconds in which the answer should come.
    At 0 or below the objective is missed and the choice ignores it.
    """

    route: str
    objective_left: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a callee's daemon reports with each answer.

    ``busy`` is the share of the concurrency limit in use, with queued work
    included, so that it may exceed 1.0. ``floor`` is the shed floor for the
    class of the request: a lower rank is refused at this instance or further
    down the chain (see ``load.rank``). ``limit`` is the concurrency limit,
    and ``service_seconds`` the usual service time; 0 means not reported.
    """

    busy: float = 0.0
    floor: float = 0.0
    limit: float = 0.0
    service_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The end of one attempt, as the entrance's transport reports it.

    ``retries_spent`` is the number of retries used further down the chain.
    ``incarnation`` is that of the callee's daemon. It is set exactly if that
    daemon itself answered, and is tested as a truth value for this.
    """

    outcome: outcomes.Outcome
    reason: outcomes.Reason = outcomes.Reason.NONE
    load: LoadReport = LoadReport()
    retries_spent: int = 0
    retry_after: float = 0.0
    incarnation: str = ""

    @property
    def is_unsent(self) -> bool:
        """Whether nothing of the attempt was sent to the callee's daemon."""
        return (
            self.outcome is outcomes.Outcome.NOT_RUN
            and self.reason is outcomes.Reason.PEER_UNREACHABLE
            and not self.incarnation
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Effect: send attempt ``attempt_id`` of the call to ``target``.

    ``retries`` is how many retries the attempt may use further down the
    chain. The transport must give up at ``deadline`` and report an
    ``Answer``.
    """

    attempt_id: str
    target: Target
    deadline: float
    retries: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Effect: give the caller its final refusal at once.

    ``retry_after`` is in seconds; 0 means that a retry is of no use.
    """

    outcome: outcomes.Outcome
    reason: outcomes.Reason
    retry_after: float = 0.0
    retries_spent: int = 0
    floor: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver:
    """Effect: pass on the answer of attempt ``attempt_id`` unchanged."""

    attempt_id: str
    retries_spent: int = 0
    floor: float = 0.0


Effect = Send | Refuse | Deliver
