"""Thread that owns the time model of an engine."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, TypeVar

from laburnumreel.core import SystemClock, Task
from laburnumreel_standins._engine_model import EngineModel

TICK_INTERVAL_S = 0.002
CALL_TIMEOUT_S = 10.0

Value = TypeVar("Value")


class EngineThread(Task):
    """Task that advances the model to the current time at each tick.

    Its messages are functions that are called with the model.
    """

    def __init__(self, model: EngineModel) -> None:
        super().__init__("engine", TICK_INTERVAL_S)
        self._model = model
        self._clock = SystemClock()
        self.start(ThreadPoolExecutor(1, thread_name_prefix="engine"))

    def call(self, function: Callable[[EngineModel], Value]) -> Value:
        """Call a function with the model, on the thread of the model, and return its result."""
        return self.ask(function).result(CALL_TIMEOUT_S)

    def handle(self, message: Any) -> Any:
        return message(self._model)

    def tick(self) -> None:
        self._model.advance(self._clock.now())
