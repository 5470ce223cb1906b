"""Seconds until a successor orders after the holder is killed or paused, and platform calls."""

import http.client
import itertools
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from pathlib import Path
from subprocess import DEVNULL, Popen
from typing import Any

from bench._report import Report, Table, average_rows
from laburnumreel.coordination import UsageFlusher
from laburnumreel.core import SystemClock
from laburnumreel.state import (
    PROFILE_SCHEMA,
    SERVICE_SCHEMA,
    Check,
    Configuration,
    HttpPlatform,
    UsageCount,
    UsageSettings,
    Write,
    merge_sections,
)

COORDINATORS = 3
GATEWAYS = 4
REQUESTS_PER_S = 24
MEASURE_S = 8.0
TIMEOUT_S = 30.0
POLL_S = 0.02
TERM_S, MARGIN_S = 4.0, 0.5
USAGE = UsageSettings(window_s=5, flush_s=1.0, shards=4, grace_s=2.0)

Address = tuple[str, int]


class Testbed:
    """A platform and coordinators as processes, and one service whose workers they order."""

    def __init__(self, seed: int, folder: Path) -> None:
        self._random = random.Random(seed)
        self._folder = folder
        self._host = f"127.77.{seed % 250}.{1 + os.getpid() % 250}"
        self._ports: set[int] = set()
        self._processes: dict[str, Popen[bytes]] = {}
        self._admin: dict[str, Address] = {}
        self._configuration = Configuration()
        self._workers = itertools.count(2, 2)
        self.platform_address = self._address()
        listen = "{}:{}".format(*self.platform_address)
        self._start("platform", "laburnumreel_standins.main", "platform", "--listen", listen)
        wait_until(lambda: self._is_listening(self.platform_address))
        self.platform = HttpPlatform(self.platform_address)
        for number in range(COORDINATORS):
            self.add_coordinator(f"node-{number}")

    def add_coordinator(self, name: str) -> None:
        """Start a coordinator and wait until it is ready."""
        self._admin[name] = self._address()
        listen = {
            "coordinator_admin": self._admin[name],
            "coordinator_peers": self._address(),
        }
        lines = [
            f"[node]\nname = {name}\nzone = xela-a\nregion = west\n[listen]",
            *(f"{key} = {host}:{port}" for key, (host, port) in listen.items()),
            "[platform]\naddress = {}:{}".format(*self.platform_address),
            f"[lease]\nterm_s = {TERM_S}\nmargin_s = {MARGIN_S}",
            f"[usage]\nwindow_s = {USAGE.window_s}\ngrace_s = {USAGE.grace_s}",
            "[keys]\npepper_env = BENCH_PEPPER\n",
        ]
        path = self._folder / f"{name}.ini"
        path.write_text("\n".join(lines))
        self._start(name, "laburnumreel.daemon", "--config", str(path), "coordinator")
        wait_until(lambda: self._is_listening(self._admin[name]) and self._is_ready(name))

    def change_workers(self) -> None:
        """Write a configuration change that needs a different worker total in both zones."""
        profile = merge_sections(PROFILE_SCHEMA.parse("[profile]\nkind = model\n", "").ok)
        text = (
            "[service]\nprofile = chat\nmodels = small\ncustomers = *\n"
            f"workers = {next(self._workers)}\n[spend]\nzones = xela-a, puerto-a\n"
        )
        puts = {
            "profile/chat": profile,
            "service/quoting": merge_sections(SERVICE_SCHEMA.parse(text, "").ok),
        }
        change = self._configuration.next_change("bench", puts)
        self._configuration = self._configuration.apply(change).ok
        head = self.platform.read("config_head", "head").ok
        value = {"version": change.version, "digest": change.digest}
        self.platform.transact(
            [Check("config_head", "head", head.version if head else 0)],
            [
                Write("config_head", "head", value),
                Write("config_change", f"{change.version:012d}", change.to_value()),
            ],
        )

    def state(self) -> dict[str, Any]:
        return get_json(self.platform_address, "/standin/state")

    def highest_fence(self) -> int:
        """Return the highest fence of all orders that the platform received."""
        history = self.state()["order_history"]
        return max((item["order"]["fence"] for item in history), default=0)

    def holder(self) -> str:
        """Wait until a coordinator holds the `orders` lease, and return its name."""
        return wait_until(
            lambda: next((name for name in self._admin if self._holds_lease(name)), None)
        )

    def signal_holder(self, signum: signal.Signals) -> float:
        """Signal the lease holder at a random time; return the seconds to the successor's order."""
        name, fence = self.holder(), self.highest_fence()
        time.sleep(self._random.uniform(0.0, 2.0))
        process = self._processes.pop(name)
        started_at = time.monotonic()
        process.send_signal(signum)
        del self._admin[name]
        self.change_workers()
        wait_until(lambda: self.highest_fence() > fence)
        elapsed_s = time.monotonic() - started_at
        if signum == signal.SIGSTOP:
            process.send_signal(signal.SIGCONT)
        code = process.wait(TIMEOUT_S)
        assert code in (-signal.SIGKILL, -signal.SIGALRM), f"the holder ended with {code}"
        self.add_coordinator(f"{name}x")
        return elapsed_s

    def calls_per_s(self) -> tuple[float, float]:
        """Return the table writes and reads per second at the platform."""
        before = self.state()["calls"]
        time.sleep(MEASURE_S)
        after = self.state()["calls"]
        writes, reads = (
            (after.get(call, 0) - before.get(call, 0)) / MEASURE_S
            for call in ("POST /table", "GET /table")
        )
        return writes, reads

    def end(self) -> None:
        for process in self._processes.values():
            process.kill()
            process.wait(TIMEOUT_S)

    def _start(self, name: str, module: str, *arguments: str) -> None:
        self._processes[name] = Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=DEVNULL,
            stderr=DEVNULL,
            env={**os.environ, "BENCH_PEPPER": "pepper"},
        )

    def _address(self) -> Address:
        while True:
            with socket.socket() as probe:
                probe.bind((self._host, 0))
                port = probe.getsockname()[1]
            if port not in self._ports:
                self._ports.add(port)
                return self._host, port

    def _is_listening(self, address: Address) -> bool:
        with socket.socket() as probe:
            return probe.connect_ex(address) == 0

    def _is_ready(self, name: str) -> bool:
        return get_json(self._admin[name], "/readyz")["ready"]

    def _holds_lease(self, name: str) -> bool:
        return "orders" in get_json(self._admin[name], "/readyz")["leases"]


