"""A randomized soak of real daemons on the users' platform.

    python -m tests.platform.soak --seeds 1-50 --seconds 20

Daemons run as processes of their own; store, upstreams, clients and the
relays between daemons are here. Faults come from outside: signals, relays
that delay, reset, cut or fall silent, a store and upstreams that misbehave.
"""
