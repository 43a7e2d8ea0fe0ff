"""The feeds of a whole fleet, on a virtual clock."""
