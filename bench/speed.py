"""Latency that the gateway adds to tokens, compared with a direct connection to the engine."""

import json
import os
import random
import selectors
import socket
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from pathlib import Path
from subprocess import DEVNULL, Popen
from typing import Any, NamedTuple

from bench._report import Report, Table, average_rows
from laburnumreel.state import (
    CUSTOMER_SCHEMA,
    PROFILE_SCHEMA,
    SERVICE_SCHEMA,
    Check,
    Configuration,
    HttpPlatform,
    Write,
    key_digest,
    merge_sections,
)
from laburnumreel_standins.processes import resident_mb

STREAM_COUNTS = (1, 16, 64)
TOKENS = 100
TOKENS_PER_S = 50
PEPPER = "bench-pepper"
KEY = "lr-bench-key"
HOST = "127.77.0.1"
START_TIMEOUT_S = 20.0
RUN_TIMEOUT_S = 60.0
# Mean time between the random starts of two streams.
STAGGER_S = 0.02
# Short requests during the streams sample first tokens at random phases of the engine's steps.
PROBES = 60
MEAN_PROBE_GAP_S = 0.04

Address = tuple[str, int]


class Timing(NamedTuple):
    """Seconds to the first token of each probe, and between the tokens of all streams."""

    first_s: list[float]
    gaps_s: list[float]


class _Stream:
    """One streamed completion on a socket of its own, read without blocking."""

    def __init__(self, address: Address, prompt: str, tokens: int = TOKENS) -> None:
        self.tokens = tokens
        body = json.dumps(
            {"model": "small", "prompt": prompt, "max_tokens": tokens, "stream": True}
        ).encode()
        head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer {KEY}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self.socket = socket.create_connection(address, 5)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sent_at = time.perf_counter()
        self.socket.sendall(head.encode() + body)
        self.socket.setblocking(False)
        self.token_times: list[float] = []
        self.tail = b""

    def read(self) -> bool:
        """Read the available data; return whether the stream has ended."""
        data = self.socket.recv(65536)
        now = time.perf_counter()
        text = self.tail + data
        count = text.count(b'"text"') - self.tail.count(b'"text"')
        self.token_times += [now] * count
        self.tail = text[-64:]
        return not data or b"[DONE]" in text

    @property
    def gaps_s(self) -> list[float]:
        # The last event only ends the choice and has no token.
        times = self.token_times[: self.tokens]
        return [after - before for before, after in zip(times, times[1:], strict=False)]


def measure(
    address: Address, streams: int, label: str, rng: random.Random, probes: int = PROBES
) -> Timing:
    """Run concurrent streams and probes, and return their timing."""
    selector = selectors.DefaultSelector()
    starts = [(rng.uniform(0, STAGGER_S * streams), TOKENS) for _ in range(streams)]
    probe_at = STAGGER_S * streams
    for _ in range(probes):
        probe_at += rng.uniform(0, 2 * MEAN_PROBE_GAP_S)
        starts.append((probe_at, 1))
    starts.sort(reverse=True)
    started_at = time.perf_counter()
    ended: list[_Stream] = []
    running = 0
    while running or starts:
        now = time.perf_counter() - started_at
        if now > RUN_TIMEOUT_S:
            raise TimeoutError(f"{label}: streams did not end in {RUN_TIMEOUT_S:g} s")
        if starts and now >= starts[-1][0]:
            _, tokens = starts.pop()
            stream = _Stream(address, f"{label} {len(starts)}", tokens)
            selector.register(stream.socket, selectors.EVENT_READ, stream)
            running += 1
        for key, _ in selector.select(0.001 if starts else 0.5):
            if key.data.read():
                selector.unregister(key.data.socket)
                key.data.socket.close()
                ended.append(key.data)
                running -= 1
    broken = [stream for stream in ended if len(stream.token_times) < stream.tokens]
    if broken:
        raise RuntimeError(f"{label}: {len(broken)} of {len(ended)} streams were incomplete")
    return Timing(
        [stream.token_times[0] - stream.sent_at for stream in ended if stream.tokens == 1],
        [gap for stream in ended for gap in stream.gaps_s],
    )


