"""Keys of the stand-in platform, their indexes, and an older view."""

from __future__ import annotations

import asyncio
import dataclasses

HISTORY_MAX = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One key's value and the index of its last change."""

    value: bytes
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """All keys at one index; ``removed`` holds the indexes of deletions."""

    index: int = 1
    entries: dict[str, Entry] = dataclasses.field(default_factory=dict)
    removed: dict[str, int] = dataclasses.field(default_factory=dict)

    def under(self, prefix: str) -> dict[str, Entry]:
        """Return the entries whose key begins with ``prefix``."""
        return {
            key: entry
            for key, entry in sorted(self.entries.items())
            if key.startswith(prefix)
        }

    def index_of(self, prefix: str) -> int:
        """Return the index of the last change under ``prefix``."""
        changes = [entry.index for entry in self.under(prefix).values()]
        changes += [
            index
            for key, index in self.removed.items()
            if key.startswith(prefix)
        ]
        return max(changes, default=1)


@dataclasses.dataclass(slots=True)
class Store:
    """The views so far, the newest last; ``frozen`` hides newer ones."""

    views: list[View] = dataclasses.field(default_factory=lambda: [View()])
    frozen: View | None = None
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def shown(self) -> View:
        """The view that readers get."""
        return self.frozen or self.views[-1]


def put(store: Store, key: str, value: bytes) -> int:
    """Set ``key``; return the new index."""
    last = store.views[-1]
    index = last.index + 1
    entries = {**last.entries, key: Entry(value, index)}
    removed = {name: at for name, at in last.removed.items() if name != key}
    _append(store, View(index, entries, removed))
    return index


def delete(store: Store, key: str) -> int:
    """Remove ``key``; return the new index."""
    last = store.views[-1]
    index = last.index + 1
    entries = {
        name: entry for name, entry in last.entries.items() if name != key
    }
    _append(store, View(index, entries, {**last.removed, key: index}))
    return index


def freeze(store: Store, back: int) -> int:
    """Show the view of ``back`` changes ago from now on; return its index."""
    position = max(0, len(store.views) - 1 - back)
    store.frozen = store.views[position]
    wake(store)
    return store.frozen.index


def restore(store: Store, back: int) -> int:
    """Go on from the view of ``back`` changes ago; return its index.

    What was changed since is lost, and its indexes are given out again.
    """
    position = max(0, len(store.views) - 1 - back)
    del store.views[position + 1 :]
    store.frozen = None
    wake(store)
    return store.views[-1].index


def thaw(store: Store) -> None:
    """Show the newest view again."""
    store.frozen = None
    wake(store)


def wake(store: Store) -> None:
    """Let every waiting watch look again."""
    store.changed.set()
    store.changed = asyncio.Event()


async def wait_past(
    store: Store, prefix: str, index: int, wait: float
) -> View:
    """Return the view shown once its index passes ``index``, or at the end."""
    try:
        async with asyncio.timeout(wait):
            while store.shown.index_of(prefix) <= index:
                await store.changed.wait()
    except TimeoutError:
        pass
    return store.shown


def _append(store: Store, view: View) -> None:
    store.views.append(view)
    del store.views[:-HISTORY_MAX]
    wake(store)
