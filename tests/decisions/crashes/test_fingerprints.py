"""Fingerprints that identify requests by their content."""

from __future__ import annotations

import pytest

from sassafrasstair.decisions import crashes

GET = (b"GET", b"a.example", b"/s/1?q=2", b"")


@pytest.mark.parametrize(
    ("other", "same"),
    [
        (GET, True),
        ((b"GET", b"A.Example", b"/s/1?q=2", b""), True),
        ((b"POST", b"a.example", b"/s/1?q=2", b""), False),
        ((b"GET", b"b.example", b"/s/1?q=2", b""), False),
        ((b"GET", b"a.example", b"/s/1?q=3", b""), False),
        ((b"GET", b"a.example", b"/s/1?q=2", b"x"), False),
        ((b"GET", b"a.example", b"/s/1?q=", b"2"), False),
    ],
)
def test_fingerprint_is_of_method_host_target_and_body(
    other: tuple[bytes, bytes, bytes, bytes], same: bool
) -> None:
    assert (crashes.fingerprint(*GET) == crashes.fingerprint(*other)) is same


def test_fingerprint_is_the_same_in_all_processes() -> None:
    assert (
        crashes.format_fingerprint(crashes.fingerprint(*GET))
        == "1134095d059ad7d4"
    )
