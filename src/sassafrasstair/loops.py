"""The event loop's passes, in which it reads sockets and runs callbacks."""

from __future__ import annotations

import asyncio

_PASSES = 3
"""A signal, or data of a socket, is read in the first, handled in the second,
and what was woken by it has run before the third."""


async def settle() -> None:
    """Return once all that had arrived before the call has been handled."""
    for _ in range(_PASSES):
        await asyncio.sleep(0)
