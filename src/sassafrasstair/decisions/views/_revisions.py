"""Revisions of the store that can be compared whenever they were given out.

A store that comes back from an older copy begins another era and gives its
revisions out again. Here a revision holds its era too: one of a later era is
greater than all of those before. It stays one number, as daemons tell each
other, and is the store's own one while the era is 0.
"""

from __future__ import annotations

_NUMBER_BITS = 40
"""A trillion changes within one era: 1,000 a second for 35 years."""
UNORDERED = -1
"""Less than any revision: nothing is known, or only a stale reading."""
NUMBER_MAX = (1 << _NUMBER_BITS) - 1


def pack_revision(era: int, number: int) -> int:
    """Return the revision that the store counts as ``number`` in an era."""
    return era << _NUMBER_BITS | number


def era_of(revision: int) -> int:
    """Return the era of a revision, 0 if it is unordered."""
    return max(0, revision) >> _NUMBER_BITS


def number_in_era(revision: int) -> int:
    """Return the store's own number of a revision, -1 if it is unordered."""
    return revision & NUMBER_MAX if revision >= 0 else revision
