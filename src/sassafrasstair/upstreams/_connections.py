"""Connections on which a reset answer is never taken for a whole one."""

from __future__ import annotations

import functools
import typing

import aiohttp
from aiohttp import client_proto

if typing.TYPE_CHECKING:
    import asyncio


class _Connection(client_proto.ResponseHandler):
    """A connection that fails the answer that it is reset in.

    An answer without a length ends with its connection. aiohttp ends it
    without an error, even if the connection was reset.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an answer that has not ended if the connection broke."""
        content = self._payload
        if exc is not None and content is not None and not content.is_eof():
            error = aiohttp.ClientPayloadError(f"connection lost: {exc!r}")
            content.set_exception(error, exc)
        super().connection_lost(exc)


def use(
    connector: aiohttp.TCPConnector, loop: asyncio.AbstractEventLoop
) -> None:
    """Let a connector open such connections."""
    connection: type[client_proto.ResponseHandler] = _Connection
    # aiohttp has no other way to change the class of its connections.
    connector._factory = functools.partial(connection, loop=loop)
