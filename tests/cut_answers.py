"""Forms of an instance's answer, to be cut at each of their bytes."""

from __future__ import annotations

import dataclasses
import socket
import struct
import typing

if typing.TYPE_CHECKING:
    import asyncio
    from collections import abc

ID = b"########"
"""Stands for the request's id, which is as long."""
LATE_ID = b"late-one"
HEAD_END = b"\r\n\r\n"
BODY = b"body of " + ID

_FIELDS = b"X-Request: " + ID + b"\r\nX-Signature: s\r\n"
_LENGTH = b"Content-Length: %d\r\n" % len(BODY)
_CHUNKED = b"Transfer-Encoding: chunked\r\n"
_CHUNKS = b"6\r\n" + BODY[:6] + b"\r\na;x=1\r\n" + BODY[6:] + b"\r\n0\r\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Form:
    """An answer, and what comes before it on the connection.

    ``ends_with_connection`` is set if the answer has neither a length nor
    chunks. ``body`` is that of the whole answer. With ``is_foreign``, it
    answers another request, and none follows.
    """

    answer: bytes
    body: bytes = BODY
    before: bytes = b""
    method: str = "POST"
    status: int = 200
    ends_with_connection: bool = False
    is_foreign: bool = False

    def data(self, request_id: bytes) -> bytes:
        """Return all bytes of the connection, for this request."""
        return (self.before + self.answer).replace(ID, request_id)

    @property
    def head_end(self) -> int:
        """The number of bytes up to the end of the answer's head."""
        return len(self.before) + self.answer.index(HEAD_END) + len(HEAD_END)

    @property
    def size(self) -> int:
        """The number of all bytes."""
        return len(self.before) + len(self.answer)

    @property
    def has_late(self) -> bool:
        """Whether there is an answer to another request."""
        return self.is_foreign or LATE_ID in self.before

    def has_ended(self, cut: int, resets: bool) -> bool:
        """Return whether the first ``cut`` bytes are a whole answer.

        An answer that ends with its connection is whole wherever that is
        closed, but not if it is reset.
        """
        if self.is_foreign:
            return False
        if self.ends_with_connection:
            return not resets and cut >= self.head_end
        return cut >= self.size

    def body_at(self, cut: int, request_id: bytes) -> bytes:
        """Return the body of the whole answer that ends after ``cut``."""
        if self.ends_with_connection:
            return self.data(request_id)[self.head_end : cut]
        return self.body.replace(ID, request_id)

    def cuts(self) -> abc.Sequence[int]:
        """Return each number of bytes after which the answer may be cut."""
        return range(self.size + 1)

    def few_cuts(self) -> abc.Sequence[int]:
        """Return cuts near the borders of the answer's parts."""
        start, end = len(self.before), self.head_end
        near = (start // 2, start, start + 9, start + 17, start + 30, end - 1)
        far = (end, (end + self.size) // 2, self.size - 1, self.size)
        return sorted({0, *near, *far})


def _answer(
    fields: bytes,
    body: bytes = BODY,
    status: bytes = b"200 OK",
    version: bytes = b"1.1",
) -> bytes:
    line = b"HTTP/%s %s\r\n" % (version, status)
    return line + _FIELDS + fields + b"\r\n" + body


_PLAIN = _answer(_LENGTH)
_LATE = _PLAIN.replace(ID, LATE_ID)
_LATE_CHUNKED = _answer(_CHUNKED, _CHUNKS + b"\r\n").replace(ID, LATE_ID)
_LATE_EMPTY = _answer(b"", b"", b"204 No Content").replace(ID, LATE_ID)
_LATE_FAILURE = _LATE.replace(b"200 OK", b"500 Bad")
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_PROCESSING = b"HTTP/1.1 102 Processing\r\nX-Request: " + ID + b"\r\n\r\n"
_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nX-Signature: s\r\n\r\n"
_NOT_MODIFIED = _answer(_LENGTH, b"", b"304 Not Modified")

FORMS = {
    "length": Form(_PLAIN),
    "length_first": Form(
        b"HTTP/1.1 200 OK\r\n" + _LENGTH + _FIELDS + b"\r\n" + BODY
    ),
    "empty": Form(_answer(b"Content-Length: 0\r\n", b""), b""),
    "chunked": Form(_answer(_CHUNKED, _CHUNKS + b"\r\n")),
    "trailers": Form(_answer(_CHUNKED, _CHUNKS + b"X-T: 1\r\n\r\n")),
    "no_length": Form(_answer(b""), ends_with_connection=True),
    "closing": Form(
        _answer(b"Connection: close\r\n"), ends_with_connection=True
    ),
    "old": Form(_answer(_LENGTH, version=b"1.0")),
    "old_no_length": Form(
        _answer(b"", version=b"1.0"), ends_with_connection=True
    ),
    "failure": Form(_answer(_LENGTH, status=b"500 Bad"), status=500),
    "created": Form(_answer(_LENGTH, status=b"201 Created"), status=201),
    "behind_100": Form(_PLAIN, before=_CONTINUE),
    "behind_102": Form(_PLAIN, before=_PROCESSING),
    "behind_103": Form(_PLAIN, before=_HINTS),
    "behind_103_no_length": Form(
        _answer(b""), before=_HINTS, ends_with_connection=True
    ),
    "behind_three": Form(_PLAIN, before=_CONTINUE + _PROCESSING + _HINTS),
    "behind_late": Form(_PLAIN, before=_LATE),
    "behind_late_chunked": Form(_PLAIN, before=_LATE_CHUNKED),
    "behind_late_204": Form(_PLAIN, before=_LATE_EMPTY),
    "behind_late_failure": Form(_PLAIN, before=_LATE_FAILURE),
    "behind_late_no_length": Form(
        _answer(b""), before=_LATE, ends_with_connection=True
    ),
    "behind_late_and_103": Form(_PLAIN, before=_LATE + _HINTS),
    "late": Form(_LATE, is_foreign=True),
    "late_no_length": Form(
        _answer(b"").replace(ID, LATE_ID),
        ends_with_connection=True,
        is_foreign=True,
    ),
    "late_204": Form(_LATE_EMPTY, is_foreign=True),
    "head": Form(_answer(_LENGTH, b""), b"", method="HEAD"),
    "head_chunked": Form(_answer(_CHUNKED, b""), b"", method="HEAD"),
    "head_no_length": Form(_answer(b"", b""), b"", method="HEAD"),
    "head_behind_103": Form(
        _answer(_LENGTH, b""), b"", before=_HINTS, method="HEAD"
    ),
    "204": Form(_answer(b"", b"", b"204 No Content"), b"", status=204),
    "204_behind_103": Form(
        _answer(b"", b"", b"204 No Content"), b"", before=_HINTS, status=204
    ),
    "304": Form(_NOT_MODIFIED, b"", method="GET", status=304),
    "304_behind_late": Form(
        _NOT_MODIFIED, b"", before=_LATE, method="GET", status=304
    ),
}


def id_of(cut: int, series: int = 0) -> bytes:
    """Return the id of the request whose answer is cut there."""
    return b"%d%0*d" % (series, len(ID) - 1, cut)


def cut_of(request_id: bytes) -> int | None:
    """Return where to cut the answer, None if it is not to be cut."""
    return int(request_id[1:]) if request_id.isdigit() else None


def end(writer: asyncio.StreamWriter, resets: bool) -> None:
    """Close a connection, or reset it."""
    if not resets:
        writer.close()
        return
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
