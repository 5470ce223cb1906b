"""The task that reads the platform's host list and the engines' load and cache reports."""

import http.client
import json
import time
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from laburnumreel.coordination import LoadReport
from laburnumreel.core import Log, Task
from laburnumreel.serving._dispatcher import Dispatcher
from laburnumreel.serving._events import HOSTS_UNREADABLE
from laburnumreel.state import Platform
from laburnumreel.transport import Address

HOSTS_S = 0.5
REPORT_TIMEOUT_S = 1.0
# Reports are read this many at a time. What a slow engine holds up comes a round later.
REPORT_THREADS = 4

_log = Log("serving.watch")


class FleetWatch(Task):
    """Keeps the dispatcher's view of the back ends current."""

    def __init__(self, platform: Platform, dispatcher: Dispatcher) -> None:
        super().__init__("fleet-watch", tick_s=HOSTS_S)
        self._platform = platform
        self._dispatcher = dispatcher
        self._executor = ThreadPoolExecutor(REPORT_THREADS, "report")
        self._reading: dict[str, Future] = {}
        self._next_events: dict[str, int] = {}
        self._ready = False

    @property
    def ready(self) -> bool:
        """Whether the host list was read at least once."""
        return self._ready

    def tick(self) -> None:
        hosts = self._platform.hosts()
        if hosts.is_error():
            _log.warning(HOSTS_UNREADABLE, error=str(hosts.error))
        else:
            self._dispatcher.hosts(hosts.ok)
        engines = self._dispatcher.engines().result()
        self._reading = {name: read for name, read in self._reading.items() if not read.done()}
        started = [
            self._reading.setdefault(name, self._executor.submit(self._read, name, address))
            for name, address in engines.items()
            if name not in self._reading
        ]
        self._next_events = {n: seq for n, seq in self._next_events.items() if n in engines}
        if not self._ready and hosts.is_ok():
            # The first choice of a back end needs the first reports, but waits for none for long.
            give_up_at = time.monotonic() + REPORT_TIMEOUT_S
            while time.monotonic() < give_up_at and not all(read.done() for read in started):
                time.sleep(0.01)
            self._dispatcher.settle()
            self._ready = True

    def close(self) -> None:
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _read(self, name: str, address: Address) -> None:
        try:
            report = LoadReport.from_value(_get(address, "/load"))
            self._dispatcher.load(name, report)
            after = self._next_events.get(name, 0)
            body = _get(address, f"/cache/events?after={after}")
            by_kind: dict[str, list[str]] = {"stored": [], "evicted": []}
            for event in body["events"]:
                # A prefix that was evicted and stored again in one answer counts as its last event.
                for prefixes in by_kind.values():
                    if event["prefix"] in prefixes:
                        prefixes.remove(event["prefix"])
                by_kind[event["kind"]].append(event["prefix"])
            # A lower number is that of an engine that was started again, with an empty cache.
            gap = body["gap"] or body["next"] < after
            self._next_events[name] = body["next"] if body["next"] >= after else 0
            if gap or body["events"]:
                self._dispatcher.cache_events(name, by_kind["stored"], by_kind["evicted"], gap)
        except (
            OSError,
            http.client.HTTPException,
            ValueError,
            KeyError,
            TypeError,
            RecursionError,
        ):
            # An engine that does not report is judged by its requests.
            return


def _get(address: Address, path: str) -> Any:
    connection = http.client.HTTPConnection(*address, timeout=REPORT_TIMEOUT_S)
    try:
        connection.request("GET", path)
        answer = connection.getresponse()
        body = answer.read()
        if answer.status != 200:
            raise ValueError(f"status {answer.status}")
        return json.loads(body)
    finally:
        connection.close()
