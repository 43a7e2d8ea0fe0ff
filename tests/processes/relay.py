"""A relay between two processes that a test can cut."""

from __future__ import annotations

import asyncio
import contextlib


class Relay:
    """Passes bytes from ``listen`` on to ``target`` until it is cut."""

    def __init__(self, listen: int, target: int) -> None:
        self._listen = listen
        self._target = target
        self._cut = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._listen
        )

    def cut(self) -> None:
        """Drop all connections and every one to come."""
        self._cut = True
        for writer in list(self._writers):
            writer.transport.abort()

    def heal(self) -> None:
        self._cut = False

    def close(self) -> None:
        self.cut()
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._cut:
            writer.transport.abort()
            return
        ends = [writer]
        self._writers.add(writer)
        with contextlib.suppress(OSError):
            target = await asyncio.open_connection("127.0.0.1", self._target)
            ends.append(target[1])
            self._writers.add(target[1])
            await asyncio.gather(
                _pass(reader, target[1]), _pass(target[0], writer)
            )
        for end in ends:
            end.transport.abort()
            self._writers.discard(end)


async def _pass(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
    writer.close()
