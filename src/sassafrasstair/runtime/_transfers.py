"""Transfer of request and answer bodies between two daemons."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import typing

from sassafrasstair import callers
from sassafrasstair import daemons
from sassafrasstair.decisions import calls
from sassafrasstair import outcomes
from sassafrasstair.runtime import _attempts
from sassafrasstair import statuses

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.runtime import _entries

CANCEL_TIMEOUT = 1.0

_Outcome = outcomes.Outcome
_Reason = outcomes.Reason
_background_tasks: set[asyncio.Future[typing.Any]] = set()


class BodyTooLarge(Exception):
    """The caller's body has grown beyond the limit of its class."""


class AnswerBroken(Exception):
    """The rest of an answer is lost or does not match its digest."""


@dataclasses.dataclass(slots=True)
class Transfer:
    """One attempt at ``vm`` with a body of at most ``max_body`` bytes.

    ``body_consumed`` is set once reading the caller's later parts began.
    """

    attempt_id: str
    vm: str
    max_body: int
    body_consumed: bool = False


async def send(
    entry: _entries.Entry,
    transfer: Transfer,
    message: daemons.Run,
    request: callers.Request,
) -> tuple[calls.Answer, daemons.RunAnswer | None]:
    """Send the attempt and its body and return its result.

    The second value is the upstream's answer when there is one.
    """
    try:
        reply = await _exchange(entry, transfer, message, request)
    except BodyTooLarge:
        cancel(entry, transfer.vm, transfer.attempt_id)
        return _unknown_answer(_Reason.BODY_TOO_LARGE), None
    except daemons.PeerTimeout:
        cancel(entry, transfer.vm, transfer.attempt_id)
        return _unknown_answer(_Reason.DEADLINE_PASSED), None
    except daemons.PeerUnreachable:
        return _not_run_answer(), None
    except daemons.PeerLost:
        return _unknown_answer(_Reason.PEER_LOST), None
    return _check_reply(transfer, reply)


async def _exchange(
    entry: _entries.Entry,
    transfer: Transfer,
    message: daemons.Run,
    request: callers.Request,
) -> daemons.Message:
    """Return the reply; raise at once an error in sending the body."""
    timeout = message.remaining_ms / 1000
    if not request.has_more_parts:
        return await entry.exchange(transfer.vm, message, timeout)
    request_task = asyncio.ensure_future(
        entry.exchange(transfer.vm, message, timeout)
    )
    body_task = asyncio.ensure_future(
        _send_body(entry, transfer, request, timeout)
    )
    futures: set[asyncio.Future[typing.Any]] = {request_task, body_task}
    try:
        await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
        if body_task.done():
            body_task.result()
        return await request_task
    finally:
        request_task.cancel()
        body_task.cancel()


def _check_reply(
    transfer: Transfer, reply: daemons.Message
) -> tuple[calls.Answer, daemons.RunAnswer | None]:
    # An answer to another attempt must not be used, or a caller would get
    # another caller's answer. The identifier of an attempt consists of the
    # entrance's incarnation and a serial number, so it is never reused.
    if not isinstance(reply, daemons.RunAnswer):
        return _unknown_answer(_Reason.PEER_LOST), None
    if reply.attempt_id != transfer.attempt_id:
        return _unknown_answer(_Reason.PEER_LOST), None
    outcome = _Outcome(reply.outcome)
    reason = _Reason(reply.reason)
    is_complete = reply.has_more_parts or _matches_digest(reply)
    is_answer = is_complete and statuses.is_valid(reply.status)
    if outcome is _Outcome.DONE and reply.status and not is_answer:
        return _unknown_answer(_Reason.ANSWER_CUT_SHORT), None
    answer = calls.Answer(
        outcome=outcome,
        reason=reason,
        load=calls.LoadReport(
            reply.busy, reply.floor, reply.limit, reply.service_seconds
        ),
        retries_spent=reply.retries_spent,
        retry_after=reply.retry_after_ms / 1000,
        incarnation=reply.incarnation,
    )
    return answer, reply


def _matches_digest(reply: daemons.RunAnswer) -> bool:
    return _attempts.new_digest(reply.body).digest() == reply.digest


