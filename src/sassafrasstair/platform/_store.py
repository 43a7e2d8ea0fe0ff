"""Read-only client of the platform's metadata store.

The store starts a new era when it is restored from an older copy, and counts
its revisions on from that copy's. ``views.pack_revision`` combines the era and
the store's own number into one revision that stays comparable. After a change
of era the changes since a watched revision are not available: that revision's
number may now belong to another change. The client then reports
``HISTORY_GONE``, and everything must be read again.
"""

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

CALL_TIMEOUT_SECONDS = 2.0
"""Time-out of a call; for a watch, added to the time that it waits. A response
takes a few milliseconds, and up to some hundred when the store is slow."""
UNUSED_PREFIX = "no-key-begins-so/"
"""A prefix without items; reading it returns the store's revision only."""
IDLE_TIMEOUT_SECONDS = 30.0
"""For how long a connection is kept if the store states no time-out."""
PAGES_MAX = 1_000
"""Maximum pages of one full read, so that it ends even if the store always
announces another page. The read then fails."""
RESPONSES_BYTES_MAX = 16 * 1024 * 1024
"""Unfinished responses that are held; a page has about 1 MB."""
ERA_HEADER = b"store-era"
"""Header that counts how often the store was restored from an older copy."""
_ERA_MAX = 1_000_000
"""Less than 2**20, so a packed revision has at most 60 bits."""
_ERA_DIGITS = 7


class _Range(msgspec.Struct, frozen=True):
    """One page of items, in the order of their keys."""

    items: tuple[msgspec.Raw, ...]
    store_revision: _items.Revision
    has_more: bool = False


class _Key(msgspec.Struct, frozen=True):
    """The store's revision in the response for a single item."""

    store_revision: _items.Revision


