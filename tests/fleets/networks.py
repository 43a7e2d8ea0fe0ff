"""The network between the daemons of a modelled fleet."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import typing

from sassafrasstair import httpio

LINK_SECONDS = 0.001
CONNECT_SECONDS = 0.4
AGAIN_SECONDS = 0.3

Serve = typing.Callable[[httpio.Exchange], None]


@dataclasses.dataclass
class Network:
    """Who answers, who is cut, and how many bytes went, ``bodies`` of them.

    A host in ``frozen`` gets and sends nothing, one in ``dead`` refuses
    connections. No message passes from a host to another in ``cut``. The
    links of ``slow`` hosts take so many seconds more. A share ``lost`` of
    the messages is sent again by TCP, and comes a third of a second later.
    """

    serve: dict[str, Serve] = dataclasses.field(default_factory=dict)
    frozen: set[str] = dataclasses.field(default_factory=set)
    dead: set[str] = dataclasses.field(default_factory=set)
    cut: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    slow: dict[str, float] = dataclasses.field(default_factory=dict)
    lost: float = 0.0
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(1)
    )
    sent: dict[str, int] = dataclasses.field(default_factory=dict)
    bodies: int = 0
    questions: int = 0

    def passes(self, one: str, other: str) -> bool:
        """Return whether a message of ``one`` reaches ``other``."""
        away = self.frozen & {one, other}
        return not away and (one, other) not in self.cut

    def seconds(self, one: str, other: str) -> float:
        """Return how long a message takes."""
        again = AGAIN_SECONDS if self.rng.random() < self.lost else 0.0
        slow = self.slow.get(one, 0.0) + self.slow.get(other, 0.0)
        return LINK_SECONDS + slow + again


def parse(data: bytes, began: float = 0.0) -> httpio.Request:
    """Return the request that a job sends."""
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    method, target, _ = lines[0].split(b" ")
    fields = [
        (name.lower(), name, value.strip())
        for name, _, value in (line.partition(b":") for line in lines[1:])
    ]
    found = {lower: value for lower, _, value in fields}
    return httpio.Request(began, method, target, fields, found, body)


class Exchange:
    """A question as the daemon that is asked gets it."""

    def __init__(
        self, network: Network, asker: str, asked: str, job: httpio.Job
    ) -> None:
        self.request = parse(job.data)
        self.peer_host = asker
        self.gone: typing.Callable[[], None] | None = None
        self._network = network
        self._asked = asked
        self._job = job

    def respond(
        self,
        status: int,
        fields: httpio.Fields,
        body: bytes,
        close: bool = False,
    ) -> None:
        """Send the answer."""
        network, asked = self._network, self._asked
        if not network.passes(asked, self.peer_host) or asked in network.dead:
            return
        network.bodies += len(body)
        size = len(body) + sum(len(n) + len(v) for n, v in fields)
        network.sent[asked] = network.sent.get(asked, 0) + size
        parsed = [(name.lower(), name, value) for name, value in fields]
        found = {lower: value for lower, _, value in parsed}
        answer = httpio.Response(status, parsed, found, body)
        asyncio.get_running_loop().call_later(
            network.seconds(asked, self.peer_host), self._arrive, answer
        )

    def _arrive(self, answer: httpio.Response) -> None:
        if self._network.passes(self._asked, self.peer_host):
            self._job.end(answer)


class Pool:
    """Connections of one daemon to another."""

    def __init__(self, network: Network, own: str, host: str) -> None:
        self._network = network
        self._own = own
        self._host = host

    def send(self, job: httpio.Job) -> None:
        """Send a question."""
        network = self._network
        network.questions += 1
        loop = asyncio.get_running_loop()
        if self._host in network.dead or self._host not in network.serve:
            loop.call_later(LINK_SECONDS, job.end, httpio.Failure.NOT_SENT)
        elif network.passes(self._own, self._host):
            seconds = network.seconds(self._own, self._host)
            loop.call_later(seconds, self._arrive, job)

    def send_on_new(self, job: httpio.Job) -> None:
        """Send a question on a new connection."""
        if not self._network.passes(self._own, self._host):
            asyncio.get_running_loop().call_later(
                CONNECT_SECONDS, job.end, httpio.Failure.NOT_SENT
            )
            return
        self.send(job)

    def drop_idle(self) -> None:
        """No connections are kept."""

    def sweep(self, now: float) -> None:
        """No connections are kept."""

    def _arrive(self, job: httpio.Job) -> None:
        network, host = self._network, self._host
        if host in network.dead or not network.passes(self._own, host):
            return
        exchange = Exchange(network, self._own, host, job)
        network.serve[host](typing.cast("httpio.Exchange", exchange))


class Pools(dict[str, httpio.Pool]):
    """The pools of one daemon, each made when it is asked for."""

    def __init__(self, network: Network, own: str) -> None:
        super().__init__()
        self._network = network
        self._own = own

    def get(self, host: str, default: typing.Any = None) -> typing.Any:
        return Pool(self._network, self._own, host)
