"""Delay of configuration changes and key withdrawals, and cost of configuration and exchange.

Run it as `python -m bench changes`; each cost row is measured in a process of its own.
"""

import json
import random
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from types import SimpleNamespace
from typing import Any

from bench._report import Report, Table
from laburnumreel.coordination import (
    ClaimState,
    ConfigBase,
    ConfigSync,
    NodeStatus,
    NodeUpdate,
    PeerExchange,
    write_change,
)
from laburnumreel.state import Configuration
from laburnumreel.transport import PeerClient, PeerServer
from laburnumreel_standins._memory_platform import MemoryPlatform
from laburnumreel_standins._platform_state import PlatformState
from laburnumreel_standins.caller import Stream, bearer_headers, call
from laburnumreel_standins.deployment import Deployment
from laburnumreel_standins.operator import Operator, start_six_gateways
from laburnumreel_standins.processes import fresh_host, wait_until

ROOT = Path(__file__).parent.parent
SAMPLES = 20
POLL_S = 0.01
CUT_TIMEOUT_S = 30.0
MEASURE_S = 10.0
SETTLE_S = 2.0
COST_TIMEOUT_S = 180.0
PAGE_BYTES = 4096
# Peers, customers and changes per second of each cost row; one value varies at a time.
COSTS = (
    (6, 100, 0.0),
    (12, 100, 0.0),
    (24, 100, 0.0),
    (48, 100, 0.0),
    (6, 1000, 0.0),
    (6, 10000, 0.0),
    (6, 36000, 0.0),
    (6, 100, 1.0),
    (6, 100, 5.0),
    (6, 36000, 1.0),
)

Row = dict[str, Any]


LIVE_COLUMNS = ("measure", "store", "seed", "gateways", "samples", "median_s", "worst_s")
COST_COLUMNS = (
    "peers",
    "customers",
    "changes_per_s",
    "seed",
    "changes",
    "core_percent",
    "peer_kb_per_s",
    "store_json_kb_per_s",
    "resident_mb",
)
TEXT = """Seconds from `config apply` until six real gateways have the version, and from `key withdraw`
until a connected stream is cut, with the store up and down. Goal: in force within 8 s.

The cost is that of ConfigSync and PeerExchange in one process, measured with all of them in one
Python process on loopback sockets and the platform in memory. The processor time therefore includes
the platform's and the writer's; store bytes are JSON without HTTP headers. Goal for a node, which is
two such processes: 1.3% of a core, 128 MB and 8 KB/s."""


def run(seeds: Iterable[int]) -> Report:
    """Measure for each seed: changes in force, streams cut with the store up and down, and cost."""
    live, costs = [], []
    for seed in seeds:
        live += measure_gateways(seed)
        costs += [measure_cost(seed, *cost) for cost in COSTS]
    return Report(TEXT, [_table("live", LIVE_COLUMNS, live), _table("cost", COST_COLUMNS, costs)])


def _table(name: str, columns: tuple[str, ...], rows: list[Row]) -> Table:
    return Table(name, columns, [tuple(row[column] for column in columns) for row in rows])


def measure_gateways(seed: int) -> list[Row]:
    """Measure on six real gateways with `exchange_s` at its default of 0.5."""
    deployment = Deployment()
    try:
        gateways = start_six_gateways(deployment, peers="exchange_s = 0.5\n")
        with tempfile.TemporaryDirectory() as folder:
            operator = Operator(Path(folder), gateways)
            _check_outcome(operator.run("config", "apply", operator.folder, "--wait"))
            applied = [_time_apply(operator, gateways, 2 + index % 7) for index in range(SAMPLES)]
            rows = [_live_row(seed, "config_apply_in_force", "up", applied)]
            rng = random.Random(seed)
            for down in (False, True):
                cuts = [
                    _time_stream_cut(operator, gateways, deployment, rng, down)
                    for _ in range(SAMPLES)
                ]
                rows.append(
                    _live_row(seed, "key_withdraw_stream_cut", "down" if down else "up", cuts)
                )
            return rows
    finally:
        deployment.end()


def _live_row(seed: int, measure: str, store: str, seconds: list[float]) -> Row:
    return {
        "measure": measure,
        "seed": seed,
        "gateways": 6,
        "store": store,
        "samples": len(seconds),
        "median_s": round(statistics.median(seconds), 3),
        "worst_s": round(max(seconds), 3),
    }


