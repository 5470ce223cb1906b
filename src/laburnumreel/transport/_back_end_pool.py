"""The connection pool for back ends."""

import socket
import threading
import time
from collections import defaultdict
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Literal

from laburnumreel.core import Log
from laburnumreel.transport._events import BACK_END_SILENT
from laburnumreel.transport._exchange import Address, Exchange, dial
from laburnumreel.transport._metrics import BACK_END_CONNECTIONS
from laburnumreel.transport._sockets import is_readable

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 16
MAX_IDLE_S = 20.0
# Probes that run concurrently, over all peers.
PROBE_THREADS = 4

# Outcome of a new connection: accepted, refused or reset, or not answered within the timeout.
ProbeResult = Literal["taken", "refused", "unanswered"]

_log = Log("transport.back_end")


class BackEndPool:
    """A pool of idle connections, by back-end address. Methods may be called from any thread.

    TCP keep-alive is not relied on to detect a dead network path. Instead, idle connections are
    reused only for a limited time, and when one goes silent while a new connection can be opened,
    all older idle connections to that address are closed.
    """

    def __init__(
        self,
        max_idle: int = MAX_IDLE_CONNECTIONS,
        max_idle_s: float = MAX_IDLE_S,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self._max_idle = max_idle
        self._max_idle_s = max_idle_s
        self._connect_timeout_s = connect_timeout_s
        self._lock = threading.Lock()
        self._idle: dict[Address, list[tuple[float, Exchange]]] = defaultdict(list)
        self._probes: dict[Address, Future[ProbeResult]] = {}
        self._probe_executor = ThreadPoolExecutor(PROBE_THREADS, "back-end-probe")
        self._check_executor = ThreadPoolExecutor(PROBE_THREADS, "back-end-check")
        # Connections that were opened before this time are not reused.
        self._min_opened_at: dict[Address, float] = {}

    def set_max_idle(self, max_idle: int) -> None:
        """Set the maximum number of idle connections that are kept for each address."""
        self._max_idle = max_idle

    def open(
        self, address: Address, fresh: bool = False, max_reuse_idle_s: float = float("inf")
    ) -> Exchange:
        """Return an exchange on an idle connection, or on a new one.

        A new connection is opened if none is idle, if all have been idle for `max_reuse_idle_s`
        seconds or longer, or if `fresh` is set. Raises BackEndFailureError if it can't be opened.

        A request that must not be repeated needs a new connection or one that was idle only
        briefly: the back end may just have closed an idle connection, and the failure would leave
        it unknown whether the request ran.
        """
        if not fresh:
            idle = self._pop_idle(address, max_reuse_idle_s)
            if idle is not None:
                return idle
        return self._dial(address)

    def probe_and_wait(self, address: Address) -> bool:
        """Probe a peer that went silent, wait for the result, and return whether it accepted.

        The idle connections to the peer are closed if it accepted the new connection.
        """
        return self.probe(address).result() == "taken"

    def probe(self, address: Address) -> "Future[ProbeResult]":
        """Open a connection to a peer that went silent and return a future of the outcome.

        If the peer accepts it, the idle connections to it are closed. Concurrent callers share one
        probe, because a peer that hangs has room for only a few connections that it has not
        accepted yet.
        """
        with self._lock:
            future = self._probes.get(address)
            if future is None:
                future = self._probes[address] = self._probe_executor.submit(self._probe, address)
            return future

    def check(self, address: Address) -> "Future[bool]":
        """Open a connection and return a future of whether it was accepted.

        Unlike `probe`, this leaves the idle connections alone: none of them went silent.
        """
        return self._check_executor.submit(self._check, address)

    def _check(self, address: Address) -> bool:
        try:
            socket.create_connection(address, self._connect_timeout_s).close()
        except OSError:
            return False
        return True

    def _probe(self, address: Address) -> ProbeResult:
        started = time.monotonic()
        try:
            socket.create_connection(address, self._connect_timeout_s).close()
        except TimeoutError:
            return "unanswered"
        except OSError:
            return "refused"
        finally:
            with self._lock:
                self._probes.pop(address, None)
        self.drop(address, started)
        _log.warning(BACK_END_SILENT, address=f"{address[0]}:{address[1]}")
        return "taken"

    def drop(self, address: Address, opened_before: float) -> None:
        """Close the idle connections opened before this time, and never reuse older ones."""
        with self._lock:
            self._min_opened_at[address] = max(opened_before, self._min_opened_at.get(address, 0.0))
            dropped = self._idle.pop(address, [])
            kept = [entry for entry in dropped if entry[1].opened_at >= opened_before]
            if kept:
                self._idle[address] = kept
        for _, exchange in dropped:
            if exchange.opened_at < opened_before:
                exchange.discard()

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle = [entry for entries in self._idle.values() for entry in entries]
            self._idle.clear()
        for _, exchange in idle:
            exchange.discard()
        self._probe_executor.shutdown(wait=False)
        self._check_executor.shutdown(wait=False)

    def prune(self) -> None:
        """Close the connections that have been idle for too long.

        To be called periodically: connections to back ends that were removed are never looked at
        otherwise, as nothing is sent to their addresses any more.
        """
        min_idle_since = time.monotonic() - self._max_idle_s
        with self._lock:
            expired = []
            for address, entries in list(self._idle.items()):
                expired += [entry for entry in entries if entry[0] < min_idle_since]
                self._idle[address] = [entry for entry in entries if entry[0] >= min_idle_since]
                if not self._idle[address]:
                    del self._idle[address]
        for _, exchange in expired:
            exchange.discard()

    def _pop_idle(self, address: Address, max_reuse_idle_s: float) -> Exchange | None:
        while True:
            with self._lock:
                entries = self._idle.get(address)
                if not entries:
                    return None
                idle_since, exchange = entries.pop()
            idle_s = time.monotonic() - idle_since
            if idle_s >= max_reuse_idle_s:
                # The other connections have been idle even longer.
                self._release(exchange, idle_since)
                return None
            is_usable = idle_s < min(self._max_idle_s, exchange.idle_limit_s)
            if is_usable and not is_readable(exchange.connection.sock):
                return exchange.next_exchange()
            exchange.discard()

    def _dial(self, address: Address) -> Exchange:
        exchange = dial(address, self._connect_timeout_s, self._release)
        BACK_END_CONNECTIONS.inc()
        return exchange

    def _release(self, exchange: Exchange, idle_since: float | None = None) -> None:
        with self._lock:
            entries = self._idle[exchange.address]
            is_recent = exchange.opened_at >= self._min_opened_at.get(exchange.address, 0.0)
            if is_recent and len(entries) < self._max_idle and exchange.connection.sock is not None:
                entries.append((idle_since or time.monotonic(), exchange))
                return
        exchange.discard()
