from __future__ import annotations

import random
import typing

from sassafrasstair.decisions import fleet

if typing.TYPE_CHECKING:
    from sassafrasstair import bundles


def _refuse(envelope: bytes) -> bundles.ApprovedBundle:
    raise AssertionError("no bundle is offered here")


def test_lone_daemon_watches_once_its_peers_are_known() -> None:
    """A new bundle would never come into force in a quiet failure domain.

    After the start no member joins or leaves. If watchers were chosen only
    before the peers are known, when no daemon may watch yet, the choice
    would never be repeated.
    """
    rng = random.Random(1)
    local_record = fleet.Record(
        "a-1", "ledger", "pos-a", "tt-north", "10.0.0.1:1"
    )
    node = fleet.new_node(local_record, "01", (), _refuse, 0.0, rng)
    effects = []
    for step in range(120):
        effects += fleet.tick(node, step / 4, rng)
    assert fleet.Watch(True) in effects
