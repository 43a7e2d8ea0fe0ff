from __future__ import annotations

import pytest

from sassafrasstair.runtime import _daemon


@pytest.fixture(autouse=True)
def _short_leave(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten planned stops, of which most tests have two."""
    monkeypatch.setattr(_daemon, "LEAVE_NOTICE_SECONDS", 0.05)
