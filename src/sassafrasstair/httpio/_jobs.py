"""A request to a server, and why it got no response."""

from __future__ import annotations

import enum
import typing

if typing.TYPE_CHECKING:
    from collections import abc

    from sassafrasstair.httpio import _messages
    from sassafrasstair.httpio import _responses


class Failure(enum.Enum):
    """Why a job got no response.

    With ``NOT_SENT`` no byte of the request was sent; with all others the
    server may have run the request. ``LOST`` means that the connection ended
    before any response. ``CUT_SHORT`` means that the connection ended within
    the response, or that the response is longer than ``RESPONSE_BYTES_MAX``.
    ``GARBLED`` means that the response can't be parsed as HTTP.
    """

    NOT_SENT = "not_sent"
    LOST = "lost"
    CUT_SHORT = "cut_short"
    GARBLED = "garbled"


class Job:
    """An HTTP request in flight and the callback for its result.

    ``data`` is the encoded request. A long ``body`` may be apart from it, so
    that it need not be copied.
    """

    __slots__ = (
        "_connection",
        "_on_done",
        "body",
        "body_omitted",
        "data",
        "expected_field",
    )

    def __init__(
        self,
        data: bytes,
        on_done: abc.Callable[[_messages.Response | Failure], None],
        expected_field: tuple[bytes, bytes] | None = None,
        body_omitted: bool = False,
        body: bytes = b"",
    ) -> None:
        self.data = data
        self.body = body
        self.expected_field = expected_field
        """Header field (name in lower case, value) that identifies the request
        in the response. A response with another value belongs to an earlier
        request."""
        self.body_omitted = body_omitted
        """Whether the response has no body, as for HEAD."""
        self._on_done: (
            abc.Callable[[_messages.Response | Failure], None] | None
        ) = on_done
        self._connection: _responses.Connection | None = None

    def abort(self) -> None:
        """Cancel; the connection is closed so that the server notices."""
        self._on_done = None
        if self._connection is not None:
            self._connection.abort()

    def end(self, result: _messages.Response | Failure) -> None:
        """Report the result; only the first one counts."""
        done, self._on_done = self._on_done, None
        self._connection = None
        if done is not None:
            done(result)

    @property
    def may_have_been_sent(self) -> bool:
        """Whether the server may have received any part of the request.

        Valid while the result is awaited, and right after ``abort``. The end
        of the job resets it, even before the callback is called; the result
        then tells whether the request was sent.
        """
        return self._connection is not None

    @property
    def awaited(self) -> bool:
        """Whether the result is still to be reported."""
        return self._on_done is not None
