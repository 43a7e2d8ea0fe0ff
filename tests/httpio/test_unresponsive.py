"""Tests of which connections count as lost while a request waits."""

from __future__ import annotations

import asyncio
import struct

import pytest

from sassafrasstair.httpio import _sockets

SECONDS = 1.5


class _Socket:
    """Has the kernel's ``tcp_info`` of a connection."""

    def __init__(self, info: bytes) -> None:
        self._info = info

    def fileno(self) -> int:
        return 3

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        return self._info[:size]


class _Transport(asyncio.BaseTransport):
    def __init__(self, info: bytes) -> None:
        super().__init__({"socket": _Socket(info)})


def _info(retransmits: int, probes: int, silent_ms: int) -> bytes:
    """Return the beginning of ``tcp_info``, as in ``linux/tcp.h``."""
    states = struct.pack("8B", 1, 0, retransmits, probes, 0, 0, 0, 0)
    times = (0, 0, 0, silent_ms)
    return states + struct.pack("13I", *9 * [0], *times) + bytes(100)


@pytest.mark.parametrize(
    ("retransmits", "probes", "silent_ms", "lost"),
    [
        pytest.param(0, 0, 9_000, False, id="nothing to acknowledge"),
        pytest.param(3, 0, 1_600, True, id="sent again and again"),
        pytest.param(3, 0, 900, False, id="not for long"),
        pytest.param(0, 1, 9_000, False, id="a probe was just sent"),
        pytest.param(0, 2, 1_600, True, id="probes without an answer"),
    ],
)
def test_peer_that_only_reads_late_is_not_taken_for_lost(
    retransmits: int, probes: int, silent_ms: int, lost: bool
) -> None:
    """The kernel's time-out counts a closed window as silence."""
    transport = _Transport(_info(retransmits, probes, silent_ms))
    assert _sockets.is_unresponsive(transport, SECONDS) is lost


def test_kernel_without_these_figures_tells_nothing() -> None:
    """Fewer bytes of ``tcp_info`` than are needed."""
    transport = _Transport(_info(3, 3, 9_000)[:8])
    assert not _sockets.is_unresponsive(transport, SECONDS)
