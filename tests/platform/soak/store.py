"""A stand-in of the platform's store, which a soak can disturb."""

from __future__ import annotations

import asyncio
import base64
import json
import typing
import urllib.parse

from sassafrasstair import clocks
from sassafrasstair import httpio

HISTORY = 400
Event = dict[str, object]


class Store:
    """Items by key with revisions; ``mode`` is what is wrong with it."""

    def __init__(self) -> None:
        self.items: dict[str, Event] = {}
        self.events: list[Event] = []
        self.revision = 1
        self.oldest = 0
        self.mode = ""
        self._changed = asyncio.Event()
        self._answering: set[asyncio.Task[None]] = set()
        self._listener = httpio.Listener(
            self._handle, lambda status: [], clocks.SystemClock(), _memory()
        )

    async def open(self, host: str, port: int) -> None:
        """Listen."""
        await self._listener.open(host, port)

    def close(self) -> None:
        """Stop listening and cut all connections."""
        close(self._listener)

    def put(self, key: str, value: typing.Mapping[str, object]) -> None:
        """Write an item as the operator or an instance does."""
        self.revision += 1
        before = self.items.get(key)
        created = self.revision if before is None else before["created"]
        text = base64.b64encode(json.dumps(value).encode()).decode()
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
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._note({"key": key, "revision": self.revision, "removed": True})

    def forget_history(self) -> None:
        """Answer watches that begin before now with 410."""
        self.oldest = self.revision
        self.events.clear()

    def _note(self, event: Event) -> None:
        self.events.append(event)
        if len(self.events) > HISTORY:
            self.oldest = typing.cast("int", self.events.pop(0)["revision"])
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
        path, _, query = exchange.request.target.decode().partition("?")
        asked = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/-/kv-range":
            items = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(asked["prefix"])
            ]
            _respond(exchange, self.revision, "items", items)
            return
        if path == "/-/kv-key":
            item = self.items.get(asked["key"])
            if item is None:
                exchange.respond(404, [], b"")
                return
            told = item | {"store_revision": self.revision}
            exchange.respond(200, [], json.dumps(told).encode())
            return
        after = int(asked["after"])
        if after < self.oldest:
            exchange.respond(410, [], b"")
            return
        until = int(asked["wait_ms"]) / 1000
        events = self._since(after)
        if not events:
            try:
                await asyncio.wait_for(self._changed.wait(), until)
            except TimeoutError:
                pass
            events = self._since(after)
        if self.mode:
            exchange._connection._transport.abort()
        else:
            _respond(exchange, self.revision, "events", events)

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


def _memory() -> httpio.Memory:
    return httpio.Memory(1 << 30)


def _respond(
    exchange: httpio.Exchange, revision: int, name: str, found: list[Event]
) -> None:
    told = {name: found, "has_more": False, "store_revision": revision}
    exchange.respond(200, [], json.dumps(told).encode())
