"""Store revisions that stay comparable when the store is restored.

A store that is restored from an older copy starts a new era and reuses its
revision numbers. Here a revision includes the era, so that one of a later era
is greater than all revisions of earlier ones. It is a single number, as sent
between daemons, and equals the store's own number while the era is 0.
"""

from __future__ import annotations

_NUMBER_BITS = 40
"""A trillion changes within one era: 1,000 a second for 35 years."""
UNORDERED = -1
"""Less than any revision: the view is empty, or from a stale read."""
NUMBER_MAX = (1 << _NUMBER_BITS) - 1


def pack_revision(era: int, number: int) -> int:
    """Return the revision for the store's ``number`` in an era."""
    return era << _NUMBER_BITS | number


def era_of(revision: int) -> int:
    """Return the era of a revision, 0 if it is unordered."""
    return max(0, revision) >> _NUMBER_BITS


def number_in_era(revision: int) -> int:
    """Return the store's own number of a revision, -1 if it is unordered."""
    return revision & NUMBER_MAX if revision >= 0 else revision
