"""Servers and clients whose bytes never end, in a process of their own.

``python -m tests.platform.endless serve HOST PORT [BYTES]`` answers each
request with bytes of the kind that the end of its path names, so many a second
on each connection or else as fast as they are taken. ``send HOST PORT KIND
COUNT`` sends requests of a kind on so many connections, and opens each again
as soon as it is closed.
"""

from __future__ import annotations

import contextlib
import socket
import sys
import threading
import time

BLOCK = 65_536
READ_SECONDS = 0.05
_ID = b"sassafrasstair-request-id"
_ANSWER = b"HTTP/1.1 200 OK\r\n"
_REQUEST = b"POST /once/endless HTTP/1.1\r\nHost: soak.example\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
_LATE = (
    b"HTTP/1.1 200 OK\r\nSassafrasstair-Request-Id: other\r\n"
    b"Content-Length: 10\r\n\r\n0123456789"
)
_CHUNK = b"%x\r\n%s\r\n" % (BLOCK, BLOCK * b"x")

_BODIES = {
    "body_in_chunks": (_CHUNKED, _CHUNK),
    "tiny_chunks": (_CHUNKED, b"1\r\nx\r\n"),
    "trailers": (_CHUNKED + b"1\r\nx\r\n0\r\n", b"A-Trailer: value\r\n"),
    "one_trailer": (_CHUNKED + b"0\r\nA: ", b"x"),
    "chunk_extension": (_CHUNKED + b"1;a=", b"x"),
    "zeros_of_a_chunk_size": (_CHUNKED, b"0"),
}
_HEADS = {
    "field": (b"A-Field: ", b"x"),
    "fields": (b"", b"A-Field: value\r\n"),
    "small_fields": (b"", b"a:\r\n"),
}


def _behind(start: bytes) -> dict[str, tuple[bytes, bytes]]:
    """Return the fields and bodies without end, behind a message's start."""
    return {
        kind: (start + first, rest)
        for kind, (first, rest) in (_BODIES | _HEADS).items()
    }


ANSWERS = {
    **_behind(_ANSWER),
    "status_line": (b"HTTP/1.1 200 ", b"O"),
    "blank_lines": (b"", b"\r\n"),
    "interim_answers": (b"", _INTERIM),
    "late_answers": (b"", _LATE),
    "body_until_the_end": (_ANSWER + b"\r\n", BLOCK * b"x"),
    "body_of_great_length": (
        _ANSWER + b"Content-Length: 99999999999999\r\n\r\n",
        BLOCK * b"x",
    ),
    "garbage": (b"\x00\x01", b"\xff"),
}
"""By kind, the first bytes of an answer and those that follow for ever."""
STATED_BODY = "body_of_stated_length"
SPECIAL_ANSWERS = {
    STATED_BODY: (
        _ANSWER + b"Content-Length: 50000000\r\n\r\n",
        BLOCK * b"x",
    ),
    "head_body": (_ANSWER + b"Content-Length: 5\r\n\r\n", BLOCK * b"x"),
    "no_content": (b"HTTP/1.1 204 No Content\r\n\r\n", BLOCK * b"x"),
    "not_modified": (b"HTTP/1.1 304 Not Modified\r\n\r\n", BLOCK * b"x"),
    "compressed": (
        _ANSWER + b"Content-Encoding: gzip\r\n" + _CHUNKED,
        _CHUNK,
    ),
    "slow_body": (_ANSWER + _CHUNKED, b"1\r\nx\r\n"),
    "slow_field": (_ANSWER + b"A-Field: ", b"x"),
    "behind_an_answer": (
        _ANSWER
        + b"Sassafrasstair-Request-Id: %(id)s\r\n"
        + b"Sassafrasstair-Response-Signature: s\r\n"
        + b"Content-Length: 2\r\n\r\nok",
        BLOCK * b"x",
    ),
}
"""The same of answers to HEAD, of statuses without a body, of encoded bodies,
of bytes that come slowly, of bytes behind an answer that has ended, and of a
body whose length a daemon could hold."""
LARGE_ANSWER = "large_answer"
LARGE_BYTES = 16_000_000
"""The length of a sound answer that is large."""
SLOW_SECONDS = 0.005
"""The pause between two of the bytes that come slowly."""
REQUESTS = {
    **_behind(_REQUEST),
    "request_line": (b"POST /once/", b"x"),
    "blank_lines": (b"", b"\r\n"),
    "body_of_great_length": (
        _REQUEST + b"Content-Length: 1000000\r\n\r\n",
        BLOCK * b"x",
    ),
    "garbage": (b"\x00\x01", b"\xff"),
}
"""The same of requests."""


