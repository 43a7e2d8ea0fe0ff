"""One attempt's bodies on their way between two daemons."""

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

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.runtime import _entries

CANCEL_TIMEOUT = 1.0

_Outcome = outcomes.Outcome
_Reason = outcomes.Reason
_background: set[asyncio.Future[typing.Any]] = set()


class BodyTooLarge(Exception):
    """The caller sent more than the class allows, after it began."""


class AnswerBroken(Exception):
    """The rest of an answer is lost, or it does not match its digest."""


@dataclasses.dataclass(slots=True)
class Transfer:
    """One attempt at ``vm``, whose body is at most ``max_body`` bytes.

    ``body_used`` says whether the caller's later parts were read.
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
    """Send the attempt and its body; return how it ended.

    The second value is the upstream's answer when there is one.
    """
    try:
        reply = await _exchange(entry, transfer, message, request)
    except BodyTooLarge:
        cancel(entry, transfer.vm, transfer.attempt_id)
        return _lost(_Reason.BODY_TOO_LARGE), None
    except daemons.PeerTimeout:
        cancel(entry, transfer.vm, transfer.attempt_id)
        return _lost(_Reason.DEADLINE_PASSED), None
    except daemons.PeerUnreachable:
        return _unreachable(), None
    except daemons.PeerLost:
        return _lost(_Reason.PEER_LOST), None
    return _read(transfer, reply)


async def _exchange(
    entry: _entries.Entry,
    transfer: Transfer,
    message: daemons.Run,
    request: callers.Request,
) -> daemons.Message:
    """Return the reply; raise at once what ends the body's passing on."""
    timeout = message.remaining_ms / 1000
    if not request.has_more_parts:
        return await entry.ask(transfer.vm, message, timeout)
    asking = asyncio.ensure_future(entry.ask(transfer.vm, message, timeout))
    pump = asyncio.ensure_future(_pump(entry, transfer, request, timeout))
    both: set[asyncio.Future[typing.Any]] = {asking, pump}
    try:
        await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
        if pump.done():
            pump.result()
        return await asking
    finally:
        asking.cancel()
        pump.cancel()


def _read(
    transfer: Transfer, reply: daemons.Message
) -> tuple[calls.Answer, daemons.RunAnswer | None]:
    # Failure: an answer to another attempt is taken for this one's, and a
    # caller gets another caller's answer. Attempts are named by the
    # entrance's incarnation and a serial, so the names never meet again.
    if not isinstance(reply, daemons.RunAnswer):
        return _lost(_Reason.PEER_LOST), None
    if reply.attempt_id != transfer.attempt_id:
        return _lost(_Reason.PEER_LOST), None
    outcome = _Outcome(reply.outcome)
    reason = _Reason(reply.reason)
    whole = reply.more or _matches(reply)
    if outcome is _Outcome.DONE and reply.status and not whole:
        return _lost(_Reason.ANSWER_CUT_SHORT), None
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


def _matches(reply: daemons.RunAnswer) -> bool:
    return _attempts.new_digest(reply.body).digest() == reply.digest


async def _pump(
    entry: _entries.Entry,
    transfer: Transfer,
    request: callers.Request,
    timeout: float,
) -> None:
    """Pass on the body's later parts, once the attempt has started."""
    begin = daemons.BodyPart(transfer.attempt_id, 0, b"")
    if not await _wanted(entry, transfer, begin, timeout):
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
        if not await _wanted(entry, transfer, part, timeout):
            return
    last = daemons.BodyPart(
        transfer.attempt_id, sequence + 1, b"", True, digest.digest()
    )
    await _wanted(entry, transfer, last, timeout)


async def _chunked(
    parts: abc.AsyncIterator[bytes],
) -> abc.AsyncIterator[bytes]:
    held = bytearray()
    async for part in parts:
        held += part
        if len(held) >= daemons.CHUNK_BYTES:
            yield bytes(held)
            held.clear()
    if held:
        yield bytes(held)


async def _wanted(
    entry: _entries.Entry,
    transfer: Transfer,
    part: daemons.BodyPart,
    timeout: float,
) -> bool:
    try:
        reply = await entry.ask(transfer.vm, part, timeout)
    except daemons.PeerError:
        return False
    return isinstance(reply, daemons.PartReply) and reply.wanted


def to_reply(
    entry: _entries.Entry,
    vm: str,
    answer: daemons.RunAnswer,
    deadline: float,
) -> callers.Reply | callers.Refusal:
    """Return the upstream's answer as the caller gets it."""
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
    if not answer.more:
        return callers.Reply(answer.status, headers, answer.body)
    parts = _rest(entry, vm, answer, deadline)
    left = max(0.0, deadline - entry.clock.monotonic())
    return callers.Reply(answer.status, headers, answer.body, parts, left)


async def _rest(
    entry: _entries.Entry,
    vm: str,
    answer: daemons.RunAnswer,
    deadline: float,
) -> abc.AsyncGenerator[bytes, None]:
    digest = _attempts.new_digest(answer.body)
    sequence = 0
    whole = False
    try:
        while not whole:
            sequence += 1
            ask = daemons.AnswerFetch(answer.attempt_id, sequence)
            left = max(0.0, deadline - entry.clock.monotonic())
            part = await entry.ask(vm, ask, left)
            if not isinstance(part, daemons.AnswerPart) or part.gone:
                raise AnswerBroken("a part is gone")
            digest.update(part.data)
            if part.last and part.digest != digest.digest():
                raise AnswerBroken("digest differs")
            whole = part.last
            if part.data:
                yield part.data
    finally:
        if not whole:
            cancel(entry, vm, answer.attempt_id)


def cancel(entry: _entries.Entry, vm: str, attempt_id: str) -> None:
    """Tell the callee, without waiting, that nobody waits any more."""
    task = asyncio.ensure_future(_cancel(entry, vm, attempt_id))
    _background.add(task)
    task.add_done_callback(_background.discard)


async def _cancel(entry: _entries.Entry, vm: str, attempt_id: str) -> None:
    message = daemons.Cancel(attempt_id)
    with contextlib.suppress(daemons.PeerError):
        await entry.ask(vm, message, CANCEL_TIMEOUT)


def _unreachable() -> calls.Answer:
    return calls.Answer(_Outcome.NOT_RUN, _Reason.PEER_UNREACHABLE)


def _lost(reason: outcomes.Reason) -> calls.Answer:
    return calls.Answer(_Outcome.UNKNOWN, reason)
