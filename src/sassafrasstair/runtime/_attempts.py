"""Attempts that run at this VM's upstream or wait for it."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import typing

from sassafrasstair import daemons

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair import bundles
    from sassafrasstair.decisions import load

DIGEST_BYTES = 16
PART_QUEUE_SIZE = 2

_END_OF_PARTS = daemons.BodyPart("", -1, b"")


def new_digest(data: bytes = b"") -> hashlib.blake2b:
    """Return the incremental digest that both ends of a transfer compute."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES)


@dataclasses.dataclass(slots=True)
class Attempt:
    """State of one attempt.

    ``message`` is the request that started it and ``deadline`` a time of
    the local monotonic clock. ``bundle`` is the one that it was accepted
    under; a later one does not change its rules. ``admission`` is set once
    the guard has decided whether the attempt may start.

    The upstream may make calls of its own. ``retries_spent`` counts the
    retries of these calls, ``child_refused`` is set if one of them was
    refused, and ``child_retry_after`` is the longest time, in seconds,
    after which such a refusal allows a repeat.

    ``request_parts`` holds body parts that the upstream has not read yet;
    ``next_request_part`` is the sequence number of the next one to arrive
    and ``body_received`` is set once the last part of a long body has
    arrived. For an answer longer than one message, ``answer_chunks`` yields
    the rest of its body, ``pending_read`` is the read in progress of its
    next part, and ``answer_parts_sent`` counts the parts requested so far.
    """

    message: daemons.Run
    deadline: float
    bundle: bundles.Bundle
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
        """Whether the whole request body has arrived at this daemon."""
        return self.body_received or not self.message.has_more_parts

    def unblock_body_reader(self) -> None:
        """Wake the reader of the request body: no further part will come."""
        while not self.request_parts.empty():
            self.request_parts.get_nowait()
        self.request_parts.put_nowait(_END_OF_PARTS)


def new_attempt(
    run: daemons.Run, deadline: float, bundle: bundles.Bundle
) -> Attempt:
    """Return an attempt that the guard has not admitted or refused yet."""
    verdict = asyncio.get_running_loop().create_future()
    parts: asyncio.Queue[daemons.BodyPart] = asyncio.Queue(PART_QUEUE_SIZE)
    return Attempt(run, deadline, bundle, verdict, parts)
