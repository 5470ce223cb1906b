"""The simplest versions of parts that other modules provide, behind the same interfaces."""

import random
from collections import deque
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from laburnumreel.core import Clock, Task
from laburnumreel.state import (
    Check,
    Configuration,
    Host,
    Platform,
    Refusal,
    WithdrawnKeys,
    Write,
)


class BackEnd(NamedTuple):
    name: str
    address: tuple[str, int]
    zone: str
    region: str
    service: str
    kind: str
    cheap: bool


class Work(NamedTuple):
    request_id: str
    service: str
    customer: str
    model: str
    prompt_tokens: int
    prompt_bytes: int
    output_tokens: int
    prefixes: tuple[str, ...]
    priority: int


class Choice(NamedTuple):
    back_end: BackEnd
    cost_ms: float


class Offer(NamedTuple):
    request_id: str
    service: str
    customer: str
    tokens: int
    deadline: float


class Admitted(NamedTuple):
    pass


class Queued(NamedTuple):
    pass


class Refused(NamedTuple):
    refusal: Refusal


class UsageCount(NamedTuple):
    customer: str
    service: str
    requests: int
    prompt_tokens: int
    output_tokens: int


class Fleet:
    def __init__(self) -> None:
        self._hosts: list[Host] = []
        self._failed: dict[str, float] = {}
        self._running: dict[str, set[str]] = {}

    def on_hosts(self, hosts: Sequence[Host], now: float) -> None:
        self._hosts = list(hosts)

    def on_sent(self, name: str, request_id: str, prefill_tokens: int, now: float) -> None:
        self._running.setdefault(name, set()).add(request_id)

    def on_finished(self, name: str, request_id: str, now: float) -> None:
        self._running.get(name, set()).discard(request_id)

    def on_failed(self, name: str, now: float) -> None:
        self._failed[name] = now

    def candidates(
        self, service: str, model: str, now: float, cheap: bool, exclude: Collection[str] = ()
    ) -> list[BackEnd]:
        found = []
        for host in self._hosts:
            if host.service != service or host.state != "live" or host.name in exclude:
                continue
            if host.cheap and not cheap or now - self._failed.get(host.name, -10.0) < 1.0:
                continue
            address, _, port = host.address.rpartition(":")
            found.append(
                BackEnd(
                    host.name,
                    (address, int(port)),
                    host.zone,
                    host.region,
                    host.service,
                    host.kind,
                    host.cheap,
                )
            )
        return sorted(found, key=lambda back_end: len(self._running.get(back_end.name, ())))


class Router:
    def __init__(self, zone: str, region: str, rng: random.Random) -> None:
        self._random = rng

    def choose(self, work: Work, candidates: Sequence[BackEnd]) -> Choice | None:
        return Choice(candidates[0], 0.0) if candidates else None


class Admission:
    def offer(self, offer: Offer, now: float) -> Admitted | Queued | Refused:
        return Admitted()

    def finish(self, request_id: str, tokens: int, now: float) -> list[str]:
        return []

    def cancel(self, request_id: str, now: float) -> list[str]:
        return []

    def expire(self, now: float) -> tuple[list[str], list[tuple[str, Refusal]]]:
        return [], []

    def configure(
        self,
        profiles: Mapping[str, Any],
        customers: Mapping[str, Any],
        services: Mapping[str, Any],
        capacity: Mapping[str, int],
    ) -> None:
        return


class RetryBudget:
    def __init__(self, ratio: float, minimum: int, window_s: float = 10) -> None:
        self._ratio, self._minimum, self._window_s = ratio, minimum, window_s
        self._successes: deque[float] = deque()
        self._taken: deque[float] = deque()

    def succeeded(self, now: float) -> None:
        self._successes.append(now)

    def take(self, now: float) -> bool:
        for times in (self._successes, self._taken):
            while times and times[0] < now - self._window_s:
                times.popleft()
        if len(self._taken) >= self._minimum + self._ratio * len(self._successes):
            return False
        self._taken.append(now)
        return True


class ConfigSync(Task):
    def __init__(self, platform: Platform, clock: Clock) -> None:
        super().__init__("config-sync", tick_s=0.5)
        self._platform = platform
        self._clock = clock
        self.configuration = Configuration()
        self.withdrawn = WithdrawnKeys()
        self.ready = False
        self._read_at = float("-inf")
        self._listeners: list[Callable[[Configuration, WithdrawnKeys], None]] = []

    def store_read_at(self) -> float:
        return self._read_at

    def subscribe(self, listener: Callable[[Configuration, WithdrawnKeys], None]) -> None:
        self._listeners.append(listener)

    def withdraw(self, digests: Iterable[str]) -> None:
        self.withdrawn = self.withdrawn.with_members(digests)

    def tick(self) -> None:
        now = self._clock.now()
        after = f"{self.configuration.version:012d}" if self.configuration.version else ""
        changes = self._platform.scan("config_change", after=after)
        withdrawn = self._platform.scan("withdrawn")
        if changes.is_error() or withdrawn.is_error():
            return
        from laburnumreel.state import Change

        before = self.configuration, self.withdrawn
        for row in changes.ok.rows:
            self.configuration = self.configuration.apply(Change.from_value(row.value)).ok
        self.withdrawn = self.withdrawn.with_members(row.key for row in withdrawn.ok.rows)
        self._read_at = now
        self.ready = True
        if (self.configuration, self.withdrawn) != before:
            for listener in self._listeners:
                listener(self.configuration, self.withdrawn)


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