def _check_outcome(outcome: tuple[int, Any]) -> Any:
    code, result = outcome
    if code:
        raise RuntimeError(f"the command line failed with {code}: {result}")
    return result


def _time_apply(operator: Operator, gateways: list[Any], weight: int) -> float:
    operator.set_weight(weight)
    link = PeerClient()
    started_at = time.monotonic()
    version = _check_outcome(operator.run("config", "apply", operator.folder))["version"]
    pending = [gateway.addresses["peers"] for gateway in gateways]
    while pending and time.monotonic() - started_at < CUT_TIMEOUT_S:
        answers = {address: link.status(address) for address in pending}
        pending = [a for a, s in answers.items() if s.is_error() or s.ok.config_version < version]
        if pending:
            time.sleep(POLL_S)
    link.close()
    return time.monotonic() - started_at


def _time_stream_cut(
    operator: Operator,
    gateways: list[Any],
    deployment: Deployment,
    rng: random.Random,
    down: bool,
) -> float:
    granted = _check_outcome(operator.run("key", "grant", "hall-a"))
    key = granted["key"]
    gateway = rng.choice(gateways)
    wait_until(
        lambda: call(
            gateway.caller_address, "GET", "/v1/models", headers=bearer_headers(key)
        ).status
        == 200,
        "the key to be known",
    )
    stream = Stream(
        gateway.caller_address, {"prompt": f"quote {key}", "max_tokens": 2000}, bearer_headers(key)
    )
    ended: list[float] = []

    def read() -> None:
        _, _, error = stream.finish()
        if error == "withdrawn_key":
            ended.append(time.monotonic())

    reader = threading.Thread(target=read)
    reader.start()
    time.sleep(rng.uniform(0.1, 0.6))
    deployment.platform_faults(down=down)
    try:
        started_at = time.monotonic()
        _check_outcome(operator.run("key", "withdraw", "--digest", granted["digest"]))
        reader.join(CUT_TIMEOUT_S)
    finally:
        deployment.platform_faults(down=False)
    return ended[0] - started_at if ended else CUT_TIMEOUT_S


def measure_cost(seed: int, peers: int, customers: int, changes_per_s: float) -> Row:
    """Measure one row in a separate process, so that its memory starts from zero."""
    arguments = [sys.executable, "-m", "bench.changes", "cost"]
    arguments += [str(seed), str(peers), str(customers), str(changes_per_s)]
    done = subprocess.run(
        arguments, cwd=ROOT, capture_output=True, text=True, timeout=COST_TIMEOUT_S, check=True
    )
    return json.loads(done.stdout)


class _CountingPlatform(MemoryPlatform):
    """A platform that counts the JSON bytes read, without HTTP headers."""

    read_bytes = 0

    def read(self, table: str, key: str) -> Any:
        return self._count(super().read(table, key))

    def scan(self, table: str, prefix: str = "", after: str = "", limit: int = 500) -> Any:
        return self._count(super().scan(table, prefix, after, limit))

    def _count(self, answer: Any) -> Any:
        if answer.is_ok():
            self.read_bytes += len(json.dumps(answer.ok))
        return answer


class _FakeDelegate:
    """Updates of a busy gateway: nine back ends, eight customers served since the last round."""

    stopping = False

    def local_update(self, now: float) -> NodeUpdate:
        return NodeUpdate(
            in_flight={f"engine-{number}": (4, 2000) for number in range(9)},
            received={f"customer-{number}": (500, 2) for number in range(8)},
        )

    def on_peer_update(self, peer: str, news: NodeUpdate, now: float) -> None:
        return


