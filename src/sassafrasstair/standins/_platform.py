"""The stand-in platform: Consul's KV reads, and a control port.

The control port takes the place of the operators' publishing and of faults
of the platform. Nothing of the system writes there.
"""

from __future__ import annotations

import asyncio
import base64
import collections
import dataclasses
import time
import typing

import litestar
from litestar import exceptions
from litestar import params
import msgspec

from sassafrasstair import configservice
from sassafrasstair.standins import _serving
from sassafrasstair.standins import _store

RATE_WINDOW_SECONDS = 10.0
WAIT_DEFAULT_SECONDS = 300.0
UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0}


@dataclasses.dataclass(slots=True)
class Platform:
    """State of the stand-in: keys, calls, lag of the VM list."""

    store: _store.Store = dataclasses.field(default_factory=_store.Store)
    calls: int = 0
    waiting: int = 0
    recent: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    started: float = dataclasses.field(default_factory=time.monotonic)
    lag: float = 0.0
    vms_written: int = 0
    vms_shown: int = 0
    down: bool = False


class Counts(msgspec.Struct, frozen=True):
    """Calls so far; a waiting watch is one call."""

    calls: int
    calls_per_s: float
    waiting: int
    index: int
    down: bool
    stale: bool


def readers_app(state: Platform) -> litestar.Litestar:
    """Return the application that the daemons read and watch."""

    @litestar.get("/v1/kv/{prefix:path}", media_type="application/json")
    async def read(
        prefix: params.FromPath[str],
        index: params.FromQuery[int] = 0,
        wait: params.FromQuery[str] = "",
        keys: params.FromQuery[bool] = False,
    ) -> litestar.Response[bytes]:
        _count(state)
        prefix = prefix.lstrip("/")
        view = state.store.shown
        if index > 0:
            state.waiting += 1
            try:
                view = await _store.wait_past(
                    state.store, prefix, index, _seconds(wait)
                )
            finally:
                state.waiting -= 1
        if state.down:
            raise exceptions.ServiceUnavailableException
        return _answer(view, prefix, keys)

    return litestar.Litestar([read], openapi_config=None, logging_config=None)


def control_app(
    state: Platform, readers: _serving.Listener
) -> litestar.Litestar:
    """Return the application of the control port."""

    @litestar.put("/keys/{key:path}")
    async def put(
        key: params.FromPath[str],
        request: litestar.Request[typing.Any, typing.Any, typing.Any],
    ) -> None:
        value = await request.body()
        if len(value) > configservice.MAX_VALUE_BYTES:
            raise exceptions.ClientException("value is over a megabyte")
        _put(state, key.lstrip("/"), value)

    @litestar.delete("/keys/{key:path}")
    async def delete(key: params.FromPath[str]) -> None:
        _store.delete(state.store, key.lstrip("/"))

    @litestar.post("/down")
    async def down() -> None:
        state.down = True
        _store.wake(state.store)
        await readers.stop(cut=True)

    @litestar.post("/stale")
    async def stale(back: params.FromQuery[int] = 0) -> None:
        _store.freeze(state.store, back)

    @litestar.post("/restore")
    async def restore(back: params.FromQuery[int] = 0) -> None:
        _store.restore(state.store, back)

    @litestar.post("/back")
    async def back() -> None:
        state.down = False
        _store.thaw(state.store)
        await readers.start()

    @litestar.post("/lag")
    async def lag(ms: params.FromQuery[int]) -> None:
        state.lag = ms / 1000

    @litestar.get("/counts")
    async def counts() -> Counts:
        return _counts(state)

    handlers = [put, delete, down, stale, restore, back, lag, counts]
    return litestar.Litestar(
        handlers,
        openapi_config=None,
        logging_config=None,
        request_max_body_size=2 * configservice.MAX_VALUE_BYTES,
    )


async def run_platform(listen: str, control: str) -> None:
    """Serve until SIGTERM or SIGINT."""
    stop = _serving.stop_event()
    state = Platform()
    readers = _serving.Listener(readers_app(state), listen)
    controls = _serving.Listener(control_app(state, readers), control)
    await readers.start()
    await controls.start()
    await stop.wait()
    await readers.stop(cut=True)
    await controls.stop(cut=True)


def _put(state: Platform, key: str, value: bytes) -> None:
    if key != configservice.VMS_KEY or state.lag <= 0:
        _store.put(state.store, key, value)
        return
    state.vms_written += 1
    loop = asyncio.get_running_loop()
    loop.call_later(state.lag, _show_vms, state, state.vms_written, value)


def _show_vms(state: Platform, written: int, value: bytes) -> None:
    # After the lag was made shorter an older list would show last.
    if written > state.vms_shown:
        state.vms_shown = written
        _store.put(state.store, configservice.VMS_KEY, value)


def _count(state: Platform) -> None:
    now = time.monotonic()
    state.calls += 1
    state.recent.append(now)
    _forget(state, now)


def _forget(state: Platform, now: float) -> None:
    while state.recent and state.recent[0] < now - RATE_WINDOW_SECONDS:
        state.recent.popleft()


def _counts(state: Platform) -> Counts:
    now = time.monotonic()
    _forget(state, now)
    window = min(RATE_WINDOW_SECONDS, max(0.001, now - state.started))
    return Counts(
        calls=state.calls,
        calls_per_s=round(len(state.recent) / window, 2),
        waiting=state.waiting,
        index=state.store.shown.index,
        down=state.down,
        stale=state.store.frozen is not None,
    )


def _seconds(wait: str) -> float:
    if not wait:
        return WAIT_DEFAULT_SECONDS
    number = wait.rstrip("ms")
    unit = wait[len(number) :]
    try:
        return float(number) * UNITS[unit]
    except (KeyError, ValueError) as error:
        raise exceptions.ClientException(f"bad wait {wait!r}") from error


def _answer(
    view: _store.View, prefix: str, keys: bool
) -> litestar.Response[bytes]:
    found = view.under(prefix)
    pairs = [
        {
            "LockIndex": 0,
            "Key": key,
            "Flags": 0,
            "Value": base64.b64encode(entry.value).decode(),
            "CreateIndex": entry.index,
            "ModifyIndex": entry.index,
        }
        for key, entry in found.items()
    ]
    body = msgspec.json.encode(list(found) if keys else pairs)
    return litestar.Response(
        body if found else b"",
        status_code=200 if found else 404,
        media_type="application/json",
        headers={"X-Consul-Index": str(view.index_of(prefix))},
    )
