"""Client of the platform's metadata store, which can only be read."""

from __future__ import annotations

import asyncio
import dataclasses
import typing
import urllib.parse

import msgspec

from sassafrasstair.decisions import views
from sassafrasstair import forwarding
from sassafrasstair import httpio
from sassafrasstair.platform import _documents
from sassafrasstair.platform import _items

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair import clocks

CALL_SECONDS = 2.0
"""For an answer of the store, beside the time that a watch waits. It takes
milliseconds; in a slowdown up to some hundred."""
UNUSED_PREFIX = "no-key-begins-so/"
"""A prefix without items: its reading brings the store's revision alone."""
IDLE_SECONDS = 30.0
PAGES_MAX = 1_000


ERA_HEADER = b"store-era"
"""Counts how often the store has come back from an older copy."""
_ERA_MAX = 1_000_000


class _Range(msgspec.Struct, frozen=True):
    items: tuple[msgspec.Raw, ...]
    store_revision: int
    has_more: bool = False


class _Key(msgspec.Struct, frozen=True):
    store_revision: int


class _Watch(msgspec.Struct, frozen=True):
    store_revision: int
    events: tuple[msgspec.Raw, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """The body of an answer, and the era that the store was in."""

    era: int
    body: bytes


_RANGE = msgspec.json.Decoder(_Range)
_WATCH = msgspec.json.Decoder(_Watch)
_KEY = msgspec.json.Decoder(_Key)
T = typing.TypeVar("T")


class _Store:
    """Connections to the store; one prefix holds all that concerns us."""

    def __init__(
        self, pool: httpio.Pool, regions: abc.Mapping[str, str]
    ) -> None:
        self._pool = pool
        self._regions = regions

    async def read(self, stale: bool) -> forwarding.Reading:
        """Read all items, page by page; raises ``SourceError``.

        The pages are no snapshot: changes after the first are told again
        by a watch that starts at the first page's revision.
        """
        after = ""
        first: _Range | None = None
        era = 0
        read: list[_items.Item] = []
        unread: list[forwarding.RefusedItem] = []
        for _ in range(PAGES_MAX):
            query = {"prefix": ""} | ({"after": after} if after else {})
            if stale:
                query["allow_stale"] = "1"
            answer = await self._call("range", query, CALL_SECONDS)
            page = _decoded(_RANGE, answer.body)
            if first is None:
                first, era = page, answer.era
            elif answer.era != era:
                raise forwarding.SourceError(
                    forwarding.SourceReason.HISTORY_GONE, "range: another era"
                )
            items = _read_items(page.items, unread)
            read += items
            last = max((item.key for item in items), default="")
            if not page.has_more or not page.items:
                break
            if last <= after:
                # Taken for the whole, what came so far would remove all that
                # lies behind a page of which no key can be read.
                raise forwarding.SourceError(
                    forwarding.SourceReason.MALFORMED, "no key to go on from"
                )
            after = last
        number = 0 if first is None else first.store_revision
        revision = views.pack_revision(era, number)
        changes, refused = _items.decode_changes(read, self._regions)
        return forwarding.Reading(
            changes, revision, revision, True, (*unread, *refused)
        )

    async def watch(self, after: int, wait: float) -> forwarding.Reading:
        """Wait for changes after a revision; raises ``SourceError``."""
        query = {
            "prefix": "",
            "after": str(views.number_in_era(after)),
            "wait_ms": str(int(wait * 1000)),
        }
        answer = await self._call("watch", query, wait + CALL_SECONDS)
        if answer.era != views.era_of(after):
            raise forwarding.SourceError(
                forwarding.SourceReason.HISTORY_GONE, "watch: another era"
            )
        told = _decoded(_WATCH, answer.body)
        unread: list[forwarding.RefusedItem] = []
        events = _read_items(told.events, unread)
        content = max((event.revision for event in events), default=-1)
        changes, refused = _items.decode_changes(events, self._regions)
        return forwarding.Reading(
            changes,
            views.pack_revision(answer.era, max(told.store_revision, content)),
            views.pack_revision(answer.era, content) if events else -1,
            False,
            (*unread, *refused),
        )

    async def policy(self) -> forwarding.Reading:
        """Return the latest policy; raises ``SourceError``."""
        query = {"key": _documents.POLICY_KEY}
        answer = await self._call("key", query, CALL_SECONDS)
        unread: list[forwarding.RefusedItem] = []
        items = _read_items([msgspec.Raw(answer.body)], unread)
        content = max((item.revision for item in items), default=-1)
        number = _decoded(_KEY, answer.body).store_revision
        changes, refused = _items.decode_changes(items, self._regions)
        return forwarding.Reading(
            changes,
            views.pack_revision(answer.era, number),
            views.pack_revision(answer.era, content) if items else -1,
            False,
            (*unread, *refused),
        )

    async def check(self, fresh: bool, latest: bool) -> int:
        """Return the store's revision; raises ``SourceError``."""
        query = {"prefix": UNUSED_PREFIX}
        if not latest:
            query["allow_stale"] = "1"
        answer = await self._call("range", query, CALL_SECONDS, fresh)
        number = _decoded(_RANGE, answer.body).store_revision
        return views.pack_revision(answer.era, number)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def _call(
        self,
        verb: str,
        query: abc.Mapping[str, str],
        seconds: float,
        fresh: bool = False,
    ) -> _Answer:
        target = f"/-/kv-{verb}?{urllib.parse.urlencode(query)}"
        host = f"{self._pool.host}:{self._pool.port}".encode()
        head = httpio.request_head(
            b"GET", target.encode(), [(b"Host", host)], 0
        )
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[httpio.Response | httpio.Failure] = (
            loop.create_future()
        )

        def done(result: httpio.Response | httpio.Failure) -> None:
            if not answer.done():
                answer.set_result(result)

        job = httpio.Job(head, done)
        send = self._pool.send_on_new if fresh else self._pool.send
        send(job)
        try:
            result = await asyncio.wait_for(answer, seconds)
        except TimeoutError as error:
            # The kept ones may have fallen silent with it.
            self._pool.drop_idle()
            raise forwarding.SourceError(
                forwarding.SourceReason.TIMEOUT, verb
            ) from error
        finally:
            # A connection whose answer did not come gives none any more.
            if job.awaited:
                job.abort()
        return _answer(verb, result)


def open_store(
    address: forwarding.Address,
    regions: abc.Mapping[str, str],
    clock: clocks.Clock,
) -> forwarding.Source:
    """Return a client; ``regions`` maps failure domains to theirs."""
    pool = httpio.Pool(address.host, address.port, clock, IDLE_SECONDS)
    return _Store(pool, regions)


def _read_items(
    found: abc.Iterable[msgspec.Raw], unread: list[forwarding.RefusedItem]
) -> list[_items.Item]:
    """Return the items that can be read; ``unread`` gets the others."""
    read = []
    for raw in found:
        try:
            read.append(_items.decode_item(raw))
        except _items.ItemError as error:
            unread.append(forwarding.RefusedItem("", 0, str(error)))
    return read


def _answer(verb: str, result: httpio.Response | httpio.Failure) -> _Answer:
    reasons = forwarding.SourceReason
    if result is httpio.Failure.NOT_SENT:
        raise forwarding.SourceError(reasons.UNREACHABLE, verb)
    if isinstance(result, httpio.Failure):
        raise forwarding.SourceError(reasons.LOST, f"{verb}: {result.value}")
    if result.status == 410:
        raise forwarding.SourceError(reasons.HISTORY_GONE, verb)
    if result.status != 200:
        raise forwarding.SourceError(
            reasons.REFUSED, f"{verb}: status {result.status}"
        )
    return _Answer(_era(result.headers.get(ERA_HEADER, b"0")), result.body)


def _era(field: bytes) -> int:
    """Return the era that an answer names; raises ``SourceError``."""
    try:
        era = int(field)
    except ValueError:
        era = -1
    if not 0 <= era <= _ERA_MAX:
        raise forwarding.SourceError(
            forwarding.SourceReason.MALFORMED, f"era {field[:20]!r}"
        )
    return era


def _decoded(decoder: msgspec.json.Decoder[T], body: bytes) -> T:
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise forwarding.SourceError(
            forwarding.SourceReason.MALFORMED, str(error)
        ) from error
