"""Model the store of a fleet and the faults that it can have."""

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
class Backup:
    """The contents of a store at one moment."""

    revision: int
    items: dict[str, views.Change]
    history: tuple[tuple[int, views.Change], ...]


@dataclasses.dataclass
class Store:
    """Items, their history, and every call that was made.

    Calls of ``silent_hosts`` time out and calls of ``refused_hosts`` are
    refused; while the store is ``down``, the calls of all hosts time out.
    With ``watches_stalled``, watches return no changes. An answer takes
    ``answer_seconds``.

    ``hang_counts`` and ``reset_counts`` count for each host how often the
    store stopped answering or reset its connections. A watch that is open
    at that moment times out or fails as lost.

    ``history_floor`` is the oldest revision from which a watch can start.
    ``era`` grows by one each time the store is restored from a backup. Open
    watches then fail, unless ``keeps_watches_on_restore`` is set. Stale
    reads return ``stale_backup`` if there is one.

    ``calls`` holds the time, the host and the verb of each call.
    """

    revision: int = 1
    items: dict[str, views.Change] = dataclasses.field(default_factory=dict)
    history: list[tuple[int, views.Change]] = dataclasses.field(
        default_factory=list
    )
    history_floor: int = 0
    silent_hosts: set[str] = dataclasses.field(default_factory=set)
    refused_hosts: set[str] = dataclasses.field(default_factory=set)
    down: bool = False
    watches_stalled: bool = False
    answer_seconds: float = ANSWER_SECONDS
    hang_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    reset_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    calls: list[tuple[float, str, str]] = dataclasses.field(
        default_factory=list
    )
    waiting_watches: set[asyncio.Event] = dataclasses.field(
        default_factory=set
    )
    era: int = 1
    stale_backup: Backup | None = None
    keeps_watches_on_restore: bool = False

    @property
    def packed_revision(self) -> int:
        """The revision packed together with its era."""
        return views.pack_revision(self.era, self.revision)

    def put(self, key: str, change: views.Change) -> None:
        """Write one item."""
        self.revision += 1
        self.items[key] = change
        self._record_change(change)

    def remove(self, key: str) -> None:
        """Remove one instance."""
        self.revision += 1
        self.items.pop(key, None)
        self._record_change(views.Removed(key))

    def drop_history(self) -> None:
        """Drop the history; watches from earlier revisions get an error."""
        self.history_floor = self.revision
        self.history.clear()
        self._wake_watches()

    def back_up(self) -> Backup:
        """Return a backup of the store's current contents."""
        return Backup(self.revision, dict(self.items), tuple(self.history))

    def restore(self, backup: Backup) -> dict[str, views.Change]:
        """Restore a backup; return the changes that it lacks."""
        missing = {
            key: change
            for key, change in self.items.items()
            if backup.items.get(key) != change
        }
        missing |= {
            key: views.Removed(key)
            for key in backup.items
            if key not in self.items
        }
        self.era += 1
        self.revision = backup.revision
        self.items = dict(backup.items)
        self.history = list(backup.history)
        self._wake_watches()
        return missing

    def rewrite(self, changes: dict[str, views.Change]) -> None:
        """Write the changes that a backup lacked, as their writers would."""
        for key, change in changes.items():
            if isinstance(change, views.Removed):
                self.remove(key)
            else:
                self.put(key, change)

    def stop_answering(self, hosts: abc.Iterable[str]) -> None:
        """Let the calls of some hosts time out, open watches included."""
        self.silent_hosts |= set(hosts)
        self.hang_counts.update(hosts)

    def reset_connections(self, hosts: abc.Iterable[str]) -> None:
        """Refuse the calls of some hosts, and cut their open watches."""
        self.refused_hosts |= set(hosts)
        self.reset_counts.update(hosts)
        self._wake_watches()

    def answer_all_hosts(self) -> None:
        """Answer the calls of all hosts again."""
        self.silent_hosts.clear()
        self.refused_hosts.clear()

    def calls_since(self, since: float) -> collections.Counter[str]:
        """Return the number of calls since a time, by verb."""
        return collections.Counter(
            verb for when, _, verb in self.calls if when >= since
        )

    def _record_change(self, change: views.Change) -> None:
        self.history.append((self.revision, change))
        if not self.watches_stalled:
            self._wake_watches()

    def _wake_watches(self) -> None:
        for event in self.waiting_watches:
            event.set()


