"""What clients get where an instance's answer is cut."""

from __future__ import annotations

import asyncio
import dataclasses
import socket

import pytest

from tests import cut_answers
from tests.forwarding import place
from tests.forwarding import test_path

A, B, C = place.HOSTS
BEHIND = b"r-behind"
"""The id of a request that waits behind the one whose answer is cut."""
UNKNOWN_STATUS = 502
UPLOAD = bytes(400_000)
"""More than the buffers of the instance's connections hold."""
RECEIVE_BUFFER_BYTES = 4096


@dataclasses.dataclass(frozen=True)
class Reply:
    """An answer as a client reads it."""

    status: int
    request_id: bytes
    signed: bool
    body: bytes


class EarlyUpstream(place.Upstream):
    """An instance that answers, and closes, before it has read the body."""

    async def open(self, host: str, port: int) -> None:
        """Listen, and take as little of a body as the system allows."""
        listening = socket.create_server((host, port), backlog=64)
        listening.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        await asyncio.start_server(self.serve, sock=listening, limit=2048)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            writer.close()
            return
        line, *lines = head.rstrip().split(b"\r\n")
        fields = {}
        for field in lines:
            name, _, value = field.partition(b": ")
            fields[name.lower()] = value
        got = place.ReceivedRequest(line, fields, b"", asyncio.Event())
        self.got.append(got)
        await self.script(got, writer)


class World:
    """A client of the daemon on A, and an instance whose answers are cut.

    ``/s/`` is a safe route and ``/u/`` one that is not. The id of a
    request names where its answer is cut.
    """

    def __init__(self, form: cut_answers.Form, resets: bool) -> None:
        self.cluster = place.Cluster()
        self.form = form
        self.resets = resets

    async def start(self, instance: str, *others: str) -> None:
        """Start the daemons, an instance that cuts, and sound ones."""
        cluster = self.cluster
        cluster.policy(
            3, place.route("/s/", "s"), place.route("/u/", "s", False)
        )
        await cluster.upstream(instance, "s", self._cut)
        for host in others:
            await cluster.upstream(host, "s")
        hosts = {A, instance, *others}
        for host in hosts:
            await cluster.daemon(host, "s")
        await cluster.wait_until_known(*hosts)

    async def start_early(self, instance: str) -> None:
        """Start the daemons, and an instance that answers early."""
        cluster = self.cluster
        cluster.policy(3, place.route("/u/", "s", False))
        upstream = EarlyUpstream(self._cut)
        await upstream.open(instance, cluster.ports[3])
        cluster.upstreams[instance] = upstream
        cluster.put_entry(instance, "s")
        hosts = {A, instance}
        for host in hosts:
            await cluster.daemon(host, "s")
        await cluster.wait_until_known(*hosts)

    async def _cut(
        self, got: place.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        request_id = got.fields[b"x-request"]
        cut = cut_answers.cut_of(request_id)
        if cut is None:
            await place.answer(got, writer)
            return
        writer.write(self.form.data(request_id)[:cut])
        cut_answers.end(writer, self.resets)

    def runs(self, request_id: bytes) -> int:
        """Return how often instances received a request."""
        return sum(
            got.fields[b"x-request"] == request_id
            for upstream in self.cluster.upstreams.values()
            for got in upstream.got
        )

    async def call(
        self, *requests: tuple[str, str, bytes], body: bytes = b""
    ) -> list[Reply]:
        """Send requests ahead on one connection; return all answers.

        Each has a method, a path and an id, and all have the same body.
        """
        reader, writer = await asyncio.open_connection(
            A, self.cluster.ports[0]
        )
        for method, path, request_id in requests:
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n"
                f"X-Deadline-Ms: 4000\r\nContent-Length: {len(body)}\r\n"
                f"X-Request: {request_id.decode()}\r\n".encode()
            )
            is_last = request_id == requests[-1][2]
            writer.write(b"Connection: close\r\n\r\n" if is_last else b"\r\n")
            writer.write(body)
        received = await asyncio.wait_for(reader.read(), 10.0)
        writer.close()
        return _replies(received, [method for method, _, _ in requests])


