"""Records of the requests under way, which all parts of the path share."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    import asyncio
    from collections import abc

    from sassafrasstair.decisions import calls
    from sassafrasstair.decisions import load
    from sassafrasstair.decisions import requests
    from sassafrasstair.forwarding import _wire
    from sassafrasstair import httpio


@dataclasses.dataclass(slots=True)
class InboundRequest:
    """A request for the upstream, with what its entrance told.

    ``caller`` is the service on the VM where it began, ``host`` names the
    site that it is for. ``trial`` is after how many strikes its entrance tries
    a request again that was blocked, 0 if it was not. ``customer`` names who
    sent it, '' for a request without a key. ``fingerprint`` is worked out when
    it is needed.
    """

    metadata: _wire.RequestMetadata
    caller: str
    request_id: bytes
    method: bytes
    host: bytes
    target: bytes
    fields: httpio.Fields
    body: bytes
    trial_strikes: int = 0
    customer: str = ""
    fingerprint: int | None = None


@dataclasses.dataclass(slots=True)
class Result:
    """The end of a run: the instance's answer, or why there is none."""

    state: _wire.CalleeState
    response: httpio.Response | None


@dataclasses.dataclass(slots=True)
class Execution:
    """One request that waits for the upstream or is there.

    ``guard`` is that of the run of the instance for which it came.
    ``broken`` once its connection has ended without a whole answer.
    ``isolated`` when no other suspect may run beside it.
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
        """What the entrance told of its importance; see ``load.Work``."""
        return self.request.metadata.rank

    @property
    def route(self) -> str:
        """The name of its route."""
        return self.request.metadata.route


@dataclasses.dataclass(eq=False, slots=True)
class Attempt:
    """The attempt under way.

    It goes over the network as ``job``, or as ``run`` to the instance on
    this VM, with ``ask`` and ``fields``. ``born`` is the start of the
    instance that was asked, as the view had it; ``left`` says why it is in
    another failure domain. ``trial`` is that of its ``Order``.
    """

    instance: str
    host: str
    sent_at: float
    born: int
    metadata: _wire.RequestMetadata
    fields: httpio.Fields
    trial_strikes: int = 0
    cross_domain_reason: calls.CrossingReason | None = None
    job: httpio.Job | None = None
    execution_key: str = ""


@dataclasses.dataclass(eq=False, slots=True)
class Call:
    """One client's request under way.

    ``customer`` names who sent it, '' for a request without a key, and
    ``key`` is the digest of its key. ``charged`` while it holds a token of the
    customer's quota. ``fingerprint`` is worked out when it is needed.
    """

    exchange: httpio.Exchange
    request_id: bytes
    progress: requests.Progress
    fields: httpio.Fields
    attempt: Attempt | None = None
    timer: asyncio.TimerHandle | None = None
    customer: str = ""
    key_digest: bytes | None = None
    holds_token: bool = False
    fingerprint: int | None = None
