"""A store in the event loop of a test, and its client on one host."""

from __future__ import annotations

import asyncio

from sassafrasstair.decisions import policies
from sassafrasstair.decisions import views
from sassafrasstair import forwarding


class Source:
    """A store that a test modifies; hosts in ``away`` can't reach it."""

    def __init__(self) -> None:
        self.items: dict[str, views.Change] = {}
        self.log: list[tuple[int, views.Change]] = []
        self.revision = 1
        self.away: set[str] = set()
        self.watches = 0
        self.changed = asyncio.Event()

    def put(self, key: str, change: views.Change) -> None:
        """Write one item."""
        self.revision += 1
        self.items[key] = change
        self.log.append((self.revision, change))
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, key: str) -> None:
        """Remove one instance."""
        self.revision += 1
        del self.items[key]
        self.log.append((self.revision, views.Removed(key)))
        self.changed.set()
        self.changed = asyncio.Event()


class StoreClient:
    """The client of the store on one host."""

    def __init__(self, source: Source, host: str) -> None:
        self._source = source
        self._host = host

    async def read(self, stale: bool) -> forwarding.Reading:
        self._check()
        revision = self._source.revision
        items = tuple(self._source.items.values())
        return forwarding.Reading(items, revision, revision, True)

    async def watch(self, after: int, wait: float) -> forwarding.Reading:
        self._source.watches += 1
        self._check()
        while True:
            new = [(r, c) for r, c in self._source.log if r > after]
            if new:
                break
            await self._source.changed.wait()
            self._check()
        changes = tuple(change for _, change in new)
        return forwarding.Reading(
            changes, self._source.revision, new[-1][0], False
        )

    async def check(self, fresh: bool, latest: bool) -> int:
        self._check()
        return self._source.revision

    async def policy(self) -> forwarding.Reading:
        self._check()
        revision = self._source.revision
        found = tuple(
            item
            for item in self._source.items.values()
            if isinstance(item, policies.Policy)
        )
        return forwarding.Reading(found, revision, revision, False)

    def close(self) -> None:
        """Do nothing: no connection is open."""

    def _check(self) -> None:
        if self._host in self._source.away:
            raise forwarding.SourceError(
                forwarding.SourceReason.UNREACHABLE, self._host
            )
