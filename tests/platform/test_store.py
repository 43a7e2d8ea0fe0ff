"""The client of the store, tested with a scripted server."""

from __future__ import annotations

import asyncio
import json
import typing

import pytest

from sassafrasstair import clocks
from sassafrasstair.decisions import policies
from sassafrasstair.decisions import views
from sassafrasstair import forwarding
from sassafrasstair.platform import _items
from sassafrasstair.platform import _store
from tests.platform import samples

HOST = "127.0.0.1"
CONFIG = {
    "version": "r12",
    "routes": {
        "one": samples.ROUTE,
        "two": {
            "host": "h",
            "prefix": "/b/",
            "type": "upload",
            "timeout_ms": 800,
            "priority": 2,
            "traffic_split": [
                {"service": "s", "weight": 9},
                {"service": "t", "weight": 1},
            ],
        },
    },
    "services": {"s": {"health_path": "/healthz"}},
    "limits": {"max_header_bytes": 1000, "idle_timeout_ms": 15000},
}


def _encode_response(status: str, body: object, era: str = "") -> bytes:
    text = json.dumps(body).encode()
    field = f"Store-Era: {era}\r\n" if era else ""
    head = f"HTTP/1.1 {status}\r\n{field}Content-Length: {len(text)}\r\n\r\n"
    return head.encode() + text


async def _start_store(
    *responses: bytes | None,
) -> tuple[forwarding.Source, list[str]]:
    """Return a client, and the targets requested from its server.

    The server sends these responses in order. For None it closes the
    connection; after the last one it does not respond.
    """
    remaining = list(responses)
    targets: list[str] = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                writer.close()
                return
            targets.append(head.split(b" ")[1].decode())
            if not remaining:
                continue
            response = remaining.pop(0)
            if response is None:
                writer.close()
                return
            writer.write(response)

    server = await asyncio.start_server(serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    address = forwarding.Address(HOST, port)
    client = _store.open_store(address, samples.REGIONS, clocks.SystemClock())
    return client, targets


def _run(test: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    asyncio.run(asyncio.wait_for(test, 10.0))


def test_reading_combines_all_pages() -> None:
    async def test() -> None:
        first = {
            "items": [samples.item("op/config", CONFIG, 5)],
            "has_more": True,
            "store_revision": 7,
        }
        second = {
            "items": [
                samples.item("servers/i-1", samples.ENTRY, 6),
                samples.item("my/other", 1, 6),
                samples.item("servers/i-2", {"service": 3}, 6),
            ],
            "has_more": False,
            "store_revision": 9,
        }
        source, targets = await _start_store(
            _encode_response("200 OK", first),
            _encode_response("200 OK", second),
        )
        reading = await source.read(stale=False)
        assert (reading.revision, reading.whole) == (7, True)
        assert reading.latest == 9
        policy, instance, unusable = reading.changes
        assert unusable == views.Unusable("i-2")
        assert [each.key for each in reading.refused] == ["servers/i-2"]
        assert isinstance(policy, policies.Policy)
        assert policy.version == 12
        one, two = policy.routes
        assert (one.idempotent, one.importance, one.timeout) == (True, 9, 0.8)
        assert (two.idempotent, two.importance) == (False, 7)
        assert [share.weight for share in two.shares] == [9.0, 1.0]
        assert policy.limits.head_bytes == 1000
        assert instance == samples.INSTANCE
        assert "after=op%2Fconfig" in targets[1]

    _run(test())


@pytest.mark.parametrize(
    ("decoder", "key"),
    [("_decode_change", "servers/i-1"), ("decode_item", "")],
)
def test_item_on_which_a_decoder_fails_is_refused_alone(
    monkeypatch: pytest.MonkeyPatch, decoder: str, key: str
) -> None:
    """A decoder raises an error that it does not declare, for one item.

    If the reading failed, the daemon would ask for the same again and again.
    """
    sound = getattr(_items, decoder)
    calls: list[object] = []

    def fail_at_first(*arguments: object) -> object:
        calls.append(arguments)
        if len(calls) == 1:
            raise ZeroDivisionError("broken on purpose")
        return sound(*arguments)

    monkeypatch.setattr(_items, decoder, fail_at_first)

    async def test() -> None:
        items = [
            samples.item(f"servers/i-{n}", samples.ENTRY, n) for n in (1, 2)
        ]
        body = {"items": items, "has_more": False, "store_revision": 9}
        source, _ = await _start_store(_encode_response("200 OK", body))
        reading = await source.read(stale=False)
        (refused,) = reading.refused
        assert refused.key == key
        assert refused.reason.startswith(_items.DECODER_FAULT)
        (found,) = [
            each
            for each in reading.changes
            if isinstance(each, views.Instance)
        ]
        assert found.id == "i-2"

    _run(test())


def test_page_without_a_valid_key_fails_the_reading() -> None:
    """No item of a page can be decoded, and more pages follow.

    If the reading counted as complete, every instance on the later pages
    would be removed.
    """

    async def test() -> None:
        page = {"items": [7, {}], "has_more": True, "store_revision": 9}
        source, _ = await _start_store(_encode_response("200 OK", page))
        with pytest.raises(forwarding.SourceError) as caught:
            await source.read(stale=False)
        assert caught.value.reason is forwarding.SourceReason.MALFORMED

    _run(test())


def test_reading_of_too_many_pages_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """If it counted as complete, the instances beyond would be removed."""
    monkeypatch.setattr(_store, "PAGES_MAX", 2)

    async def test() -> None:
        pages = [
            {
                "items": [samples.item(f"servers/i-{n}", samples.ENTRY, n)],
                "has_more": True,
                "store_revision": 9,
            }
            for n in (1, 2, 3)
        ]
        source, targets = await _start_store(
            *(_encode_response("200 OK", page) for page in pages)
        )
        with pytest.raises(forwarding.SourceError) as caught:
            await source.read(stale=False)
        assert caught.value.reason is forwarding.SourceReason.MALFORMED
        assert len(targets) == 2

    _run(test())


def test_watch_returns_changes_and_removals() -> None:
    async def test() -> None:
        body = {
            "events": [
                samples.item(
                    "servers/i-1", samples.ENTRY | {"state": "draining"}, 11
                ),
                {"key": "servers/i-2", "revision": 12, "removed": True},
                {"key": "op/else", "revision": 13, "removed": True},
            ],
            "store_revision": 14,
        }
        source, targets = await _start_store(_encode_response("200 OK", body))
        reading = await source.watch(10, 3.0)
        assert (reading.revision, reading.content) == (14, 13)
        leaving, gone = reading.changes
        assert isinstance(leaving, views.Instance)
        assert leaving.state is views.InstanceState.LEAVING
        assert gone == views.Removed("i-2")
        assert "after=10" in targets[0]
        assert "wait_ms=3000" in targets[0]

    _run(test())


def _page(revision: int, more: bool = False) -> dict[str, object]:
    item = samples.item("servers/i-1", samples.ENTRY, revision)
    return {"items": [item], "has_more": more, "store_revision": revision}


def test_reading_of_a_later_era_has_a_greater_revision() -> None:
    """A store restored from an older copy counts its revisions from there.

    Its readings must not be dropped as outdated.
    """

    async def test() -> None:
        source, _ = await _start_store(
            _encode_response("200 OK", _page(900), "3"),
            _encode_response("200 OK", _page(7), "4"),
        )
        before = await source.read(stale=False)
        after = await source.read(stale=False)
        assert after.revision > before.revision
        assert (
            views.era_of(after.revision),
            views.number_in_era(after.revision),
        ) == (
            4,
            7,
        )

    _run(test())


def test_watch_from_an_earlier_era_fails() -> None:
    """After a restore, the store's revision has passed the watched one."""

    async def test() -> None:
        body = {"events": [], "store_revision": 12}
        source, targets = await _start_store(
            _encode_response("200 OK", body, "4")
        )
        with pytest.raises(forwarding.SourceError) as caught:
            await source.watch(views.pack_revision(3, 10), 3.0)
        assert caught.value.reason is forwarding.SourceReason.HISTORY_GONE
        assert "after=10" in targets[0]

    _run(test())


def test_pages_of_two_eras_fail_the_reading() -> None:
    """The store is restored from an older copy between two pages."""

    async def test() -> None:
        source, _ = await _start_store(
            _encode_response("200 OK", _page(900, more=True), "3"),
            _encode_response("200 OK", _page(7), "4"),
        )
        with pytest.raises(forwarding.SourceError) as caught:
            await source.read(stale=False)
        assert caught.value.reason is forwarding.SourceReason.HISTORY_GONE

    _run(test())


@pytest.mark.parametrize("era", ["x", "-1", "1" * 30])
def test_response_with_an_invalid_era_is_rejected(era: str) -> None:
    """Read as era 0, it would make all later revisions look older."""

    async def test() -> None:
        source, _ = await _start_store(
            _encode_response("200 OK", _page(7), era)
        )
        with pytest.raises(forwarding.SourceError) as caught:
            await source.check(fresh=False, latest=False)
        assert caught.value.reason is forwarding.SourceReason.MALFORMED

    _run(test())


@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        (
            _encode_response("410 Gone", {}),
            forwarding.SourceReason.HISTORY_GONE,
        ),
        (_encode_response("503 Busy", {}), forwarding.SourceReason.REFUSED),
        (_encode_response("429 Many", {}), forwarding.SourceReason.REFUSED),
        (
            _encode_response("200 OK", {"no": 1}),
            forwarding.SourceReason.MALFORMED,
        ),
        (b"\x00\x01\r\n\r\n", forwarding.SourceReason.LOST),
        (None, forwarding.SourceReason.LOST),
    ],
)
def test_failure_has_the_matching_reason(
    answer: bytes | None, reason: forwarding.SourceReason
) -> None:
    async def test() -> None:
        source, _ = await _start_store(answer)
        with pytest.raises(forwarding.SourceError) as caught:
            await source.watch(1, 0.1)
        assert caught.value.reason is reason

    _run(test())


