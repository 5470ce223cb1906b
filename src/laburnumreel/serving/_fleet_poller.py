"""The task that polls the platform's host list and the engines' load and cache reports."""

import http.client
import json
import time
from collections.abc import Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, NamedTuple

from laburnumreel.coordination import LoadReport
from laburnumreel.core import Log, Task
from laburnumreel.serving._dispatcher import Dispatcher
from laburnumreel.serving._events import HOSTS_UNREADABLE, REPORT_UNREADABLE
from laburnumreel.state import Platform
from laburnumreel.transport import Address

POLL_INTERVAL_S = 0.5
REPORT_TIMEOUT_S = 1.0
# Number of reports read in parallel. Reports delayed by a slow engine are read a round later.
REPORT_THREADS = 4
# A few thousand cache events since the last poll, of some hundred bytes each.
MAX_REPORT_BYTES = 4 * 1024 * 1024
# The largest accepted event number.
MAX_EVENT_NUMBER = 2**53

_log = Log("serving.watch")


class FleetPoller(Task):
    """Keeps the dispatcher's view of the back ends up to date."""

    def __init__(self, platform: Platform, dispatcher: Dispatcher) -> None:
        super().__init__("fleet-watch", tick_s=POLL_INTERVAL_S)
        self._platform = platform
        self._dispatcher = dispatcher
        self._executor = ThreadPoolExecutor(REPORT_THREADS, "report")
        self._pending_reads: dict[str, Future] = {}
        self._next_events: dict[str, int] = {}
        # Engines whose invalid report was logged. A valid report removes the engine again.
        self._malformed_reporters: set[str] = set()
        self._is_ready = False

    @property
    def is_ready(self) -> bool:
        """Whether the host list was read at least once."""
        return self._is_ready

    def tick(self) -> None:
        hosts = self._platform.hosts()
        if hosts.is_error():
            _log.warning(HOSTS_UNREADABLE, error=str(hosts.error))
        else:
            self._dispatcher.hosts(hosts.ok)
        engines = self._dispatcher.engine_addresses().result()
        self._pending_reads = {
            name: future for name, future in self._pending_reads.items() if not future.done()
        }
        started = [
            self._pending_reads.setdefault(
                name, self._executor.submit(self._read_reports, name, address)
            )
            for name, address in engines.items()
            if name not in self._pending_reads
        ]
        self._next_events = {n: seq for n, seq in self._next_events.items() if n in engines}
        if not self._is_ready and hosts.is_ok():
            # The first routing decision needs the first reports, but waits only a bounded time.
            give_up_at = time.monotonic() + REPORT_TIMEOUT_S
            while time.monotonic() < give_up_at and not all(future.done() for future in started):
                time.sleep(0.01)
            self._dispatcher.wait_until_processed()
            self._is_ready = True

    def close(self) -> None:
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _read_reports(self, name: str, address: Address) -> None:
        try:
            self._dispatcher.on_load(name, LoadReport.from_value(_get_json(address, "/load")))
            after_number = self._next_events.get(name, 0)
            events = _CacheEvents.from_value(
                _get_json(address, f"/cache/events?after={after_number}")
            )
        except (OSError, http.client.HTTPException):
            # An engine without reports is assessed by the results of its requests only.
            return
        except (ValueError, KeyError, TypeError) as error:
            if name not in self._malformed_reporters:
                self._malformed_reporters.add(name)
                _log.warning(REPORT_UNREADABLE, engine=name, error=repr(error)[:200])
            return
        self._malformed_reporters.discard(name)
        # A lower number means that the engine was restarted and its cache is empty.
        gap = events.gap or events.next < after_number
        self._next_events[name] = events.next if events.next >= after_number else 0
        if gap or events.stored or events.evicted:
            self._dispatcher.on_cache_events(name, events.stored, events.evicted, gap)


class _CacheEvents(NamedTuple):
    """An engine's answer to `GET /cache/events`."""

    stored: list[str]
    evicted: list[str]
    next: int
    gap: bool

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> "_CacheEvents":
        """Return the events. Raises KeyError, TypeError or ValueError if they are invalid."""
        last_number, gap = value["next"], value["gap"]
        if (
            not isinstance(last_number, int)
            or not isinstance(gap, bool)
            or last_number > MAX_EVENT_NUMBER
        ):
            raise TypeError("next must be an integer and gap a boolean")
        by_kind: dict[str, list[str]] = {"stored": [], "evicted": []}
        for event in value["events"]:
            kind, prefix = event["kind"], event["prefix"]
            if not isinstance(prefix, str):
                raise TypeError("prefix must be a string")
            # For a prefix with several events in one report, only the last event counts.
            for prefixes in by_kind.values():
                if prefix in prefixes:
                    prefixes.remove(prefix)
            by_kind[kind].append(prefix)
        return cls(by_kind["stored"], by_kind["evicted"], last_number, gap)


def _get_json(address: Address, path: str) -> Any:
    connection = http.client.HTTPConnection(*address, timeout=REPORT_TIMEOUT_S)
    try:
        connection.request("GET", path)
        answer = connection.getresponse()
        body = answer.read(MAX_REPORT_BYTES + 1)
        if answer.status != 200:
            raise http.client.HTTPException(f"status {answer.status}")
        if len(body) > MAX_REPORT_BYTES:
            raise ValueError("the report is too large")
        return json.loads(body)
    except RecursionError as error:
        raise ValueError("the report is nested too deep") from error
    finally:
        connection.close()
