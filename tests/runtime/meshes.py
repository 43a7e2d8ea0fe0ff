"""Two daemons, ``front-1`` and ``back-1``, on one event loop for tests."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import dataclasses
import json
import typing

import aiohttp
from aiohttp import web

from sassafrasstair import bundles
from sassafrasstair import clocks
from sassafrasstair import configservice
from sassafrasstair import runtime
from sassafrasstair.runtime import _control
from sassafrasstair import settings
from tests import loopback

if typing.TYPE_CHECKING:
    from collections import abc

    Handler = abc.Callable[
        [web.BaseRequest], abc.Awaitable[web.StreamResponse]
    ]

PRIVATE, PUBLIC = bundles.new_key_pair()
WAIT = 10.0
GRACE = 60.0
SLOTS = 4
MAX_BODY = 4_000_000
DOCUMENT: dict[str, typing.Any] = {
    "format": 1,
    "mesh": "m",
    "version": 2,
    "supersedes": 1,
    "failure_domains": {"a": "r"},
    "services": {
        name: {"slots": SLOTS, "connections": 99, "cold_start_ms": 0}
        for name in ("front", "back")
    },
    "classes": {
        name: {
            "service": "front" if name == "near" else "back",
            "importance": 5,
            "deadline_ms": 8_000,
            "max_body_bytes": MAX_BODY,
            "once": name == "bind",
            "refusal": {"queue_ms": 7_000},
        }
        for name in ("look", "near", "bind")
    },
    "tenants": {"t": {}},
}


@dataclasses.dataclass(frozen=True, slots=True)
class Mesh:
    """Two running daemons.

    ``url`` is the address of front-1's interface for callers.
    """

    front: runtime.Daemon
    back: runtime.Daemon
    http: aiohttp.ClientSession
    url: str

    def call(
        self, service: str, path: str = "/", **fields: typing.Any
    ) -> typing.Any:
        """Return a request to ``service`` through front-1."""
        method = fields.pop("method", "POST")
        headers = {"sassafras-class": "look", "sassafras-tenant": "t"}
        headers |= fields.pop("headers", {})
        url = f"{self.url}/v1/call/{service}{path}"
        return self.http.request(method, url, headers=headers, **fields)

    async def ticket(self) -> str:
        """Return a ticket of back-1 for ``bind``."""
        url = f"{self.url}/v1/ticket/back"
        headers = {"sassafras-class": "bind"}
        async with self.http.post(url, headers=headers) as answer:
            given: str = (await answer.json())["ticket"]
            return given

    def bind(
        self, ticket: str, repeat: int = 0, **fields: typing.Any
    ) -> typing.Any:
        """Return a once-only request with ``ticket``."""
        headers = {"sassafras-class": "bind", "sassafras-ticket": ticket}
        headers["sassafras-repeat"] = str(repeat)
        return self.call("back", headers=headers, **fields)


def adopt(daemon: runtime.Daemon, version: int, **changes: typing.Any) -> None:
    """Let a daemon adopt ``DOCUMENT`` with ``changes`` as ``version``."""
    versions = {"version": version, "supersedes": version - 1}
    payload = json.dumps(DOCUMENT | versions | changes).encode()
    envelope = bundles.approve(payload, PRIVATE, "ops-1")
    values = {configservice.BUNDLE_IN_FORCE_KEY: envelope}
    snapshot = configservice.Snapshot(version, values)
    _control._handle_bundles(daemon.control, snapshot)


def hold_back_bundles(daemon: runtime.Daemon) -> None:
    """Keep the daemon at the bundles that it has."""
    daemon.control.node.verify = _refuse


def _refuse(_envelope: bytes) -> bundles.ApprovedBundle:
    raise bundles.BundleError(bundles.Defect.BAD_VALUE, "held back")


async def until(condition: abc.Callable[[], object]) -> None:
    """Wait until a condition holds; raise ``TimeoutError`` after ``WAIT``."""
    async with asyncio.timeout(WAIT):
        while not condition():
            await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def started(
    handler: Handler, upstream: str = "", grace: float = GRACE
) -> abc.AsyncIterator[Mesh]:
    """Run both daemons; ``handler`` serves as the upstream of both.

    ``upstream`` is the URL of another upstream to use instead. A stop of
    a daemon has ``grace`` seconds.
    """
    ports = loopback.free_ports(7)
    server = web.Server(handler, handler_cancellation=True)
    await asyncio.get_running_loop().create_server(
        server, "127.0.0.1", ports[6]
    )
    upstream = upstream or f"http://127.0.0.1:{ports[6]}"
    daemons = [
        await _build("front", ports[0:3], ports, upstream, grace),
        await _build("back", ports[3:6], ports, upstream, grace),
    ]
    runs = [asyncio.create_task(runtime.run(one)) for one in daemons]
    await asyncio.sleep(0)
    for one in daemons:
        await _send_platform_state(one.control)
    async with aiohttp.ClientSession() as http:
        mesh = Mesh(
            daemons[0], daemons[1], http, f"http://127.0.0.1:{ports[0]}"
        )
        await until(lambda: all(one.entry.bundle() for one in daemons))
        await until(lambda: all(map(_is_connected, daemons)))
        try:
            yield mesh
        finally:
            for one in daemons:
                runtime.stop(one)
            await asyncio.gather(*runs)
    await server.shutdown()


def _is_connected(daemon: runtime.Daemon) -> bool:
    """Return whether the other daemon has answered an exchange of this one.

    A call is refused if its connection takes longer than 0.4 s, which a
    thread that the machine does not run for as long is enough for.
    """
    return bool(daemon.control.node.peer_settled_by_address)


class _Platform:
    """A platform whose one bundle and two VMs never change."""

    def __init__(self, ports: list[int]) -> None:
        entries = [
            {
                "vm": f"{service}-1",
                "service": service,
                "failure_domain": "a",
                "region": "r",
                "address": f"127.0.0.1:{port}",
                "state": "live",
            }
            for service, port in (("front", ports[1]), ("back", ports[4]))
        ]
        payload = json.dumps(DOCUMENT).encode()
        self._values = {
            configservice.BUNDLE_IN_FORCE_KEY: bundles.approve(
                payload, PRIVATE, "ops-1"
            ),
            configservice.VMS_KEY: json.dumps(entries).encode(),
        }

    async def read(self, prefix: str) -> configservice.Snapshot:
        found = {
            key: value
            for key, value in self._values.items()
            if key.startswith(prefix)
        }
        return configservice.Snapshot(1, found)

    async def watch(
        self, prefix: str, index: int, wait: float
    ) -> configservice.Snapshot:
        await asyncio.sleep(wait)
        return await self.read(prefix)

    async def read_promptly(self, prefix: str) -> configservice.Snapshot:
        return await self.read(prefix)

    async def read_index(self, prefix: str) -> int:
        return 1

    async def close(self) -> None:
        """Close nothing."""


async def _build(
    service: str,
    own_ports: list[int],
    ports: list[int],
    upstream: str,
    grace: float,
) -> runtime.Daemon:
    callers, peers, operators = (f"127.0.0.1:{port}" for port in own_ports)
    key = settings.Key("ops-1", _base64(PUBLIC))
    settings_ = settings.Settings(
        vm=f"{service}-1",
        service=service,
        failure_domain="a",
        region="r",
        callers=settings.Listen(callers),
        peers=settings.Peers(peers, (f"127.0.0.1:{ports[1]}",)),
        operators=settings.Listen(operators),
        upstream=settings.Upstream(upstream),
        platform=settings.Platform(("http://127.0.0.1:1",)),
        keys=(key,),
        stop=settings.Stop(grace),
    )
    daemon = runtime.build(settings_, clocks.SystemClock())
    # Skip the search for a newer bundle at the peers, which takes seconds.
    daemon.control.node.settled = True
    await daemon.control.client.close()
    fake = _Platform(ports)
    daemon.control.client = typing.cast("configservice.Client", fake)
    return daemon


async def _send_platform_state(control: _control.Control) -> None:
    """Pass the platform's state at once: daemons spread their reads."""
    for prefix, handle in (
        (configservice.VMS_KEY, _control._handle_vm_list),
        (configservice.BUNDLES_PREFIX, _control._handle_bundles),
    ):
        handle(control, await control.client.read(prefix))


def _base64(raw: bytes) -> str:
    return base64.b64encode(raw).decode()
