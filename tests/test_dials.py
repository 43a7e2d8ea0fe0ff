"""Tests of opening connections, and of the kernel's probes on them."""

from __future__ import annotations

import asyncio
import socket

import pytest

from sassafrasstair import dials

SECONDS = 0.2
HOST = "127.0.0.1"


def test_connection_that_is_refused_or_late_raises_an_error() -> None:
    """A queue that is full accepts nothing: connecting takes for ever."""

    async def test() -> None:
        with socket.socket() as listening:
            listening.bind((HOST, 0))
            port = listening.getsockname()[1]
            with pytest.raises(ConnectionRefusedError):
                await dials.dial(asyncio.Protocol, HOST, port, SECONDS)
            listening.listen(0)
            transports = []
            with pytest.raises(TimeoutError):
                while True:
                    transport, _ = await dials.dial(
                        asyncio.Protocol, HOST, port, SECONDS
                    )
                    transports.append(transport)
            for transport in transports:
                transport.abort()

    asyncio.run(test())


def test_probes_are_set_as_told() -> None:
    with socket.socket() as sock:
        dials.probe(sock, 2, 1, 3)
        tcp = socket.IPPROTO_TCP
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        assert sock.getsockopt(tcp, socket.TCP_KEEPIDLE) == 2
        assert sock.getsockopt(tcp, socket.TCP_KEEPINTVL) == 1
        assert sock.getsockopt(tcp, socket.TCP_KEEPCNT) == 3
