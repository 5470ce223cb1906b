"""The task that runs on the only thread that sends requests under an authority."""

from collections.abc import Callable, Sequence
from typing import Any

from laburnumreel.core import Task

LEASEHOLDER_TICK_S = 0.1


class LeaseholderTask(Task):
    """Runs the order sender and the usage sealer in turn on one thread.

    Only this thread receives the signal of the process timer. When a paused process is continued
    after its authority ended, the signal therefore ends it before this thread sends anything.
    """

    def __init__(
        self, tick_functions: Sequence[Callable[[], None]], handle: Callable[[Any], Any]
    ) -> None:
        super().__init__("acting", LEASEHOLDER_TICK_S)
        self._tick_functions = list(tick_functions)
        self._handle = handle

    def handle(self, message: Any) -> Any:
        return self._handle(message)

    def tick(self) -> None:
        for tick in self._tick_functions:
            tick()
