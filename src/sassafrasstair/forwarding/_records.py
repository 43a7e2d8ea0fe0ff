"""Records of the requests in flight, shared by the modules of the path."""

from __future__ import annotations

import dataclasses
import math
import typing

if typing.TYPE_CHECKING:
    import asyncio
    from collections import abc

    from sassafrasstair.decisions import calls
    from sassafrasstair.decisions import load
    from sassafrasstair.decisions import requests
    from sassafrasstair.forwarding import _wire
    from sassafrasstair.forwarding import _work_wire
    from sassafrasstair import httpio
    from sassafrasstair import notices


@dataclasses.dataclass(slots=True)
class InboundRequest:
    """A request for this VM's upstream, as its entrance forwarded it.

    ``entrance`` is the host of that daemon, ``caller`` the service on its VM,
    and ``host`` the value of the request's Host field. ``trial_strikes`` is
    the number of strikes after which the entrance tries a blocked request
    again, 0 if the request was not blocked. ``customer`` is the sender's
    name, '' for a request without a key. ``rate_limit`` is the limit in
    requests per second that the instance last named to the entrance, infinite
    if it named none. ``shares_by_depth`` says whether the entrance and all
    daemons above it divide the retry budget by depth. ``last_resort`` is set
    if the entrance knows no other instance that can run the request.
    ``arrived_at`` is when it arrived here. ``fingerprint`` is computed when it
    is needed.
    """

    metadata: _wire.RequestMetadata
    arrived_at: float
    entrance: str
    caller: str
    request_id: bytes
    method: bytes
    host: bytes
    target: bytes
    fields: httpio.Fields
    body: bytes
    trial_strikes: int = 0
    customer: str = ""
    rate_limit: float = math.inf
    fingerprint: int | None = None
    shares_by_depth: bool = False
    last_resort: bool = False


@dataclasses.dataclass(slots=True)
class Result:
    """The end of an execution: the instance's answer, or why it has none.

    ``notice`` is what the instance's daemon knows that it said of itself,
    ``work`` what it knows of the work of the request's route.
    """

    state: _wire.CalleeState
    response: httpio.Response | None
    notice: notices.Notice
    work: _work_wire.WorkReport


@dataclasses.dataclass(slots=True)
class Execution:
    """One request that waits for the upstream or runs there.

    ``guard`` is the guard of the instance that the request names, since the
    instance's latest start when the request arrived. ``job`` is set once the
    request is sent to the upstream. ``connection_broken`` is set if the
    connection ended before the answer was complete. ``isolated`` is set if
    no other suspect may run beside the request.
    """

    key: str
    request: InboundRequest
    deadline: float
    on_done: abc.Callable[[Result], None]
    guard: load.Guard
    job: httpio.Job | None = None
    connection_broken: bool = False
    isolated: bool = False

    @property
    def rank(self) -> float:
        """The rank that the entrance gave the request; see ``load.Work``."""
        return self.request.metadata.rank

    @property
    def route(self) -> str:
        """The name of the request's route."""
        return self.request.metadata.route


@dataclasses.dataclass(eq=False, slots=True)
class Attempt:
    """An attempt of a call.

    ``job`` is set if the attempt goes to another daemon, ``execution_key`` if
    it goes to the instance on this VM. ``metadata`` and ``fields`` are sent
    with it. ``host`` is the address of the instance's VM, and ``born`` the
    instance's start according to the view. ``cross_domain_reason`` says why
    the instance is in another failure domain, None if it is in this one.
    ``expected_seconds`` is what the choice of the instance was made from: the
    expected delay, and if the objective mattered the completion without it.
    ``trial_strikes``, ``shares_by_depth`` and ``last_resort`` are as in
    ``InboundRequest``.
    """

    instance: str
    host: str
    sent_at: float
    born: int
    metadata: _wire.RequestMetadata
    fields: httpio.Fields
    trial_strikes: int = 0
    cross_domain_reason: calls.CrossingReason | None = None
    expected_seconds: float = 0.0
    shares_by_depth: bool = False
    last_resort: bool = False
    job: httpio.Job | None = None
    execution_key: str = ""


@dataclasses.dataclass(eq=False, slots=True)
class Call:
    """One client's request in flight, read whole at ``read_at`` at the latest.

    ``attempt`` is the latest attempt. ``silent_attempts`` were begun before
    it, and wait for an answer though their daemons answer no ping.
    ``fields`` are the header fields to forward, and ``timer`` fires at the
    deadline. ``customer`` is the sender's name, '' for a request without a
    key, ``importance`` the request's, which its customer may set, and
    ``key_digest`` the digest of its API key. ``token_until`` is set
    while the request holds a token of the customer's quota, to the time when
    the token expires. ``last_resorts`` are the instances that were tried
    though their daemons stop. ``fingerprint`` is computed when it is needed.
    """

    exchange: httpio.Exchange
    request_id: bytes
    progress: requests.Progress
    fields: httpio.Fields
    read_at: float
    attempt: Attempt | None = None
    silent_attempts: list[Attempt] = dataclasses.field(default_factory=list)
    timer: asyncio.TimerHandle | None = None
    customer: str = ""
    importance: int = 0
    key_digest: bytes | None = None
    last_resorts: list[str] = dataclasses.field(default_factory=list)
    token_until: float | None = None
    fingerprint: int | None = None

    @property
    def attempts(self) -> list[Attempt]:
        """All attempts that are under way."""
        latest = [] if self.attempt is None else [self.attempt]
        return [*self.silent_attempts, *latest]

    def awaits(self, attempt: Attempt) -> bool:
        """Return whether an attempt is under way."""
        return attempt is self.attempt or attempt in self.silent_attempts
