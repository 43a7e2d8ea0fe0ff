"""Connections that fail answers which are reset, or which never begin."""

from __future__ import annotations

import functools
import http
import typing

import aiohttp
from aiohttp import client_proto

if typing.TYPE_CHECKING:
    import asyncio

    from aiohttp import http_parser

MESSAGES_MAX = 64
"""Interim answers, or answers that nobody reads. An upstream may send them
without end, and each costs the event loop some time."""


class _Connection(client_proto.ResponseHandler):
    """A connection that fails the answer that it is reset in.

    An answer without a length ends with its connection. aiohttp ends it
    without an error, even if the connection was reset. Nor does aiohttp bound
    how many answers a connection receives.
    """

    _interim_messages = 0
    """Interim answers since the last other one."""

    def feed_data(
        self,
        data: tuple[http_parser.RawResponseMessage, typing.Any],
        size: int = 0,
    ) -> None:
        """Queue an answer, or fail the connection if it is one too many."""
        message, _ = data
        is_interim = message.code < http.HTTPStatus.OK
        self._interim_messages = (
            self._interim_messages + 1 if is_interim else 0
        )
        if max(self._interim_messages, len(self)) < MESSAGES_MAX:
            super().feed_data(data, size)
        elif not self.is_eof():
            self.set_exception(aiohttp.ClientPayloadError("too many answers"))
            self.close()

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