class _Watch(msgspec.Struct, frozen=True):
    """The items that changed after the watched revision."""

    store_revision: _items.Revision
    events: tuple[msgspec.Raw, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _StoreResponse:
    """The body of a response, and the era that the store was in."""

    era: int
    body: bytes


_RANGE_DECODER = msgspec.json.Decoder(_Range)
_WATCH_DECODER = msgspec.json.Decoder(_Watch)
_KEY_DECODER = msgspec.json.Decoder(_Key)
T = typing.TypeVar("T")


class _StoreClient:
    """Client of the store; the empty prefix covers all items."""

    def __init__(
        self, pool: httpio.Pool, regions: abc.Mapping[str, str]
    ) -> None:
        self._pool = pool
        self._regions = regions

    async def read(self, stale: bool) -> forwarding.Reading:
        """Read all items, page by page; raises ``SourceError``.

        The pages are not a snapshot. A watch that starts at the first page's
        revision returns all changes made since then.
        """
        after = ""
        first: _Range | None = None
        era = last_revision = 0
        all_items: list[_items.Item] = []
        undecodable: list[forwarding.RefusedItem] = []
        for _ in range(PAGES_MAX):
            query = {"prefix": ""} | ({"after": after} if after else {})
            if stale:
                query["allow_stale"] = "1"
            response = await self._call("range", query, CALL_TIMEOUT_SECONDS)
            page = _decode(_RANGE_DECODER, response.body)
            if first is None:
                first, era = page, response.era
            elif response.era != era:
                raise forwarding.SourceError(
                    forwarding.SourceReason.HISTORY_GONE,
                    "range: the era changed between two pages",
                )
            last_revision = max(last_revision, page.store_revision)
            items = _decode_items(page.items, undecodable)
            all_items += items
            last = max((item.key for item in items), default="")
            if not page.has_more or not page.items:
                break
            if last <= after:
                # The page has no key from which to continue. A reading that
                # ended here would count as complete, and all items after
                # this page would be removed.
                raise forwarding.SourceError(
                    forwarding.SourceReason.MALFORMED,
                    "page without a key to continue from",
                )
            after = last
        else:
            raise forwarding.SourceError(
                forwarding.SourceReason.MALFORMED,
                f"more than {PAGES_MAX} pages",
            )
        store_revision = 0 if first is None else first.store_revision
        revision = views.pack_revision(era, store_revision)
        changes, refused = _items.decode_changes(all_items, self._regions)
        # Reading(changes, revision, content, whole, refused, latest). A full
        # read contains all changes up to its revision, so that both revisions
        # are the same, and ``whole`` is true.
        return forwarding.Reading(
            changes,
            revision,
            revision,
            True,
            (*undecodable, *refused),
            views.pack_revision(era, last_revision),
        )

    async def watch(self, after: int, wait: float) -> forwarding.Reading:
        """Wait for changes after a revision; raises ``SourceError``."""
        query = {
            "prefix": "",
            "after": str(views.number_in_era(after)),
            "wait_ms": str(int(wait * 1000)),
        }
        response = await self._call(
            "watch", query, wait + CALL_TIMEOUT_SECONDS
        )
        if response.era != views.era_of(after):
            raise forwarding.SourceError(
                forwarding.SourceReason.HISTORY_GONE,
                "watch: the era has changed",
            )
        watched = _decode(_WATCH_DECODER, response.body)
        undecodable: list[forwarding.RefusedItem] = []
        events = _decode_items(watched.events, undecodable)
        newest_revision = max((event.revision for event in events), default=-1)
        changes, refused = _items.decode_changes(events, self._regions)
        # Reading(changes, revision, content, whole, refused): ``content`` is
        # -1 if there is no usable event, and ``whole`` is false.
        return forwarding.Reading(
            changes,
            views.pack_revision(
                response.era, max(watched.store_revision, newest_revision)
            ),
            views.pack_revision(response.era, newest_revision)
            if events
            else -1,
            False,
            (*undecodable, *refused),
        )

    async def policy(self) -> forwarding.Reading:
        """Return the latest policy; raises ``SourceError``."""
        query = {"key": _documents.POLICY_KEY}
        response = await self._call("key", query, CALL_TIMEOUT_SECONDS)
        undecodable: list[forwarding.RefusedItem] = []
        items = _decode_items([msgspec.Raw(response.body)], undecodable)
        newest_revision = max((item.revision for item in items), default=-1)
        store_revision = _decode(_KEY_DECODER, response.body).store_revision
        changes, refused = _items.decode_changes(items, self._regions)
        # Reading(changes, revision, content, whole, refused): ``content`` is
        # -1 if the policy can't be decoded, and ``whole`` is false.
        return forwarding.Reading(
            changes,
            views.pack_revision(response.era, store_revision),
            views.pack_revision(response.era, newest_revision)
            if items
            else -1,
            False,
            (*undecodable, *refused),
        )

    async def check(self, fresh: bool, latest: bool) -> int:
        """Return the store's revision; raises ``SourceError``.

        ``fresh`` opens a new connection for the call. ``latest`` is the
        opposite of the store's ``allow_stale``: without it the revision may
        be seconds old.
        """
        query = {"prefix": UNUSED_PREFIX}
        if not latest:
            query["allow_stale"] = "1"
        response = await self._call(
            "range", query, CALL_TIMEOUT_SECONDS, fresh
        )
        store_revision = _decode(_RANGE_DECODER, response.body).store_revision
        return views.pack_revision(response.era, store_revision)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def _call(
        self,
        verb: str,
        query: abc.Mapping[str, str],
        seconds: float,
        fresh: bool = False,
    ) -> _StoreResponse:
        target = f"/-/kv-{verb}?{urllib.parse.urlencode(query)}"
        host = f"{self._pool.host}:{self._pool.port}".encode()
        head = httpio.request_head(
            b"GET", target.encode(), [(b"Host", host)], 0
        )
        loop = asyncio.get_running_loop()
        future: asyncio.Future[httpio.Response | httpio.Failure] = (
            loop.create_future()
        )

        def done(result: httpio.Response | httpio.Failure) -> None:
            if not future.done():
                future.set_result(result)

        job = httpio.Job(head, done)
        send = self._pool.send_on_new if fresh else self._pool.send
        send(job)
        try:
            result = await asyncio.wait_for(future, seconds)
        except TimeoutError as error:
            # Idle connections to the store may be dead too.
            self._pool.drop_idle()
            raise forwarding.SourceError(
                forwarding.SourceReason.TIMEOUT, verb
            ) from error
        finally:
            # A connection that got no response can't be used again.
            if job.awaited:
                job.abort()
        return _check_response(verb, result)


def open_store(
    address: forwarding.Address,
    regions: abc.Mapping[str, str],
    clock: clocks.Clock,
) -> forwarding.Source:
    """Return a client; ``regions`` maps failure domains to regions."""
    pool = httpio.Pool(
        address.host,
        address.port,
        clock,
        IDLE_TIMEOUT_SECONDS,
        httpio.ResponseMemory(RESPONSES_BYTES_MAX),
    )
    return _StoreClient(pool, regions)


def _decode_items(
    raw_items: abc.Iterable[msgspec.Raw],
    undecodable: list[forwarding.RefusedItem],
) -> list[_items.Item]:
    """Return the decoded items; add the others to ``undecodable``."""
    decoded = []
    for raw in raw_items:
        try:
            decoded.append(_items.decode_item(raw))
        except _items.ItemError as error:
            undecodable.append(
                forwarding.RefusedItem(error.key, 0, str(error))
            )
        except Exception as error:
            # A fault in the decoder must not cost the other items.
            reason = _items.describe_decoder_fault(error)
            undecodable.append(forwarding.RefusedItem("", 0, reason))
    return decoded


def _check_response(
    verb: str, result: httpio.Response | httpio.Failure
) -> _StoreResponse:
    reasons = forwarding.SourceReason
    if result is httpio.Failure.NOT_SENT:
        raise forwarding.SourceError(reasons.UNREACHABLE, verb)
    if isinstance(result, httpio.Failure):
        # ``LOST`` covers connections that ended without a response as well
        # as truncated and malformed responses; the detail tells which.
        raise forwarding.SourceError(reasons.LOST, f"{verb}: {result.value}")
    if result.status == 410:
        raise forwarding.SourceError(reasons.HISTORY_GONE, verb)
    if result.status != 200:
        raise forwarding.SourceError(
            reasons.REFUSED, f"{verb}: status {result.status}"
        )
    return _StoreResponse(
        _parse_era(result.headers.get(ERA_HEADER, b"0")), result.body
    )


def _parse_era(field: bytes) -> int:
    """Return the era in a header field; raises ``SourceError``."""
    era = int(field) if field.isdigit() and len(field) <= _ERA_DIGITS else -1
    if not 0 <= era <= _ERA_MAX:
        raise forwarding.SourceError(
            forwarding.SourceReason.MALFORMED, f"era {field[:20]!r}"
        )
    return era


def _decode(decoder: msgspec.json.Decoder[T], body: bytes) -> T:
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise forwarding.SourceError(
            forwarding.SourceReason.MALFORMED, str(error)
        ) from error
