"""Store revisions that stay comparable when the store is restored.

An era is an epoch of the store. A restore from an older copy starts the next
era: the store's counter falls back to that of the copy, and numbers that it
had already assigned are assigned again to other changes. Here a revision
includes the era, so that one of a later era is greater than all revisions of
earlier ones. It is a single number, as sent between daemons, and equals the
store's own number while the era is 0.
"""

from __future__ import annotations

_NUMBER_BITS = 40
"""Bits of the store's own number: a trillion changes within one era, or 1,000
a second for 35 years. The era is in the bits above."""
UNORDERED = -1
"""Less than any revision: the view is empty, or from a stale read."""
NUMBER_MAX = (1 << _NUMBER_BITS) - 1
"""Greatest number of the store's own within one era."""
REVISION_MAX = (1 << 60) - 1
"""Greatest revision in any era, so that it is encoded in 64 bits."""


def pack_revision(era: int, number: int) -> int:
    """Return the revision for the store's ``number`` in an era."""
    return era << _NUMBER_BITS | number


def era_of(revision: int) -> int:
    """Return the era of a revision, 0 if it is unordered."""
    return max(0, revision) >> _NUMBER_BITS


def number_in_era(revision: int) -> int:
    """Return the store's own number of a revision, -1 if it is unordered."""
    return revision & NUMBER_MAX if revision >= 0 else revision
