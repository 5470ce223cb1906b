"""Platform in memory: the `Platform` Protocol of the product without HTTP, with faults."""

import json
import time
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import quote

from expression import Error, Ok, Result

from laburnumreel.core import Clock, SystemClock
from laburnumreel.state import CapacityOrder, Check, Host, Page, PlatformError, Row, Write
from laburnumreel_standins._faults import Faults
from laburnumreel_standins._platform_state import PlatformState


class MemoryPlatform:
    """Client of a `PlatformState`, as one simulated process uses it.

    Several clients may share one state. `faults` are selected by the paths and methods of the HTTP
    interface. A call whose delay reaches `timeout_s` fails with a "lost" error; its effect still
    happens once the delay before it has passed, unless the fault suppresses it.

    >>> state = PlatformState()
    >>> platform = MemoryPlatform(state)
    >>> platform.faults.change({"lose_answers": 1})
    >>> platform.transact([], [Write("t", "k", {"n": 1})]).error.kind
    'lost'
    >>> platform.read("t", "k").ok.value
    {'n': 1}
    """

    def __init__(
        self,
        state: PlatformState,
        clock: Clock | None = None,
        sleep: Callable[[float], None] = time.sleep,
        timeout_s: float = 2.0,
    ) -> None:
        self.faults = Faults()
        self._state = state
        self._clock = clock or SystemClock()
        self._sleep = sleep
        self._timeout_s = timeout_s

    @property
    def state(self) -> PlatformState:
        return self._state

    def read(self, table: str, key: str) -> Result[Row | None, PlatformError]:
        path = f"/table/{quote(table, '')}/{quote(key, '')}"
        return self._call("GET", path, lambda: Ok(self._state.read(table, key)))

    def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 500
    ) -> Result[Page, PlatformError]:
        path = f"/table/{quote(table, '')}"
        return self._call("GET", path, lambda: Ok(self._state.scan(table, prefix, after, limit)))

    def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[int, PlatformError]:
        # Copied, as a deferred effect must not see changes that the caller makes after the call.
        encoded_writes = json.dumps([write._asdict() for write in writes])

        def effect() -> Result[int, PlatformError]:
            try:
                outcome = self._state.transact(
                    tuple(checks), [Write(**write) for write in json.loads(encoded_writes)]
                )
            except ValueError as error:
                return Error(PlatformError("refused", str(error)))
            return outcome.map_error(
                lambda rows: PlatformError("conflict", f"checks failed: {sorted(rows)}", rows)
            )

        return self._call("POST", "/table/transact", effect)

    def put_object(self, name: str, body: bytes) -> Result[None, PlatformError]:
        path = f"/objects/{quote(name)}"
        return self._call("PUT", path, lambda: Ok(self._state.put_object(name, body)))

    def get_object(self, name: str) -> Result[bytes | None, PlatformError]:
        path = f"/objects/{quote(name)}"
        return self._call("GET", path, lambda: Ok(self._state.get_object(name)))

    def order_capacity(self, zone: str, order: CapacityOrder) -> Result[None, PlatformError]:
        def effect() -> Result[None, PlatformError]:
            outcome = self._state.order_capacity(zone, order, self._clock.now())
            return outcome.map_error(lambda reason: _conflict_error({"error": reason}))

        return self._call("POST", f"/zones/{quote(zone, '')}/orders", effect)

    def capacity_orders(self, zone: str) -> Result[list[CapacityOrder], PlatformError]:
        path = f"/zones/{quote(zone, '')}/orders"
        return self._call("GET", path, lambda: Ok(self._state.capacity_orders(zone)))

    def report_usage(
        self, customer: str, window: str, figures: dict[str, int]
    ) -> Result[None, PlatformError]:
        copied_figures = dict(figures)

        def effect() -> Result[None, PlatformError]:
            outcome = self._state.report_usage(customer, window, copied_figures, self._clock.now())
            return outcome.map_error(
                lambda stored: _conflict_error({"error": "different_figures", "figures": stored})
            )

        return self._call("POST", "/usage", effect)

    def read_usage(
        self, customer: str, window: str
    ) -> Result[dict[str, int] | None, PlatformError]:
        path = f"/usage/{quote(customer, '')}/{quote(window, '')}"
        return self._call("GET", path, lambda: Ok(self._state.read_usage(customer, window)))

    def hosts(self) -> Result[list[Host], PlatformError]:
        return self._call("GET", "/hosts", lambda: Ok(self._state.hosts(self._clock.now())))

    def _call(
        self, method: str, path: str, effect: Callable[[], Result[Any, PlatformError]]
    ) -> Result[Any, PlatformError]:
        self._state.run_due_effects(self._clock.now())
        fault = self.faults.next_fault(method, path)
        if fault.before_s >= self._timeout_s:
            if fault.outcome not in ("down", "lose_request"):
                self._state.defer_effect(self._clock.now() + fault.before_s, effect)
            self._sleep(self._timeout_s)
            return _lost_call("timed out before the effect")
        self._sleep_and_run_due(fault.before_s)
        if fault.outcome == "down":
            return Error(PlatformError("unreachable", "the platform is down"))
        if fault.outcome == "lose_request":
            return _lost_call("the request was lost")
        answer = effect()
        if fault.before_s + fault.after_s >= self._timeout_s:
            self._sleep_and_run_due(self._timeout_s - fault.before_s)
            return _lost_call("timed out after the effect")
        self._sleep_and_run_due(fault.after_s)
        return _lost_call("the answer was lost") if fault.outcome == "lose_answer" else answer

    def _sleep_and_run_due(self, seconds: float) -> None:
        if seconds > 0:
            self._sleep(seconds)
            self._state.run_due_effects(self._clock.now())


def _lost_call(detail: str) -> Result[Any, PlatformError]:
    return Error(PlatformError("lost", detail))


def _conflict_error(body: dict[str, Any]) -> PlatformError:
    return PlatformError("conflict", json.dumps(body))
