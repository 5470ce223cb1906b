"""Injected faults of calls, for the engine and for the platform over HTTP and in memory."""

import threading
from collections.abc import Mapping
from typing import Any, NamedTuple


class Fault(NamedTuple):
    """Fault of one call: delays in seconds before and after its effect, and its outcome.

    `outcome` is "answer", "down" (refused without an effect), "lose_request" (dropped without an
    effect) or "lose_answer" (dropped after the effect).
    """

    before_s: float = 0.0
    after_s: float = 0.0
    outcome: str = "answer"


class Faults:
    """Active faults. They apply to calls that match `paths` (prefixes) and `methods`.

    An empty list matches all calls. `delay_s` delays the effect of a call, `delay_after_s` its
    answer. `lose_answers` and `lose_requests` are numbers of calls, counted down by each call that
    they hit. May be used by several threads.

    >>> faults = Faults()
    >>> faults.change({"lose_answers": 1, "paths": ["/table/transact"]})
    >>> faults.next_fault("GET", "/hosts").outcome, faults.next_fault("POST", "/table/transact").outcome
    ('answer', 'lose_answer')
    """

    _DEFAULTS: dict[str, Any] = {
        "down": False,
        "delay_s": 0.0,
        "delay_after_s": 0.0,
        "lose_answers": 0,
        "lose_requests": 0,
        "paths": [],
        "methods": [],
    }

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._values = dict(self._DEFAULTS)

    @property
    def names(self) -> frozenset[str]:
        return frozenset(self._DEFAULTS)

    @property
    def values(self) -> dict[str, Any]:
        with self._lock:
            return dict(self._values)

    def change(self, values: Mapping[str, Any]) -> None:
        """Set the given faults; others stay as they are. Raises ValueError for unknown names."""
        unknown = set(values) - set(self._DEFAULTS)
        if unknown:
            raise ValueError(f"unknown faults: {sorted(unknown)}")
        with self._lock:
            self._values.update(values)

    def next_fault(self, method: str, path: str) -> Fault:
        """Return the fault of the next call, and count down a counted fault that applies."""
        with self._lock:
            values = self._values
            if values["paths"] and not path.startswith(tuple(values["paths"])):
                return Fault()
            if values["methods"] and method not in values["methods"]:
                return Fault()
            outcome = "answer"
            if values["down"]:
                outcome = "down"
            elif values["lose_requests"] > 0:
                values["lose_requests"] -= 1
                outcome = "lose_request"
            elif values["lose_answers"] > 0:
                values["lose_answers"] -= 1
                outcome = "lose_answer"
            return Fault(values["delay_s"], values["delay_after_s"], outcome)
