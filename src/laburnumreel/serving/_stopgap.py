"""The simplest versions of parts that other modules provide, behind the same interfaces."""

from typing import NamedTuple

from laburnumreel.core import Clock, Task
from laburnumreel.state import Check, Platform, Write


class UsageCount(NamedTuple):
    customer: str
    service: str
    requests: int
    prompt_tokens: int
    output_tokens: int


class UsageFlush(Task):
    def __init__(self, platform: Platform, node: str, boot: str, clock: Clock) -> None:
        super().__init__("usage-flush", tick_s=0.5)
        self._platform, self._node, self._boot, self._clock = platform, node, boot, clock
        self._counted: set[str] = set()
        self._pending: list[UsageCount] = []
        self._sequence = 0

    def count(self, request_id: str, count: UsageCount) -> None:
        if request_id not in self._counted:
            self._counted.add(request_id)
            self._pending.append(count)

    def flush_all(self, timeout_s: float) -> bool:
        self.ask("flush").result(timeout_s)
        return not self._pending

    def handle(self, message: object) -> None:
        self.tick()

    def tick(self) -> None:
        pending, self._pending = self._pending, []
        if not pending:
            return
        self._sequence += 1
        window = int(self._clock.wall() // 60)
        key = f"{window}:0:{self._node}:{self._boot}:{self._sequence}"
        value = {"counts": [count._asdict() for count in pending]}
        write = Write("usage_delta", key, value)
        if self._platform.transact([Check("usage_delta", key, 0)], [write]).is_error():
            self._pending = pending + self._pending