class Client:
    """The source through which the daemon of one host reads the store."""

    def __init__(self, store: Store, host: str) -> None:
        self._store = store
        self._host = host

    async def read(self, stale: bool) -> forwarding.Reading:
        """Return all items."""
        await self._call("stale" if stale else "read", CALL_SECONDS)
        store = self._store
        if stale and store.stale_backup is not None:
            old = store.stale_backup
            revision = views.pack_revision(store.era, old.revision)
            items = tuple(old.items.values())
            return forwarding.Reading(items, revision, revision, True)
        items = tuple(store.items.values())
        revision = store.packed_revision
        return forwarding.Reading(items, revision, revision, True)

    async def watch(self, after: int, wait: float) -> forwarding.Reading:
        """Return changes after a revision."""
        loop = asyncio.get_running_loop()
        until = loop.time() + wait
        store, host = self._store, self._host
        hang_count, reset_count, era = (
            store.hang_counts[host],
            store.reset_counts[host],
            store.era,
        )
        await self._call("watch", wait + CALL_SECONDS)
        while True:
            begin = views.number_in_era(after)
            if not store.history_floor <= begin <= store.revision:
                raise forwarding.SourceError(
                    forwarding.SourceReason.HISTORY_GONE
                )
            found = [(r, c) for r, c in store.history if r > begin]
            if (found and not store.watches_stalled) or loop.time() >= until:
                break
            await self._wait_for_change(until - loop.time())
            silent = store.down or host in store.silent_hosts
            if silent or store.hang_counts[host] != hang_count:
                await asyncio.sleep(until + CALL_SECONDS - loop.time())
                raise forwarding.SourceError(forwarding.SourceReason.TIMEOUT)
            restored = store.era != era and not store.keeps_watches_on_restore
            if store.reset_counts[host] != reset_count or restored:
                raise forwarding.SourceError(forwarding.SourceReason.LOST)
        if store.era != views.era_of(after):
            raise forwarding.SourceError(forwarding.SourceReason.HISTORY_GONE)
        if store.watches_stalled:
            found = []
        number = found[-1][0] if found else max(begin, store.history_floor)
        revision = views.pack_revision(era, number)
        content = revision if found else -1
        changes = tuple(change for _, change in found)
        return forwarding.Reading(changes, revision, content, False)

    async def check(self, fresh: bool, latest: bool) -> int:
        """Return the store's revision."""
        verb = "check_latest" if latest else "check"
        await self._call(verb, CALL_SECONDS)
        return self._store.packed_revision

    async def policy(self) -> forwarding.Reading:
        """Return only the latest policy."""
        await self._call("policy", CALL_SECONDS)
        store = self._store
        return forwarding.Reading(
            (store.items["policy"],),
            store.packed_revision,
            store.packed_revision,
            False,
        )

    def close(self) -> None:
        """Do nothing: the client holds no connection."""

    async def _wait_for_change(self, seconds: float) -> None:
        event = asyncio.Event()
        self._store.waiting_watches.add(event)
        try:
            async with asyncio.timeout(seconds):
                await event.wait()
        except TimeoutError:
            pass
        finally:
            self._store.waiting_watches.discard(event)

    async def _call(self, verb: str, seconds: float) -> None:
        store = self._store
        now = asyncio.get_running_loop().time()
        store.calls.append((now, self._host, verb))
        if store.down or self._host in store.silent_hosts:
            await asyncio.sleep(seconds)
            raise forwarding.SourceError(forwarding.SourceReason.TIMEOUT)
        await asyncio.sleep(store.answer_seconds)
        if self._host in store.refused_hosts:
            raise forwarding.SourceError(forwarding.SourceReason.REFUSED)
