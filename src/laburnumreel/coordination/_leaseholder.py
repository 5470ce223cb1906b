"""The one task whose thread sends everything that needs an authority."""

from collections.abc import Callable, Sequence
from typing import Any

from laburnumreel.core import Task

LEASEHOLDER_TICK_S = 0.1


class LeaseholderTask(Task):
    """Runs the order sender and the sealer in turn on one thread.

    That thread alone takes the process timer's signal, so that after a pause nothing is sent
    before the signal ends the process.
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