def test_store_that_does_not_respond_times_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The link to the store fails without a connection reset.

    Without a time-out the daemon would wait indefinitely and keep serving an
    outdated policy.
    """
    monkeypatch.setattr(_store, "CALL_TIMEOUT_SECONDS", 0.1)

    async def test() -> None:
        source, targets = await _start_store()
        with pytest.raises(forwarding.SourceError) as caught:
            await source.watch(1, 0.1)
        assert caught.value.reason is forwarding.SourceReason.TIMEOUT
        assert len(targets) == 1

    _run(test())


@pytest.mark.parametrize("fresh", [False, True])
def test_check_reads_the_revision_only(fresh: bool) -> None:
    """A check must be cheap, so it reads no items.

    ``fresh`` opens a new connection: an idle one may have died during an
    outage, and could not show that the store is back.
    """

    async def test() -> None:
        body = {"items": [], "has_more": False, "store_revision": 9}
        response = _encode_response("200 OK", body)
        source, targets = await _start_store(response, response, response)
        assert await source.check(False, False) == 9
        assert await source.check(fresh, False) == 9
        opened = typing.cast(
            "_store._StoreClient", source
        )._pool.connections_opened
        assert opened == (2 if fresh else 1)
        assert all("allow_stale=1" in each for each in targets)
        assert all("prefix=no-key" in each for each in targets)

    _run(test())