class Node(NamedTuple):
    """The processes under test."""

    engine: Address
    gateway_address: Address
    gateway: Popen
    coordinator: Popen | None


@contextmanager
def run_node() -> Iterator[Node]:
    """Run a platform, an engine, a gateway and, if the source tree has one, a coordinator."""
    names = ("platform", "engine", "callers", "admin", "peers", "ca", "cp")
    ports = dict(zip(names, _free_ports(len(names)), strict=True))
    addresses = {name: f"{HOST}:{port}" for name, port in ports.items()}
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="laburnumreel-")))

        def start(module: str, *arguments: str) -> Popen:
            process = Popen(
                [sys.executable, "-m", module, *arguments],
                env={**os.environ, "BENCH_PEPPER": PEPPER},
                stdout=DEVNULL,
                stderr=DEVNULL,
            )
            stack.callback(process.wait)
            stack.callback(process.kill)
            return process

        standin = "laburnumreel_standins.main"
        start(standin, "platform", "--listen", addresses["platform"])
        rate = ("--stream-tokens-per-s", str(TOKENS_PER_S), "--max-streams", "128")
        start(standin, "engine", "--listen", addresses["engine"], "--models", "small", *rate)
        _wait_until_ready(ports["platform"])
        _wait_until_ready(ports["engine"])
        _configure((HOST, ports["platform"]), addresses["engine"])
        settings = folder / "node.ini"
        settings.write_text(
            "[node]\nname = bench\nzone = zone-a\nregion = region-a\n"
            f"[listen]\ncallers = {addresses['callers']}\nadmin = {addresses['admin']}\n"
            f"peers = {addresses['peers']}\ncoordinator_admin = {addresses['ca']}\n"
            f"coordinator_peers = {addresses['cp']}\n"
            f"[platform]\naddress = {addresses['platform']}\n"
            f"[peers]\ngateways = {addresses['peers']}\ncoordinators = {addresses['cp']}\n"
            "[keys]\npepper_env = BENCH_PEPPER\n"
        )
        daemon = ("laburnumreel.daemon", "--config", str(settings))
        gateway = start(*daemon, "gateway")
        coordinator = None
        if (Path(__file__).parent.parent / "src/laburnumreel/coordinator.py").exists():
            coordinator = start(*daemon, "coordinator")
        _wait_until_ready(ports["admin"], "/readyz")
        yield Node((HOST, ports["engine"]), (HOST, ports["callers"]), gateway, coordinator)


def measure_all(seeds: Sequence[int]) -> list[dict[str, Any]]:
    """Measure each number of streams once for each seed, directly and through the gateway.

    Times are in milliseconds; the processor time is the gateway's for 1,000 tokens; memory is
    resident, in MB.
    """
    rows = []
    with run_node() as processes:
        for address in (processes.engine, processes.gateway_address):
            measure(address, 4, "warm-up", random.Random(0))
        for seed in seeds:
            rng = random.Random(seed)
            for streams in STREAM_COUNTS:
                direct = measure(processes.engine, streams, f"direct {seed}", rng)
                via_gateway = measure(processes.gateway_address, streams, f"gateway {seed}", rng)
                # No probes here: with few streams they would use much of the processor time.
                before = _cpu_seconds(processes.gateway.pid)
                measure(processes.gateway_address, streams, f"alone {seed}", rng, probes=0)
                cpu_s = _cpu_seconds(processes.gateway.pid) - before
                rows.append(_row(seed, streams, direct, via_gateway, cpu_s, processes))
    return rows


