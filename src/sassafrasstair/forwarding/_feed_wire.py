"""Encodes the polls by which daemons exchange policy and instances.

A daemon polls for the changes since its own revision, and a header says for
how long the poll may be held open until there are any. A daemon of the
previous release does not know the header and answers at once with its whole
view.
"""

from __future__ import annotations

import typing

import msgspec

from sassafrasstair.decisions import feeds
from sassafrasstair.decisions import policies
from sassafrasstair.decisions import views
from sassafrasstair.forwarding import _wire
from sassafrasstair import httpio

if typing.TYPE_CHECKING:
    from collections import abc

VIEW_PATH = b"/-sassafras/view"
HEADER = b"Sassafras-Feed"
HEADER_LOWER = HEADER.lower()
SENDER_HEADER = b"Sassafras-Sender"
SENDER_HEADER_LOWER = SENDER_HEADER.lower()
"""Identifies the process that polls or pings."""
DOUBT_HEADER = b"Sassafras-Doubt"
DOUBT_HEADER_LOWER = DOUBT_HEADER.lower()
"""For how many seconds the store has been in doubt to a polled daemon."""
LOOP_STATUS = 508
"""Status of the answer to a daemon that has polled itself."""
HOLD_SECONDS_MAX = 10.0
"""Greatest hold time of a poll; a longer one is an error."""
AGE_SECONDS_MAX = 86_400.0
"""Greatest age in an answer, used if the store has never answered."""
_NOT_LOST = "-"
_T = typing.TypeVar("_T")


def poll_head(
    host: str, after: int, hold_seconds: float, *headers: tuple[bytes, bytes]
) -> bytes:
    """Return the head of a poll for what changed after a revision.

    ``after`` is the revision up to which the view has all changes, not that
    of its last change. With the latter, a peer whose own last change seems
    later, as after a full read, would have nothing to send and would be
    polled again and again. ``headers`` are added to the head.
    """
    target = b"%s?after=%d" % (VIEW_PATH, after)
    fields = [
        (b"Host", host.encode()),
        (HEADER, b"%.3f" % hold_seconds),
        *headers,
    ]
    return httpio.request_head(b"GET", target, fields, 0)


def decode_poll(
    query: bytes, header: bytes | None
) -> tuple[int, float | None]:
    """Return the revision to answer from and the hold time in seconds.

    The hold time is None if a daemon of the previous release polls. Raises
    ``WireError``.
    """
    _, _, after = query.partition(b"=")
    try:
        hold_seconds = None if header is None else float(header)
        if (
            hold_seconds is not None
            and not 0.0 <= hold_seconds <= HOLD_SECONDS_MAX
        ):
            raise _wire.WireError(f"feed: hold {hold_seconds}")
        return _wire.parse_revision(after), hold_seconds
    except ValueError as error:
        raise _wire.WireError(f"feed: {error}") from error


def encode_status(status: feeds.PeerStatus, content: int) -> bytes:
    """Return the header of an answer.

    ``content`` is the revision of the last change in the view.
    """
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
    header: bytes, body: bytes
) -> tuple[feeds.PeerStatus, views.Delta]:
    """Return the status and changes of a peer; raises ``WireError``."""
    try:
        parts = header.decode().split(" ")
        revision, content, lost, recovering, leaving, age = parts
        status = feeds.PeerStatus(
            _wire.parse_revision(revision),
            None if lost == _NOT_LOST else _wire.parse_amount(lost),
            _wire.parse_amount(recovering),
            leaving == "1",
            _wire.parse_amount(age),
        )
        if not body:
            content_revision = _wire.parse_revision(content)
            return status, views.Delta(status.revision, content_revision)
    except ValueError as error:
        raise _wire.WireError(f"feed: {error}") from error
    delta = _decode_body(body, views.Delta)
    _check_view(delta)
    try:
        _wire.check_revision(delta.ahead_to)
    except ValueError as error:
        raise _wire.WireError(f"view: {error}") from error
    return status, views.usable_delta(delta)


def doubt_header(seconds: float) -> tuple[bytes, bytes]:
    """Return the header for a store that has been in doubt."""
    return DOUBT_HEADER, b"%.3f" % seconds


def decode_doubt(headers: abc.Mapping[bytes, bytes]) -> float | None:
    """Return for how long the store has been in doubt, None if it is not.

    Raises ``WireError``.
    """
    value = headers.get(DOUBT_HEADER_LOWER)
    if value is None:
        return None
    try:
        return _wire.parse_amount(value.decode())
    except ValueError as error:
        raise _wire.WireError(f"feed: {error}") from error


def encode_delta(delta: views.Delta) -> bytes:
    """Return the body of an answer, empty if nothing changed."""
    return b"" if delta.empty else msgspec.msgpack.encode(delta)


def encode_snapshot(snapshot: views.Snapshot) -> bytes:
    """Return the body of an answer to a daemon of the previous release."""
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(body: bytes) -> views.Snapshot:
    """Return the snapshot of a daemon; raises ``WireError``.

    Unusable instances are left out.
    """
    snapshot = _decode_body(body, views.Snapshot)
    _check_view(snapshot)
    return views.without_unusable(snapshot)


def _decode_body(body: bytes, kind: type[_T]) -> _T:
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise _wire.WireError(f"view: {error}") from error


def _check_view(view: views.Delta | views.Snapshot) -> None:
    """Check the revisions and the policy; raises ``WireError``."""
    try:
        _wire.check_revision(view.revision)
        _wire.check_revision(view.content)
    except ValueError as error:
        raise _wire.WireError(f"view: {error}") from error
    fault = "" if view.policy is None else policies.find_fault(view.policy)
    if fault:
        raise _wire.WireError(f"view: policy: {fault}")
