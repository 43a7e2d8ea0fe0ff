"""What daemons tell each other of policy and instances.

A daemon asks for what changed after its own content, and names in a field
for how long its poll may wait for news. A daemon of the version before
does not know the field and answers at once with its whole view.
"""

from __future__ import annotations

import math
import typing

import msgspec

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import policies
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _wire
from sassafrasstair import httpio

VIEW_PATH = b"/-sassafras/view"
HEADER = b"Sassafras-Feed"
HEADER_LOWER = HEADER.lower()
SENDER_HEADER = b"Sassafras-Sender"
SENDER_HEADER_LOWER = SENDER_HEADER.lower()
"""Names the process that polls."""
LOOP_STATUS = 508
"""Said by a daemon that gets a poll of its own."""
HOLD_SECONDS_MAX = 10.0
"""No poll waits longer, whatever it says."""
AGE_SECONDS_MAX = 86_400.0
"""A view that nobody has heard of the store for is told as a day old."""
_NOT_LOST = "-"
_T = typing.TypeVar("_T")


def poll_head(
    host: str, after: int, hold: float, *told: tuple[bytes, bytes]
) -> bytes:
    """Return the head of a poll for what changed after a revision.

    That up to which the view goes, and not its last change: a peer whose own
    last change seems later, as after a reading of the whole, has then nothing
    to tell, and would be asked again and again for what it can't give.
    ``told`` are more fields.
    """
    target = b"%s?after=%d" % (VIEW_PATH, after)
    fields = [(b"Host", host.encode()), (HEADER, b"%.3f" % hold), *told]
    return httpio.request_head(b"GET", target, fields, 0)


def decode_poll(query: bytes, field: bytes | None) -> tuple[int, float | None]:
    """Return the content and the hold; None from an older daemon.

    Raises ``WireError``.
    """
    _, _, content = query.partition(b"=")
    try:
        hold = None if field is None else float(field)
        if hold is not None and not 0.0 <= hold <= HOLD_SECONDS_MAX:
            raise _wire.WireError(f"feed: hold {hold}")
        return int(content), hold
    except ValueError as error:
        raise _wire.WireError(f"feed: {error}") from error


def encode_status(status: feeds.PeerStatus, content: int) -> bytes:
    """Return the field's value of an answer; ``content`` is the view's."""
    lost = _NOT_LOST if status.lost is None else f"{status.lost:.3f}"
    return b"%d %d %s %.3f %d %.3f" % (
        status.revision,
        content,
        lost.encode(),
        status.recovering_seconds,
        status.leaving,
        min(status.age_seconds, AGE_SECONDS_MAX),
    )


def decode_answer(
    field: bytes, body: bytes
) -> tuple[feeds.PeerStatus, views.Delta]:
    """Return what a daemon tells; raises ``WireError``."""
    try:
        parts = field.decode().split(" ")
        revision, content, lost, unsteady, leaving, age = parts
        status = feeds.PeerStatus(
            int(revision),
            None if lost == _NOT_LOST else _seconds(lost),
            _seconds(unsteady),
            leaving == "1",
            _seconds(age),
        )
        if not body:
            return status, views.Delta(int(revision), int(content))
    except ValueError as error:
        raise _wire.WireError(f"feed: {error}") from error
    delta = _decode(body, views.Delta)
    _check_policy(delta.policy)
    return status, views.usable_delta(delta)


def encode_delta(delta: views.Delta) -> bytes:
    """Return the body of an answer; nothing when nothing changed."""
    return b"" if delta.empty else msgspec.msgpack.encode(delta)


def encode_snapshot(snapshot: views.Snapshot) -> bytes:
    """Return a snapshot for a daemon of the version before."""
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(body: bytes) -> views.Snapshot:
    """Return the snapshot of a daemon; raises ``WireError``.

    Instances that can't be used are left out.
    """
    found = _decode(body, views.Snapshot)
    _check_policy(found.policy)
    return views.without_unusable(found)


def _decode(body: bytes, kind: type[_T]) -> _T:
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise _wire.WireError(f"view: {error}") from error


def _check_policy(policy: policies.Policy | None) -> None:
    wrong = "" if policy is None else policies.find_fault(policy)
    if wrong:
        raise _wire.WireError(f"view: policy: {wrong}")


def _seconds(value: str) -> float:
    seconds = float(value)
    if not 0.0 <= seconds < math.inf:
        raise ValueError(f"not seconds: {value!r}")
    return seconds