def run(seeds: Sequence[int]) -> Report:
    """Return the report of all measurements."""
    rows = measure_all(seeds)
    names = tuple(name for name in rows[0] if name != "seed")
    table = [tuple(row[name] for name in names) for row in rows]
    text = (
        "What the gateway adds to the first token and to the gap between tokens, beside a direct "
        f"connection to the same engine stand-in in the same run, with streams of {TOKENS} tokens "
        f"at {TOKENS_PER_S} tokens/s. Goals at 64 streams: less than 2 ms added at the median and "
        "10 ms at p99, and less than 128 MB for gateway and coordinator together."
    )
    return Report(
        text,
        [
            Table("runs", ("seed", *names), [tuple(row.values()) for row in rows]),
            Table("means", names, average_rows(table, 1)),
        ],
    )


def _row(
    seed: int, streams: int, direct: Timing, via_gateway: Timing, cpu_s: float, processes: Node
) -> dict[str, Any]:
    row: dict[str, Any] = {"seed": seed, "streams": streams}
    for name in ("first", "gaps"):
        for percentile in (50, 99):
            both_ms = [
                _percentile(getattr(timing, f"{name}_s"), percentile) * 1000
                for timing in (direct, via_gateway)
            ]
            row[f"{name}_p{percentile}_direct_ms"] = round(both_ms[0], 3)
            row[f"{name}_p{percentile}_added_ms"] = round(both_ms[1] - both_ms[0], 3)
    row["cpu_ms_per_1000_tokens"] = round(cpu_s * 1e6 / (streams * TOKENS), 1)
    row["gateway_mb"] = round(resident_mb(processes.gateway.pid), 1)
    row["coordinator_mb"] = (
        round(resident_mb(processes.coordinator.pid), 1) if processes.coordinator else 0.0
    )
    return row


def _percentile(values: list[float], percentile: int) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percentile // 100)]


def _cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _configure(platform: Address, engine: str) -> None:
    client = HttpPlatform(platform)
    texts = {
        "profile/chat": (PROFILE_SCHEMA, "[profile]\nkind = model\ndeadline_s = 60\n"),
        "service/models": (
            SERVICE_SCHEMA,
            "[service]\nprofile = chat\nmodels = small\ncustomers = *\n",
        ),
        "customer/hall-a": (CUSTOMER_SCHEMA, ""),
    }
    values = {
        name: merge_sections(schema.parse(text, name).ok) for name, (schema, text) in texts.items()
    }
    values[f"key/{key_digest(KEY, PEPPER.encode())}"] = {"customer": "hall-a"}
    change = Configuration().next_change("bench", values)
    head = {"version": change.version, "digest": change.digest}
    written = client.transact(
        [Check("config_head", "head", 0)],
        [
            Write("config_head", "head", head),
            Write("config_change", f"{change.version:012d}", change.to_value()),
        ],
    )
    if written.is_error():
        raise RuntimeError(str(written.error))
    host = {"name": "engine-1", "address": engine, "zone": "zone-a", "region": "region-a"}
    host |= {"service": "models", "kind": "engine", "cheap": False, "state": "live"}
    _post(platform, "/standin/hosts", {"hosts": [host]})


def _post(address: Address, path: str, body: Any) -> None:
    raw = json.dumps(body).encode()
    head = f"POST {path} HTTP/1.0\r\nContent-Length: {len(raw)}\r\n\r\n".encode()
    with socket.create_connection(address, 5) as sock:
        sock.sendall(head + raw)
        if b" 200 " not in sock.recv(4096):
            raise RuntimeError(f"{path} failed")


def _free_ports(count: int) -> list[int]:
    probes = [socket.create_server((HOST, 0)) for _ in range(count)]
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def _wait_until_ready(port: int, path: str | None = None) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            with socket.create_connection((HOST, port), 2) as sock:
                if path is None:
                    return
                sock.sendall(f"GET {path} HTTP/1.0\r\n\r\n".encode())
                if b" 200 " in sock.recv(4096):
                    return
        except OSError:
            pass
        time.sleep(0.05)
    raise TimeoutError(f"{HOST}:{port} did not start")


if __name__ == "__main__":
    for result in measure_all([1]):
        print(json.dumps(result))
