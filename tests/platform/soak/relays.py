"""A link between daemons that can be delayed, reset, cut or silent."""

from __future__ import annotations

import asyncio
import contextlib

CHUNK = 65_536


class Link:
    """Passes bytes from one address on to another.

    ``delay`` is in seconds for each chunk. ``forth`` and ``back`` say
    whether bytes pass: closed both ways, the link is silent without a
    reset; closed one way, requests arrive and answers do not.
    """

    def __init__(self, host: str, target: str, port: int) -> None:
        self.host = host
        self.delay = 0.0
        self.forth = asyncio.Event()
        self.back = asyncio.Event()
        self.heal()
        self._target = target
        self._port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self._port
        )

    def close(self) -> None:
        """Stop listening and cut all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def heal(self) -> None:
        """Pass everything again."""
        self.delay = 0.0
        self.forth.set()
        self.back.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ends = [writer]
        self._writers.add(writer)
        with contextlib.suppress(OSError):
            far = await asyncio.open_connection(self._target, self._port)
            ends.append(far[1])
            self._writers.add(far[1])
            await asyncio.gather(
                self._pass(reader, far[1], self.forth),
                self._pass(far[0], writer, self.back),
            )
        for end in ends:
            end.transport.abort()
            self._writers.discard(end)

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        open_: asyncio.Event,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                await asyncio.sleep(self.delay)
                await open_.wait()
                writer.write(data)
                await writer.drain()
        writer.close()
