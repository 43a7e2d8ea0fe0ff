"""A stand-in of the platform's store, which a soak can disturb."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
import math
import typing
import urllib.parse

from sassafrasstair import clocks
from sassafrasstair import httpio
from tests.platform.soak import disruptions

if typing.TYPE_CHECKING:
    from collections import abc

HISTORY = 400
Event = dict[str, object]


@dataclasses.dataclass(frozen=True)
class Copy:
    """What a store held at one moment."""

    revision: int
    items: dict[str, Event]
    events: tuple[Event, ...]


class Store:
    """Items by key with revisions.

    ``era`` counts how often it came back from an older copy.
    """

    def __init__(
        self,
        note: abc.Callable[[str], None] = lambda text: None,
        record: disruptions.Record | None = None,
    ) -> None:
        self._note_step = note
        self._record = record or disruptions.Record()
        self.changed: abc.Callable[[str, str], None] = lambda key, state: None
        """Called with each acknowledged write: the key, and the ``state``
        of an instance, which is '' for what is removed."""
        self.items: dict[str, Event] = {}
        self.events: list[Event] = []
        self.revision = 1
        self.era = 1
        self.oldest = 0
        self._mode = ""
        self._changed = asyncio.Event()
        self._lost: dict[str, Event | None] = {}
        self._write_again_at = math.inf
        self._answering: set[asyncio.Task[None]] = set()
        self._listener = httpio.Listener(
            self._handle, lambda status: [], clocks.SystemClock(), _memory()
        )

    @property
    def mode(self) -> str:
        """What is wrong with the store, '' if nothing."""
        return self._mode

    @mode.setter
    def mode(self, mode: str) -> None:
        self._mode = mode
        self._note_disruption()

    async def open(self, host: str, port: int) -> None:
        """Listen."""
        await self._listener.open(host, port)

    def close(self) -> None:
        """Stop listening and cut all connections."""
        close(self._listener)

    def put(self, key: str, value: typing.Mapping[str, object]) -> None:
        """Write an item as the operator or an instance does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._write(key, text)
        self.changed(key, str(value.get("state", "")))

    def _write(self, key: str, text: str) -> None:
        self._lost.pop(key, None)
        self.revision += 1
        before = self.items.get(key)
        created = self.revision if before is None else before["created"]
        item: Event = {
            "key": key,
            "value": text,
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        self._note(item)

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.changed(key, "")
        self._lost.pop(key, None)
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._note({"key": key, "revision": self.revision, "removed": True})

    def copy(self) -> Copy:
        """Return what the store holds now."""
        return Copy(self.revision, dict(self.items), tuple(self.events))

    def restore(self, copy: Copy, seconds: float = math.inf) -> None:
        """Go on from an older copy; what it lacks is lost.

        It is written again after ``seconds`` at the latest, also if this
        process stands still meanwhile.
        """
        keys = sorted(self.items.keys() | copy.items.keys())
        lost = {
            key: self.items.get(key)
            for key in keys
            if self.items.get(key) != copy.items.get(key)
        }
        # What an earlier restore lost is later than what this one loses.
        self._lost = lost | self._lost
        self._record.note(disruptions.STORE, disruptions.Kind.STORE)
        self._note_disruption()
        now = asyncio.get_running_loop().time()
        self._write_again_at = min(self._write_again_at, now + seconds)
        self.era += 1
        self.revision = copy.revision
        self.items = dict(copy.items)
        self.events = list(copy.events)
        self.oldest = min(self.oldest, self.revision)
        self._note_step(f"store era {self.era}, lacks {sorted(self._lost)}")
        self._wake()

    def write_again(self) -> None:
        """Write what was lost and has not been written since."""
        self._note_step(f"store gets again {sorted(self._lost)}")
        self._write_again_at = math.inf
        for key, item in list(self._lost.items()):
            if item is None:
                self.remove(key)
            else:
                self._write(key, typing.cast("str", item["value"]))
        self._note_disruption()

    def _note_disruption(self) -> None:
        self._record.set_store(bool(self._mode) or bool(self._lost))

    def forget_history(self) -> None:
        """Answer watches that begin before now with 410."""
        self.oldest = self.revision
        self.events.clear()

    def _note(self, event: Event) -> None:
        self.events.append(event)
        if len(self.events) > HISTORY:
            self.oldest = typing.cast("int", self.events.pop(0)["revision"])
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _handle(self, exchange: httpio.Exchange) -> None:
        if self.mode == "busy":
            exchange.respond(503, [], b"")
        elif self.mode == "reset":
            exchange._connection._transport.abort()
        elif self.mode != "silent":
            task = asyncio.ensure_future(self._answer(exchange))
            self._answering.add(task)
            task.add_done_callback(self._answering.discard)

    async def _answer(self, exchange: httpio.Exchange) -> None:
        if asyncio.get_running_loop().time() >= self._write_again_at:
            self.write_again()
        path, _, query = exchange.request.target.decode().partition("?")
        asked = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/-/kv-range":
            items = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(asked["prefix"])
            ]
            self._respond(exchange, "items", items)
            return
        if path == "/-/kv-key":
            item = self.items.get(asked["key"])
            if item is None:
                exchange.respond(404, self._fields(), b"")
                return
            told = item | {"store_revision": self.revision}
            exchange.respond(200, self._fields(), json.dumps(told).encode())
            return
        after = int(asked["after"])
        if not self.oldest <= after <= self.revision:
            exchange.respond(410, self._fields(), b"")
            return
        era = self.era
        until = int(asked["wait_ms"]) / 1000
        events = self._since(after)
        if not events:
            try:
                await asyncio.wait_for(self._changed.wait(), until)
            except TimeoutError:
                pass
            events = self._since(after)
        if self.mode or self.era != era:
            exchange._connection._transport.abort()
        else:
            self._respond(exchange, "events", events)

    def _respond(
        self, exchange: httpio.Exchange, name: str, found: list[Event]
    ) -> None:
        told = {
            name: found,
            "has_more": False,
            "store_revision": self.revision,
        }
        exchange.respond(200, self._fields(), json.dumps(told).encode())

    def _fields(self) -> httpio.Fields:
        return [(b"Store-Era", b"%d" % self.era)]

    def _since(self, after: int) -> list[Event]:
        return [
            event
            for event in self.events
            if typing.cast("int", event["revision"]) > after
        ]


def close(listener: httpio.Listener) -> None:
    """Stop listening and cut all connections of a stand-in."""
    listener.stop_accepting()
    for connection in list(listener.connections):
        connection._transport.abort()


def _memory() -> httpio.MemoryBudget:
    return httpio.MemoryBudget(1 << 30)
