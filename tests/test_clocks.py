from __future__ import annotations

import datetime

from sassafrasstair import clocks


def test_wall_is_utc() -> None:
    assert clocks.SystemClock().wall().tzinfo is datetime.UTC
