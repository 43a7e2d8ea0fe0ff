from __future__ import annotations

import pytest

from sassafrasstair.decisions.stops import _stops


@pytest.fixture(autouse=True)
def _short_leave(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten planned stops, of which most tests have two."""
    monkeypatch.setattr(_stops, "LAME_DUCK_SECONDS", 0.05)