def get_json(address: Address, path: str) -> dict[str, Any]:
    """Send a GET request and return the JSON of the answer."""
    connection = http.client.HTTPConnection(*address, timeout=TIMEOUT_S)
    try:
        connection.request("GET", path)
        return json.loads(connection.getresponse().read())
    finally:
        connection.close()


def wait_until(condition: Callable[[], Any]) -> Any:
    """Return the condition's first true value, or raise TimeoutError."""
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise TimeoutError


def run(seeds: Sequence[int]) -> Report:
    """Measure on a fresh platform for each seed."""
    gaps: list[tuple[Any, ...]] = []
    calls: list[tuple[Any, ...]] = []
    for seed in seeds:
        with ExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            testbed = Testbed(seed, Path(folder))
            stack.callback(testbed.end)
            testbed.change_workers()
            wait_until(testbed.highest_fence)
            calls.append(("idle", *testbed.calls_per_s()))
            calls.append(("under load", *_under_load(testbed)))
            gaps.append(("killed", testbed.signal_holder(signal.SIGKILL)))
            gaps.append(("paused", testbed.signal_holder(signal.SIGSTOP)))
    bound_s = TERM_S + 2 * MARGIN_S
    gap_rows = [
        (event, seconds, bound_s, max(row[1] for row in gaps if row[0] == event))
        for event, seconds in average_rows(gaps, 1)
    ]
    headers = ("holder", "seconds to a successor's order", "term and margins", "longest")
    text = (
        f"{COORDINATORS} coordinators, lease term {TERM_S} s, margin {MARGIN_S} s. The time is "
        "from the signal to the first order of a successor at the platform. A paused holder "
        "is continued then, and its own timer ends it. Under load, the worker total changes twice a "
        f"second and {GATEWAYS} gateways' flush tasks each count {REQUESTS_PER_S} requests a "
        "second."
    )
    call_headers = ("state", "table writes a second", "table reads a second")
    return Report(
        text,
        [
            Table("without-authority", headers, gap_rows),
            Table("platform-calls", call_headers, average_rows(calls, 1)),
        ],
    )


def _under_load(testbed: Testbed) -> tuple[float, float]:
    clock = SystemClock()
    with ThreadPoolExecutor(GATEWAYS + 1) as executor:
        flushes = [
            UsageFlusher(testbed.platform, f"gateway-{number}", "boot", USAGE, clock)
            for number in range(GATEWAYS)
        ]
        for flush in flushes:
            flush.start(executor)
        measured = executor.submit(testbed.calls_per_s)
        for second in range(2 * round(MEASURE_S)):
            testbed.change_workers()
            for flush in flushes:
                for number in range(REQUESTS_PER_S // 2):
                    count = UsageCount(f"customer-{number % 8}", "quoting", 1, 400, 100)
                    flush.count(f"{second}-{number}", count)
            time.sleep(0.5)
        for flush in flushes:
            flush.stop()
        return measured.result(TIMEOUT_S)