async def _send_body(
    entry: _entries.Entry,
    transfer: Transfer,
    request: callers.Request,
    timeout: float,
) -> None:
    """Send the later parts of the body once the attempt has started."""
    part_zero = daemons.BodyPart(transfer.attempt_id, 0, b"")
    if not await _send_part(entry, transfer, part_zero, timeout):
        return
    transfer.body_consumed = True
    digest = _attempts.new_digest(request.first_part)
    length = len(request.first_part)
    sequence = 0
    async for data in _chunked(request.remaining_parts):
        sequence += 1
        length += len(data)
        if length > transfer.max_body:
            raise BodyTooLarge
        digest.update(data)
        part = daemons.BodyPart(transfer.attempt_id, sequence, data)
        if not await _send_part(entry, transfer, part, timeout):
            return
    last = daemons.BodyPart(
        transfer.attempt_id, sequence + 1, b"", True, digest.digest()
    )
    await _send_part(entry, transfer, last, timeout)


async def _chunked(
    parts: abc.AsyncIterator[bytes],
) -> abc.AsyncIterator[bytes]:
    buffer = bytearray()
    async for part in parts:
        buffer += part
        if len(buffer) >= daemons.CHUNK_BYTES:
            yield bytes(buffer)
            buffer.clear()
    if buffer:
        yield bytes(buffer)


async def _send_part(
    entry: _entries.Entry,
    transfer: Transfer,
    part: daemons.BodyPart,
    timeout: float,
) -> bool:
    try:
        reply = await entry.exchange(transfer.vm, part, timeout)
    except daemons.PeerError:
        return False
    return isinstance(reply, daemons.PartReply) and reply.wanted


def to_reply(
    entry: _entries.Entry,
    vm: str,
    answer: daemons.RunAnswer,
    deadline: float,
) -> callers.Reply | callers.Refusal:
    """Return the upstream's answer in the form sent to the caller."""
    if not answer.status:
        return callers.Refusal(
            _Outcome.DONE,
            _Reason(answer.reason),
            0.0,
            "it was done before; its answer was too large to be kept",
        )
    headers = tuple(
        (name, value)
        for name, value in answer.headers
        if not name.startswith("sassafras-")
    )
    headers += (("sassafras-outcome", _Outcome.DONE.value),)
    if not answer.has_more_parts:
        return callers.Reply(answer.status, headers, answer.body)
    parts = _answer_parts(entry, vm, answer, deadline)
    seconds_left = max(0.0, deadline - entry.clock.monotonic())
    return callers.Reply(
        answer.status, headers, answer.body, parts, seconds_left
    )


async def _answer_parts(
    entry: _entries.Entry,
    vm: str,
    answer: daemons.RunAnswer,
    deadline: float,
) -> abc.AsyncGenerator[bytes, None]:
    digest = _attempts.new_digest(answer.body)
    sequence = 0
    complete = False
    try:
        while not complete:
            sequence += 1
            fetch = daemons.AnswerFetch(answer.attempt_id, sequence)
            seconds_left = max(0.0, deadline - entry.clock.monotonic())
            part = await entry.exchange(vm, fetch, seconds_left)
            if not isinstance(part, daemons.AnswerPart) or part.is_lost:
                raise AnswerBroken("a part is gone")
            digest.update(part.data)
            if part.last and part.digest != digest.digest():
                raise AnswerBroken("digest differs")
            complete = part.last
            if part.data:
                yield part.data
    finally:
        if not complete:
            cancel(entry, vm, answer.attempt_id)


def cancel(entry: _entries.Entry, vm: str, attempt_id: str) -> None:
    """Tell the callee that nobody waits; do not wait for its reply."""
    task = asyncio.ensure_future(_cancel(entry, vm, attempt_id))
    _background_tasks.add(task)
    task.add_done_callback(_background_tasks.discard)


async def _cancel(entry: _entries.Entry, vm: str, attempt_id: str) -> None:
    message = daemons.Cancel(attempt_id)
    with contextlib.suppress(daemons.PeerError):
        await entry.exchange(vm, message, CANCEL_TIMEOUT)


def _not_run_answer() -> calls.Answer:
    return calls.Answer(_Outcome.NOT_RUN, _Reason.PEER_UNREACHABLE)


def _unknown_answer(reason: outcomes.Reason) -> calls.Answer:
    return calls.Answer(_Outcome.UNKNOWN, reason)