def _replies(received: bytes, methods: list[str]) -> list[Reply]:
    """Return the answers in what a client read, which must be whole."""
    found = []
    for method in methods:
        if not received:
            break
        head, end, received = received.partition(b"\r\n\r\n")
        assert end, head
        line, *lines = head.split(b"\r\n")
        fields = {}
        for field in lines:
            name, _, value = field.partition(b":")
            fields[name.lower()] = value.strip()
        status = int(line.split(b" ")[1])
        size = int(fields.get(b"content-length", b"0"))
        if method == "HEAD" or status in {204, 304}:
            size = 0
        assert len(received) >= size
        body, received = received[:size], received[size:]
        found.append(
            Reply(
                status,
                fields.get(b"x-request", b""),
                b"x-signature" in fields,
                body,
            )
        )
    assert not received
    return found


def _check(world: World, cut: int, reply: Reply) -> None:
    """Check the answer to a request that ran once, on the faulty instance."""
    form = world.form
    request_id = cut_answers.id_of(cut)
    assert reply.request_id == request_id
    assert world.runs(request_id) == 1, f"cut after {cut}"
    may_be_whole = form.has_ended(cut, world.resets)
    must_be_whole = may_be_whole and not world.resets
    if must_be_whole or reply.status != UNKNOWN_STATUS:
        assert may_be_whole, f"{reply.status} after {cut} of {form.size}"
        assert reply.status == form.status
        assert reply.signed
        assert reply.body == form.body_at(cut, request_id)
        return
    assert not reply.signed


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("instance", [A, B], ids=["own", "other"])
@pytest.mark.parametrize("name", cut_answers.FORMS)
def test_cut_answer_gets_one_failure_that_promises_nothing(
    name: str, instance: str, resets: bool
) -> None:
    """Clients got a success whose body was short, framed as whole.

    A request that isn't idempotent runs once; the instance is on the
    client's VM or on another one.
    """

    async def test() -> None:
        world = World(cut_answers.FORMS[name], resets)
        await world.start(instance)
        for cut in world.form.few_cuts():
            request = world.form.method, "/u/", cut_answers.id_of(cut)
            (reply,) = await world.call(request)
            _check(world, cut, reply)

    test_path.run(test())


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("instance", [A, B], ids=["own", "other"])
@pytest.mark.parametrize(
    "name",
    ["length", "chunked", "no_length", "behind_103", "behind_late", "head"],
)
def test_request_that_waits_behind_a_cut_answer_gets_its_own(
    name: str, instance: str, resets: bool
) -> None:
    """The answer behind the cut one belongs to the second request."""

    async def test() -> None:
        world = World(cut_answers.FORMS[name], resets)
        await world.start(instance)
        for cut in world.form.few_cuts():
            first, second = await world.call(
                (world.form.method, "/u/", cut_answers.id_of(cut)),
                ("POST", "/u/", BEHIND),
            )
            _check(world, cut, first)
            assert (second.status, second.request_id) == (200, BEHIND)
            assert second.body == b"whole"

    test_path.run(test())


@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize(
    "name", ["length", "no_length", "behind_100", "behind_late", "304"]
)
def test_idempotent_request_runs_elsewhere_after_a_cut_answer(
    name: str, resets: bool
) -> None:
    """A sound instance is left, and the client gets its answer whole."""

    async def test() -> None:
        world = World(cut_answers.FORMS[name], resets)
        await world.start(A, B)
        for cut in world.form.few_cuts():
            request_id = cut_answers.id_of(cut)
            (reply,) = await world.call((world.form.method, "/s/", request_id))
            assert reply.request_id == request_id
            assert world.runs(request_id) <= 2
            whole = {(200, b"whole")}
            if world.form.has_ended(cut, resets):
                body = world.form.body_at(cut, request_id)
                whole.add((world.form.status, body))
            assert (reply.status, reply.body) in whole

    test_path.run(test())


@pytest.mark.parametrize("instance", [A, B], ids=["own", "other"])
@pytest.mark.parametrize("name", ["length", "chunked", "no_length", "204"])
def test_upload_whose_early_answer_is_cut_fails_and_runs_once(
    name: str, instance: str
) -> None:
    """The connection is reset by what the instance has not read."""

    async def test() -> None:
        world = World(cut_answers.FORMS[name], True)
        await world.start_early(instance)
        for cut in world.form.few_cuts():
            request = "POST", "/u/", cut_answers.id_of(cut)
            (reply,) = await world.call(request, body=UPLOAD)
            _check(world, cut, reply)

    test_path.run(test())
