"""An attempt that is at this VM's upstream, or waits for it."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import typing

from sassafrasstair import daemons

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.decisions import load

DIGEST_BYTES = 16
PART_QUEUE_SIZE = 2

_END_OF_PARTS = daemons.BodyPart("", -1, b"")


def new_digest(data: bytes = b"") -> hashlib.blake2b:
    """Return the running digest that both sides of a body keep."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES)


@dataclasses.dataclass(slots=True)
class Attempt:
    """State of one attempt; ``deadline`` is a local monotonic instant.

    ``spent`` and the ``child_`` fields gather what the upstream's own
    calls further down told. ``parts`` holds request parts that the
    upstream has not taken yet, ``rest`` what it has not answered yet and
    ``reading`` the read of its next part. ``body_taken`` is true once the
    last part of a long body has come.
    """

    message: daemons.Run
    deadline: float
    admission: asyncio.Future[load.Start | load.TurnAway]
    request_parts: asyncio.Queue[daemons.BodyPart]
    retries_spent: int = 0
    child_retry_after: float = 0.0
    child_refused: bool = False
    task: asyncio.Task[daemons.RunAnswer] | None = None
    next_request_part: int = 1
    status: int = 0
    answer_chunks: abc.AsyncGenerator[bytes, None] | None = None
    answer_digest: hashlib.blake2b = dataclasses.field(
        default_factory=new_digest
    )
    answer_length: int = 0
    answer_parts_sent: int = 0
    pending_read: asyncio.Future[bytes] | None = None
    body_received: bool = False
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def body_is_complete(self) -> bool:
        """Whether all of the request's body is here or at the upstream."""
        return self.body_received or not self.message.more

    def unblock_body_reader(self) -> None:
        """Let whoever waits for a part of the body see that none comes."""
        while not self.request_parts.empty():
            self.request_parts.get_nowait()
        self.request_parts.put_nowait(_END_OF_PARTS)


def new_attempt(run: daemons.Run, deadline: float) -> Attempt:
    """Return an attempt that the guard has not decided on yet."""
    verdict = asyncio.get_running_loop().create_future()
    return Attempt(run, deadline, verdict, asyncio.Queue(PART_QUEUE_SIZE))