class _Node:
    """Configuration, exchange and peer server of one process, on a real socket."""

    def __init__(self, number: int, addresses: list[tuple[str, int]], state: PlatformState):
        half = len(addresses) // 2
        settings = SimpleNamespace(
            node=SimpleNamespace(name=f"node-{number}"),
            listen=SimpleNamespace(peers=addresses[number], coordinator_peers=addresses[number]),
            peers=SimpleNamespace(
                gateways=tuple(addresses[:half]),
                coordinators=tuple(addresses[half:]),
                exchange_s=0.5,
                cut_off_s=3.0,
            ),
        )
        role = "gateway" if number < half else "coordinator"
        self.link = PeerClient()
        self.platform = _CountingPlatform(state)
        self.config = ConfigSync(self.platform, self.link, processes=len(addresses))
        self.exchange = PeerExchange(settings, self.config, self.link, _FakeDelegate(), role)
        self.server = PeerServer(addresses[number], self.exchange, self.config, self)
        self.executor = ThreadPoolExecutor(3)
        self.components = (self.server, self.exchange, self.config)
        for component in reversed(self.components):
            component.start(self.executor)

    def status(self) -> NodeStatus:
        raise AssertionError("no operator asks in this benchmark")

    def claim_state(self, claim_key: str) -> ClaimState:
        raise AssertionError("no request is claimed in this benchmark")

    def transferred_bytes(self) -> tuple[int, int]:
        return sum(self.link.traffic), self.platform.read_bytes

    def stop(self) -> None:
        for component in self.components:
            component.stop()
        self.link.close()
        self.executor.shutdown()


def cost_row(seed: int, peers: int, customers: int, changes_per_s: float) -> Row:
    """Run all nodes in this process and return the cost of one of them.

    The processor time includes the platform's stand-in and the writer of the changes. The resident
    memory is the growth from before the start of the nodes to the end, divided among them.
    """
    rng = random.Random(seed)
    state = PlatformState()
    writer = MemoryPlatform(state)
    puts: dict[str, dict[str, Any]] = {}
    for number in range(customers):
        puts[f"customer/customer-{number}"] = _customer(rng)
        puts[f"key/{rng.getrandbits(256):064x}"] = {"customer": f"customer-{number}"}
    configuration, head = _apply_change(writer, ConfigBase(Configuration(), 0), puts)
    del puts
    addresses = [(fresh_host(), 7000) for _ in range(peers)]
    before = _resident_bytes()
    nodes = [_Node(number, addresses, state) for number in range(peers)]
    try:
        wait_until(lambda: all(node.config.ready for node in nodes), "all nodes", 60)
        time.sleep(SETTLE_S)
        bytes_before = [node.transferred_bytes() for node in nodes]
        cpu, started_at = time.process_time(), time.monotonic()
        changes_made = 0
        while (elapsed := time.monotonic() - started_at) < MEASURE_S:
            if changes_made < changes_per_s * elapsed:
                changes_made += 1
                entry = f"customer/customer-{rng.randrange(customers)}"
                configuration, head = _apply_change(
                    writer, ConfigBase(configuration, head), {entry: _customer(rng)}
                )
            time.sleep(0.02)
        cpu = time.process_time() - cpu
        bytes_after = [node.transferred_bytes() for node in nodes]
        resident = _resident_bytes() - before
    finally:
        for node in nodes:
            node.stop()
    peer_bytes = sum(new[0] - old[0] for new, old in zip(bytes_after, bytes_before, strict=True))
    store_bytes = sum(new[1] - old[1] for new, old in zip(bytes_after, bytes_before, strict=True))
    return {
        "measure": "control_cost",
        "seed": seed,
        "peers": peers,
        "customers": customers,
        "changes_per_s": changes_per_s,
        "changes": changes_made,
        "core_percent": round(100 * cpu / elapsed / peers, 2),
        # Both the calling and the answering node transfer each byte of a call.
        "peer_kb_per_s": round(2 * peer_bytes / elapsed / peers / 1000, 2),
        "store_json_kb_per_s": round(store_bytes / elapsed / peers / 1000, 2),
        "resident_mb": round(resident / peers / 1e6, 2),
    }


def _customer(rng: random.Random) -> dict[str, Any]:
    return {"weight": rng.uniform(0.5, 9), "tokens_per_s": 0.0, "requests_per_s": 0.0}


def _apply_change(
    writer: MemoryPlatform, base: ConfigBase, puts: dict[str, dict[str, Any]]
) -> tuple[Configuration, int]:
    """Write a change; return the new configuration and the row version of its head."""
    change = base.configuration.next_change("bench", puts)
    if write_change(writer, base, change).is_error():
        raise RuntimeError("the change was not accepted")
    return base.configuration.apply(change).ok, writer.read("config_head", "head").ok.version


def _resident_bytes() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


if __name__ == "__main__":
    if sys.argv[1] == "cost":
        print(
            json.dumps(
                cost_row(int(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4]), float(sys.argv[5]))
            )
        )
    else:
        raise SystemExit("run it as: python -m bench changes")
