"""Model the network between the daemons of a fleet."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import typing

from sassafrasstair import httpio

LINK_SECONDS = 0.001
CONNECT_SECONDS = 0.4
RESEND_SECONDS = 0.3

Handler = typing.Callable[[httpio.Exchange], None]


@dataclasses.dataclass
class Network:
    """Request handlers by host, network faults, and traffic counters.

    ``frozen_hosts`` receive and send no messages, ``dead_hosts`` refuse
    connections. No message passes along the ``blocked_links``, which are
    pairs of a sender and a receiver. ``extra_seconds`` is the added delay
    of all links of a host. A share of ``resent_share`` of the messages is
    resent by TCP and arrives ``RESEND_SECONDS`` later. ``paused_until`` holds
    hosts that run nothing until then: what they would send or receive waits.
    With ``proxy_host`` receivers see that address in place of the sender's.

    ``sent_bytes`` counts the bytes of the answers of each host,
    ``body_bytes`` those of the bodies of all answers.
    """

    handlers: dict[str, Handler] = dataclasses.field(default_factory=dict)
    frozen_hosts: set[str] = dataclasses.field(default_factory=set)
    dead_hosts: set[str] = dataclasses.field(default_factory=set)
    blocked_links: set[tuple[str, str]] = dataclasses.field(
        default_factory=set
    )
    extra_seconds: dict[str, float] = dataclasses.field(default_factory=dict)
    resent_share: float = 0.0
    paused_until: dict[str, float] = dataclasses.field(default_factory=dict)
    proxy_host: str = ""
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(1)
    )
    sent_bytes: dict[str, int] = dataclasses.field(default_factory=dict)
    body_bytes: int = 0
    request_count: int = 0

    def delivers(self, sender: str, receiver: str) -> bool:
        """Return whether a message from the sender reaches the receiver."""
        frozen = self.frozen_hosts & {sender, receiver}
        return not frozen and (sender, receiver) not in self.blocked_links

    def pause_seconds(self, host: str) -> float:
        """Return for how much longer a host runs nothing."""
        now = asyncio.get_running_loop().time()
        return max(0.0, self.paused_until.get(host, 0.0) - now)

    def delay_seconds(self, sender: str, receiver: str) -> float:
        """Return the delay of a message."""
        resend = (
            RESEND_SECONDS if self.rng.random() < self.resent_share else 0.0
        )
        slow = self.extra_seconds.get(sender, 0.0) + self.extra_seconds.get(
            receiver, 0.0
        )
        return LINK_SECONDS + slow + resend


def parse_request(data: bytes, began: float = 0.0) -> httpio.Request:
    """Return the request that the bytes of a job encode."""
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
    """A request as the receiving daemon sees it."""

    def __init__(
        self, network: Network, sender: str, receiver: str, job: httpio.Job
    ) -> None:
        now = asyncio.get_running_loop().time()
        self.request = parse_request(job.data + job.body, now)
        self.peer_host = network.proxy_host or sender
        self.gone: typing.Callable[[], None] | None = None
        self._network = network
        self._sender = sender
        self._receiver = receiver
        self._job = job

    def respond(
        self,
        status: int,
        fields: httpio.Fields,
        body: bytes,
        close: bool = False,
    ) -> None:
        """Send the answer."""
        network, receiver = self._network, self._receiver
        if (
            not network.delivers(receiver, self._sender)
            or receiver in network.dead_hosts
        ):
            return
        network.body_bytes += len(body)
        size = len(body) + sum(len(n) + len(v) for n, v in fields)
        network.sent_bytes[receiver] = (
            network.sent_bytes.get(receiver, 0) + size
        )
        parsed = [(name.lower(), name, value) for name, value in fields]
        found = {lower: value for lower, _, value in parsed}
        answer = httpio.Response(status, parsed, found, body)
        asyncio.get_running_loop().call_later(
            network.delay_seconds(receiver, self._sender),
            self._deliver,
            answer,
        )

    def _deliver(self, answer: httpio.Response) -> None:
        paused = self._network.pause_seconds(self._sender)
        if paused:
            loop = asyncio.get_running_loop()
            loop.call_later(paused, self._deliver, answer)
        elif self._network.delivers(self._receiver, self._sender):
            self._job.end(answer)


class Pool:
    """Connections of one daemon to another."""

    def __init__(self, network: Network, sender: str, receiver: str) -> None:
        self._network = network
        self._sender = sender
        self._receiver = receiver

    def send(self, job: httpio.Job) -> None:
        """Send a request."""
        network = self._network
        loop = asyncio.get_running_loop()
        paused = network.pause_seconds(self._sender)
        if paused:
            loop.call_later(paused, self.send, job)
            return
        network.request_count += 1
        if (
            self._receiver in network.dead_hosts
            or self._receiver not in network.handlers
        ):
            loop.call_later(LINK_SECONDS, job.end, httpio.Failure.NOT_SENT)
        elif network.delivers(self._sender, self._receiver):
            seconds = network.delay_seconds(self._sender, self._receiver)
            loop.call_later(seconds, self._deliver, job)

    def send_on_new(self, job: httpio.Job) -> None:
        """Send a request on a new connection."""
        if not self._network.delivers(self._sender, self._receiver):
            asyncio.get_running_loop().call_later(
                CONNECT_SECONDS, job.end, httpio.Failure.NOT_SENT
            )
            return
        self.send(job)

    def check_refused(self, on_done: typing.Callable[[bool], None]) -> None:
        """Report whether the host refuses a connection."""
        network = self._network
        loop = asyncio.get_running_loop()
        paused = network.pause_seconds(self._sender)
        if paused:
            loop.call_later(paused, self.check_refused, on_done)
            return
        network.request_count += 1
        if network.delivers(self._sender, self._receiver):
            refused = self._receiver in network.dead_hosts
            seconds = network.delay_seconds(self._sender, self._receiver)
            loop.call_later(seconds, on_done, refused)
        else:
            loop.call_later(CONNECT_SECONDS, on_done, False)

    def drop_idle(self) -> None:
        """Do nothing: no connections are kept."""

    def sweep(self, now: float) -> None:
        """Do nothing: no connections are kept."""

    def _deliver(self, job: httpio.Job) -> None:
        network, receiver = self._network, self._receiver
        paused = network.pause_seconds(receiver)
        if paused:
            loop = asyncio.get_running_loop()
            loop.call_later(paused, self._deliver, job)
            return
        if receiver in network.dead_hosts or not network.delivers(
            self._sender, receiver
        ):
            return
        exchange = Exchange(network, self._sender, receiver, job)
        network.handlers[receiver](typing.cast("httpio.Exchange", exchange))


class Pools(dict[str, httpio.Pool]):
    """The pools of one daemon, each created on access."""

    def __init__(self, network: Network, sender: str) -> None:
        super().__init__()
        self._network = network
        self._sender = sender

    def get(self, host: str, default: typing.Any = None) -> typing.Any:
        return Pool(self._network, self._sender, host)
