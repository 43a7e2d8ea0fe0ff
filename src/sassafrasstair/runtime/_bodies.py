"""Bodies longer than one message, transferred part by part.

A part has at least ``CHUNK_BYTES`` and at most that plus one read of the
event loop (256 KB). At most ``PART_QUEUE_SIZE`` parts of a request are
queued here, while one more is being received and one is being sent to the
upstream. Of an answer, one part is in memory. With the copies made by
encoding and sending, a transfer uses about 3 MB of a daemon's memory,
regardless of its length (docs/MEASUREMENTS.md, "Large bodies").
``MAX_LARGE_BODIES`` bounds the number of concurrent large requests, and the
slots of the instance bound the number of answers.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing

from sassafrasstair import daemons
from sassafrasstair.decisions import load
from sassafrasstair.decisions import once
from sassafrasstair import outcomes
from sassafrasstair.runtime import _attempts
from sassafrasstair.runtime import _slots
from sassafrasstair import upstreams

if typing.TYPE_CHECKING:
    from collections import abc

ATTEMPT_WAIT_SECONDS = 1.0

_LOST_PART = daemons.AnswerPart(b"", is_lost=True)


class BodyBroken(Exception):
    """A request body ended early or does not match its digest."""


async def request_body(
    attempt: _attempts.Attempt,
) -> abc.AsyncIterator[bytes]:
    """Yield the whole request body as its parts arrive.

    Raises ``BodyBroken`` if a part is missing, so that the upstream sees a
    broken connection and not a short body that looks complete.
    """
    digest = _attempts.new_digest(attempt.message.body)
    length = len(attempt.message.body)
    yield attempt.message.body
    last = False
    while not last:
        part = await attempt.request_parts.get()
        if attempt.ended.is_set():
            raise BodyBroken("the attempt has ended")
        digest.update(part.data)
        length += len(part.data)
        last = part.last
        if last and part.digest != digest.digest():
            raise BodyBroken("digest differs")
        if part.data:
            yield part.data
    if attempt.message.body_length not in (-1, length):
        raise BodyBroken("length differs")


async def receive_part(
    callee: _slots.Callee, part: daemons.BodyPart
) -> daemons.PartReply:
    """Accept one part of a request's body.

    The reply is delayed until the part queue has room.
    """
    attempt = callee.attempts.get(part.attempt_id)
    if attempt is None and part.sequence == 0:
        attempt = await _wait_for_attempt(callee, part.attempt_id)
    if attempt is None:
        return daemons.PartReply(False)
    if part.sequence == 0:
        return await _reply_when_admitted(attempt)
    if part.sequence != attempt.next_request_part:
        return daemons.PartReply(False)
    attempt.next_request_part += 1
    attempt.body_received = part.last
    if not attempt.request_parts.full():
        attempt.request_parts.put_nowait(part)
        return daemons.PartReply(True)
    put_task = asyncio.ensure_future(attempt.request_parts.put(part))
    return daemons.PartReply(await _wait_unless_ended(attempt, put_task))


async def read_answer_part(
    callee: _slots.Callee, message: daemons.AnswerFetch
) -> daemons.AnswerPart:
    """Return the next part of an answer that is still being sent."""
    attempt = callee.attempts.get(message.attempt_id)
    if attempt is None or attempt.answer_chunks is None:
        return _LOST_PART
    attempt.answer_parts_sent += 1
    if message.sequence != attempt.answer_parts_sent:
        _slots.fail_answer(callee, attempt, outcomes.Reason.ANSWER_CUT_SHORT)
        return _LOST_PART
    try:
        data = await _read_before_deadline(
            callee, attempt, attempt.answer_chunks
        )
    except (upstreams.UpstreamError, TimeoutError):
        _slots.fail_answer(callee, attempt, outcomes.Reason.ANSWER_CUT_SHORT)
        return _LOST_PART
    record_answer_part(attempt, data)
    if data:
        return daemons.AnswerPart(data)
    return _last_part(callee, attempt)


def record_answer_part(attempt: _attempts.Attempt, data: bytes) -> None:
    """Add a part of the answer's body to its digest and length."""
    attempt.answer_digest.update(data)
    attempt.answer_length += len(data)


async def _read_before_deadline(
    callee: _slots.Callee,
    attempt: _attempts.Attempt,
    chunks: abc.AsyncIterator[bytes],
) -> bytes:
    """Return the next part of the answer.

    Raises ``TimeoutError`` if the deadline passes or the attempt ends. The
    read runs in a task of its own, so that cancelling the attempt cancels
    it and the upstream's connection closes at once, not at the deadline.
    """
    read_task = asyncio.ensure_future(_next_chunk(chunks))
    attempt.pending_read = read_task
    seconds_left = max(0.0, _slots.remaining(callee, attempt))
    try:
        await asyncio.wait({read_task}, timeout=seconds_left)
    finally:
        read_task.cancel()
    if not read_task.done() or read_task.cancelled():
        raise TimeoutError
    return read_task.result()


async def _next_chunk(chunks: abc.AsyncIterator[bytes]) -> bytes:
    return await anext(chunks, b"")


async def rechunk(
    chunks: abc.AsyncGenerator[bytes, None],
) -> abc.AsyncGenerator[bytes, None]:
    """Yield parts of at least ``CHUNK_BYTES``; the last may be shorter."""
    buffer = bytearray()
    async with contextlib.aclosing(chunks):
        async for chunk in chunks:
            buffer += chunk
            if len(buffer) >= daemons.CHUNK_BYTES:
                yield bytes(buffer)
                buffer.clear()
        if buffer:
            yield bytes(buffer)


async def _wait_for_attempt(
    callee: _slots.Callee, attempt_id: str
) -> _attempts.Attempt | None:
    """Wait for the request of the attempt; return None if it is late."""
    # Each message has an exchange of its own, so part 0 of a body may be
    # handled before the request that it belongs to. If it were rejected,
    # the entrance would not send the body, and the request would wait for
    # it until its deadline.
    arrived = callee.arrival_events.setdefault(attempt_id, asyncio.Event())
    try:
        async with asyncio.timeout(ATTEMPT_WAIT_SECONDS):
            await arrived.wait()
    except TimeoutError:
        return None
    finally:
        callee.arrival_events.pop(attempt_id, None)
    return callee.attempts.get(attempt_id)


async def _reply_when_admitted(
    attempt: _attempts.Attempt,
) -> daemons.PartReply:
    if not await _wait_unless_ended(
        attempt, asyncio.shield(attempt.admission)
    ):
        return daemons.PartReply(False)
    return daemons.PartReply(
        isinstance(attempt.admission.result(), load.Start)
    )


async def _wait_unless_ended(
    attempt: _attempts.Attempt, work: asyncio.Future[typing.Any]
) -> bool:
    """Wait for ``work`` and return whether it finished.

    If the attempt ends first, cancel ``work``.
    """
    ended_task = asyncio.ensure_future(attempt.ended.wait())
    futures: set[asyncio.Future[typing.Any]] = {work, ended_task}
    try:
        await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
        return work.done()
    finally:
        work.cancel()
        ended_task.cancel()


def _last_part(
    callee: _slots.Callee, attempt: _attempts.Attempt
) -> daemons.AnswerPart:
    digest = attempt.answer_digest.digest()
    summary = once.Summary(attempt.status, digest, attempt.answer_length)
    _slots.end_ticket(callee, attempt, summary)
    _slots.end_attempt(callee, attempt, load.End.DONE)
    return daemons.AnswerPart(b"", last=True, digest=digest)
