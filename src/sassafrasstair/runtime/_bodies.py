"""Bodies longer than one message, passed on part by part.

At most ``PART_QUEUE`` parts of a request wait here, and one part of an
answer, so a transfer holds a few hundred kilobytes whatever its length.
"""

from __future__ import annotations

import asyncio
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

ARRIVAL_SECONDS = 1.0

_GONE = daemons.AnswerPart(b"", gone=True)


class BodyBroken(Exception):
    """A request body ended early or does not match its digest."""


async def request_body(
    attempt: _attempts.Attempt,
) -> abc.AsyncIterator[bytes]:
    """Yield the whole request body as its parts arrive.

    Raises ``BodyBroken`` instead of ending early: the upstream must see a
    cut connection and not a short body that looks whole.
    """
    digest = _attempts.new_digest(attempt.run.body)
    length = len(attempt.run.body)
    yield attempt.run.body
    last = False
    while not last:
        part = await attempt.parts.get()
        digest.update(part.data)
        length += len(part.data)
        last = part.last
        if last and part.digest != digest.digest():
            raise BodyBroken("digest differs")
        if part.data:
            yield part.data
    if attempt.run.body_length not in (-1, length):
        raise BodyBroken("length differs")


async def take_part(
    slot: _slots.Slot, part: daemons.BodyPart
) -> daemons.PartTaken:
    """Take one part of a request's body; the reply waits for room."""
    attempt = slot.attempts.get(part.attempt_id)
    if attempt is None and part.sequence == 0:
        attempt = await _arrival(slot, part.attempt_id)
    if attempt is None:
        return daemons.PartTaken(False)
    if part.sequence == 0:
        return await _admitted(attempt)
    if part.sequence != attempt.next_part:
        return daemons.PartTaken(False)
    attempt.next_part += 1
    putting = asyncio.ensure_future(attempt.parts.put(part))
    ending = asyncio.ensure_future(attempt.ended.wait())
    await asyncio.wait({putting, ending}, return_when=asyncio.FIRST_COMPLETED)
    taken = putting.done()
    putting.cancel()
    ending.cancel()
    return daemons.PartTaken(taken)


async def next_part(
    slot: _slots.Slot, message: daemons.AnswerNext
) -> daemons.AnswerPart:
    """Return the next part of an answer that is still coming."""
    attempt = slot.attempts.get(message.attempt_id)
    if attempt is None or attempt.rest is None:
        return _GONE
    attempt.rest_parts += 1
    if message.sequence != attempt.rest_parts:
        _slots.fail_rest(slot, attempt, outcomes.Reason.ANSWER_CUT_SHORT)
        return _GONE
    try:
        async with asyncio.timeout(_slots.remaining(slot, attempt)):
            data = await anext(attempt.rest, b"")
    except (upstreams.UpstreamError, TimeoutError):
        _slots.fail_rest(slot, attempt, outcomes.Reason.ANSWER_CUT_SHORT)
        return _GONE
    note_answered(attempt, data)
    if data:
        return daemons.AnswerPart(data)
    return _last_part(slot, attempt)


def note_answered(attempt: _attempts.Attempt, data: bytes) -> None:
    """Count a part of the answer's body into its digest and length."""
    attempt.rest_digest.update(data)
    attempt.rest_length += len(data)


async def rechunk(
    chunks: abc.AsyncIterator[bytes],
) -> abc.AsyncIterator[bytes]:
    """Yield parts of at least ``CHUNK_BYTES``, only the last shorter."""
    held = bytearray()
    async for chunk in chunks:
        held += chunk
        if len(held) >= daemons.CHUNK_BYTES:
            yield bytes(held)
            held.clear()
    if held:
        yield bytes(held)


async def _arrival(
    slot: _slots.Slot, attempt_id: str
) -> _attempts.Attempt | None:
    """Wait until the attempt is known; None if it is not in time."""
    # Failure: each message has an exchange of its own, so the question
    # whether a body is wanted may be handled before its request. Told no,
    # the entrance sends nothing, and the request waits for its body until
    # its deadline.
    arrived = slot.arrivals.setdefault(attempt_id, asyncio.Event())
    try:
        async with asyncio.timeout(ARRIVAL_SECONDS):
            await arrived.wait()
    except TimeoutError:
        return None
    finally:
        slot.arrivals.pop(attempt_id, None)
    return slot.attempts.get(attempt_id)


async def _admitted(attempt: _attempts.Attempt) -> daemons.PartTaken:
    ending = asyncio.ensure_future(attempt.ended.wait())
    both: set[asyncio.Future[typing.Any]] = {attempt.verdict, ending}
    await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
    ending.cancel()
    verdict = attempt.verdict.result() if attempt.verdict.done() else None
    return daemons.PartTaken(isinstance(verdict, load.Start))


def _last_part(
    slot: _slots.Slot, attempt: _attempts.Attempt
) -> daemons.AnswerPart:
    digest = attempt.rest_digest.digest()
    summary = once.Summary(attempt.status, digest, attempt.rest_length)
    _slots.end_ticket(slot, attempt, summary)
    _slots.end(slot, attempt, load.End.DONE)
    return daemons.AnswerPart(b"", last=True, digest=digest)
