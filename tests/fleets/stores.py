"""The store of a modelled fleet, and how it misbehaves."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import typing

from sassafrasstair.decisions import views
from sassafrasstair import forwarding

if typing.TYPE_CHECKING:
    from collections import abc

ANSWER_SECONDS = 0.004
CALL_SECONDS = 2.0


@dataclasses.dataclass(frozen=True)
class Copy:
    """What a store held at one moment."""

    revision: int
    items: dict[str, views.Change]
    log: tuple[tuple[int, views.Change], ...]


@dataclasses.dataclass
class Store:
    """Items, their history, and every call that was made.

    ``silent`` hosts get no answer, ``refused`` ones a refusal; all of them
    when ``down``. A ``deaf`` store's watches hear nothing. An answer takes
    ``slow`` seconds. ``left`` and ``cuts`` count for each host how often the
    store went away: what waited then is answered no more, or cut. ``era``
    rises each time that an older copy takes the store's place. Stale reads
    get what ``lagging`` holds, if it does. What waits when it comes back
    older is cut, unless ``keeps_watches``.
    """

    revision: int = 1
    items: dict[str, views.Change] = dataclasses.field(default_factory=dict)
    log: list[tuple[int, views.Change]] = dataclasses.field(
        default_factory=list
    )
    floor: int = 0
    silent: set[str] = dataclasses.field(default_factory=set)
    refused: set[str] = dataclasses.field(default_factory=set)
    down: bool = False
    deaf: bool = False
    slow: float = ANSWER_SECONDS
    left: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    cuts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    calls: list[tuple[float, str, str]] = dataclasses.field(
        default_factory=list
    )
    waiting: set[asyncio.Event] = dataclasses.field(default_factory=set)
    era: int = 1
    lagging: Copy | None = None
    keeps_watches: bool = False

    @property
    def position(self) -> int:
        """The revision with its era."""
        return views.pack_revision(self.era, self.revision)

    def put(self, key: str, change: views.Change) -> None:
        """Write one item."""
        self.revision += 1
        self.items[key] = change
        self._log(change)

    def remove(self, key: str) -> None:
        """Remove one instance."""
        self.revision += 1
        self.items.pop(key, None)
        self._log(views.Removed(key))

    def drop_history(self) -> None:
        """Forget all changes so far: watches from before get an error."""
        self.floor = self.revision
        self.log.clear()
        self._wake()

    def copy(self) -> Copy:
        """Return what the store holds now."""
        return Copy(self.revision, dict(self.items), tuple(self.log))

    def restore(self, copy: Copy) -> dict[str, views.Change]:
        """Go on from an older copy; return the changes that it lacks."""
        lost = {
            key: change
            for key, change in self.items.items()
            if copy.items.get(key) != change
        }
        lost |= {
            key: views.Removed(key)
            for key in copy.items
            if key not in self.items
        }
        self.era += 1
        self.revision = copy.revision
        self.items = dict(copy.items)
        self.log = list(copy.log)
        self._wake()
        return lost

    def write_again(self, lost: dict[str, views.Change]) -> None:
        """Write what a copy lacked, as its writers do."""
        for key, change in lost.items():
            if isinstance(change, views.Removed):
                self.remove(key)
            else:
                self.put(key, change)

    def leave(self, hosts: abc.Iterable[str]) -> None:
        """Answer some hosts no more, not even what waits already."""
        self.silent |= set(hosts)
        self.left.update(hosts)

    def reset(self, hosts: abc.Iterable[str]) -> None:
        """Refuse some hosts, and cut what waits."""
        self.refused |= set(hosts)
        self.cuts.update(hosts)
        self._wake()

    def back(self) -> None:
        """Answer all again."""
        self.silent.clear()
        self.refused.clear()

    def calls_since(self, since: float) -> collections.Counter[str]:
        """Return how many calls were made, by verb."""
        return collections.Counter(
            verb for when, _, verb in self.calls if when >= since
        )

    def _log(self, change: views.Change) -> None:
        self.log.append((self.revision, change))
        if not self.deaf:
            self._wake()

    def _wake(self) -> None:
        for event in self.waiting:
            event.set()


class Client:
    """The store as one host sees it."""

    def __init__(self, store: Store, host: str) -> None:
        self._store = store
        self._host = host

    async def read(self, stale: bool) -> forwarding.Reading:
        """Return all items."""
        await self._call("stale" if stale else "read", CALL_SECONDS)
        store = self._store
        if stale and store.lagging is not None:
            old = store.lagging
            revision = views.pack_revision(store.era, old.revision)
            items = tuple(old.items.values())
            return forwarding.Reading(items, revision, revision, True)
        items = tuple(store.items.values())
        revision = store.position
        return forwarding.Reading(items, revision, revision, True)

    async def watch(self, after: int, wait: float) -> forwarding.Reading:
        """Return changes after a revision."""
        loop = asyncio.get_running_loop()
        until = loop.time() + wait
        store, host = self._store, self._host
        left, cuts, era = store.left[host], store.cuts[host], store.era
        await self._call("watch", wait + CALL_SECONDS)
        while True:
            begin = views.number_in_era(after)
            if not store.floor <= begin <= store.revision:
                raise forwarding.SourceError(
                    forwarding.SourceReason.HISTORY_GONE
                )
            found = [(r, c) for r, c in store.log if r > begin]
            if (found and not store.deaf) or loop.time() >= until:
                break
            await self._changed(until - loop.time())
            silent = store.down or host in store.silent
            if silent or store.left[host] != left:
                await asyncio.sleep(until + CALL_SECONDS - loop.time())
                raise forwarding.SourceError(forwarding.SourceReason.TIMEOUT)
            restored = store.era != era and not store.keeps_watches
            if store.cuts[host] != cuts or restored:
                raise forwarding.SourceError(forwarding.SourceReason.LOST)
        if store.era != views.era_of(after):
            raise forwarding.SourceError(forwarding.SourceReason.HISTORY_GONE)
        if store.deaf:
            found = []
        number = found[-1][0] if found else max(begin, store.floor)
        revision = views.pack_revision(era, number)
        content = revision if found else -1
        changes = tuple(change for _, change in found)
        return forwarding.Reading(changes, revision, content, False)

    async def check(self, fresh: bool, latest: bool) -> int:
        """Return the store's revision."""
        verb = "check_latest" if latest else "check"
        await self._call(verb, CALL_SECONDS)
        return self._store.position

    async def policy(self) -> forwarding.Reading:
        """Return the latest policy alone."""
        await self._call("policy", CALL_SECONDS)
        store = self._store
        return forwarding.Reading(
            (store.items["policy"],), store.position, store.position, False
        )

    def close(self) -> None:
        """Nothing is open."""

    async def _changed(self, seconds: float) -> None:
        event = asyncio.Event()
        self._store.waiting.add(event)
        try:
            async with asyncio.timeout(seconds):
                await event.wait()
        except TimeoutError:
            pass
        finally:
            self._store.waiting.discard(event)

    async def _call(self, verb: str, seconds: float) -> None:
        store = self._store
        now = asyncio.get_running_loop().time()
        store.calls.append((now, self._host, verb))
        if store.down or self._host in store.silent:
            await asyncio.sleep(seconds)
            raise forwarding.SourceError(forwarding.SourceReason.TIMEOUT)
        await asyncio.sleep(store.slow)
        if self._host in store.refused:
            raise forwarding.SourceError(forwarding.SourceReason.REFUSED)