def block_of(rest: bytes) -> bytes:
    """Return about ``BLOCK`` bytes that repeat ``rest``."""
    return rest * max(1, BLOCK // len(rest))


def _send_for_ever(
    connection: socket.socket, first: bytes, rest: bytes
) -> None:
    connection.sendall(first)
    block = block_of(rest)
    while True:
        connection.sendall(block)


def _send_at_pace(
    connection: socket.socket, first: bytes, rest: bytes, bytes_per_s: float
) -> None:
    connection.sendall(first)
    block = block_of(rest)
    began_at, sent = time.monotonic(), 0
    while True:
        connection.sendall(block)
        sent += len(block)
        ahead = sent / bytes_per_s - (time.monotonic() - began_at)
        time.sleep(max(0.0, ahead))


def _send_slowly(connection: socket.socket, first: bytes, rest: bytes) -> None:
    connection.sendall(first)
    while True:
        connection.sendall(rest)
        time.sleep(SLOW_SECONDS)


def _send_large(connection: socket.socket, request_id: bytes) -> None:
    """Send a sound answer that is large."""
    head = (
        _ANSWER + b"Sassafrasstair-Request-Id: %s\r\n"
        b"Sassafrasstair-Response-Signature: s\r\nContent-Length: %d\r\n\r\n"
    )
    connection.sendall(head % (request_id, LARGE_BYTES) + bytes(LARGE_BYTES))


def _id_of(head: bytes) -> bytes:
    """Return the value of the field with the request's id."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == _ID:
            return value.strip()
    return b""


def _serve_one(connection: socket.socket, bytes_per_s: float) -> None:
    with connection, contextlib.suppress(OSError, IndexError):
        while True:
            data = b""
            while b"\r\n\r\n" not in data:
                received = connection.recv(BLOCK)
                if not received:
                    return
                data += received
            kind = data.split(b" ")[1].rpartition(b"/")[2].decode()
            if kind == LARGE_ANSWER:
                _send_large(connection, _id_of(data))
                continue
            found = (ANSWERS | SPECIAL_ANSWERS).get(kind)
            if found is None:
                connection.sendall(b"HTTP/1.1 503 Busy\r\n\r\n")
                return
            first = found[0].replace(b"%(id)s", _id_of(data))
            if "slow" in kind:
                _send_slowly(connection, first, found[1])
            elif bytes_per_s:
                _send_at_pace(connection, first, found[1], bytes_per_s)
            else:
                _send_for_ever(connection, first, found[1])


def _serve(host: str, port: int, bytes_per_s: float) -> None:
    server = socket.create_server((host, port))
    print("listens", flush=True)
    while True:
        connection, _ = server.accept()
        threading.Thread(
            target=_serve_one, args=(connection, bytes_per_s), daemon=True
        ).start()


def _send_again(host: str, port: int, kind: str) -> None:
    while True:
        with contextlib.suppress(OSError):
            with socket.create_connection((host, port), 1.0) as connection:
                _send_for_ever(connection, *REQUESTS[kind])
        time.sleep(READ_SECONDS)


def _main() -> None:
    verb, host, port, *rest = sys.argv[1:]
    if verb == "serve":
        _serve(host, int(port), float(rest[0]) if rest else 0.0)
    kind, count = rest
    for _ in range(int(count)):
        threading.Thread(
            target=_send_again, args=(host, int(port), kind), daemon=True
        ).start()
    while True:
        time.sleep(1.0)


if __name__ == "__main__":
    _main()
