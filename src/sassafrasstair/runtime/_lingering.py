"""Connections of callers whose last answer is not lost to a reset.

If a socket is closed while it holds what its peer sent, the kernel resets the
connection, which drops what the peer has not received yet (RFC 9112, 9.6).
"""

from __future__ import annotations

import typing

from uvicorn.protocols.http import httptools_impl

from sassafrasstair import httpio

if typing.TYPE_CHECKING:
    import asyncio

POLL_SECONDS = 0.05
LINGER_SECONDS = 30.0
"""A caller that has not received its last answer by then is cut off."""


class _Transport:
    """Closes a connection once its peer has received all that was written.

    What the peer sends until then is read, and dropped by ``Protocol``.
    """

    def __init__(
        self, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._transport = transport
        self._loop = loop
        self._lingers = False

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._transport, name)

    def is_closing(self) -> bool:
        """Return whether nothing more is written."""
        return self._lingers or self._transport.is_closing()

    def close(self) -> None:
        """Close the connection, now or soon."""
        if self.is_closing():
            return
        if not httpio.unsent_bytes(self._transport, False):
            self._transport.close()
            return
        self._lingers = True
        self._transport.write_eof()
        self._transport.resume_reading()
        self._close_if_sent(self._loop.time() + LINGER_SECONDS)

    def _close_if_sent(self, until: float) -> None:
        if self._transport.is_closing():
            return
        if not httpio.unsent_bytes(self._transport, True):
            self._transport.close()
        elif self._loop.time() >= until:
            self._transport.abort()
        else:
            self._loop.call_later(POLL_SECONDS, self._close_if_sent, until)


class Protocol(httptools_impl.HttpToolsProtocol):
    """uvicorn's protocol, on such connections."""

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Use a transport that lingers."""
        lingering = _Transport(transport, self.loop)
        super().connection_made(typing.cast("asyncio.Transport", lingering))

    def data_received(self, data: bytes) -> None:
        """Drop what comes behind the last answer."""
        if not self.transport.is_closing():
            super().data_received(data)
