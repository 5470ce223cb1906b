"""Resident memory of a node's two processes for growing numbers of customers."""

from collections.abc import Sequence
from pathlib import Path

from bench._report import Report, Table
from laburnumreel.state import key_digest
from laburnumreel_standins.caller import call
from laburnumreel_standins.deployment import PEPPER, Deployment
from laburnumreel_standins.processes import Process, resident_mb, wait_until

CUSTOMERS = (100, 1000, 10000, 36000)
CUSTOMER = {"weight": 1.0, "tokens_per_s": 0.0, "requests_per_s": 0.0}
# Large configurations are written in about this many changes: more than SNAPSHOT_CHANGES, above
# which a new node reads the snapshot instead of single changes.
CHANGE_COUNT = 600
SNAPSHOT_CHANGES = 500

TEXT = (
    "One gateway and one coordinator as real processes; each customer has an entry and one key. "
    "Both start when the store holds the configuration. Resident memory in MB once it is in force. Goal for both together: 128 MB at "
    "36,000 customers."
)


def run(seeds: Sequence[int]) -> Report:
    """Measure each number of customers once; the seeds have no effect here."""
    rows = [(customers, *_measure(customers)) for customers in CUSTOMERS]
    headers = ("customers", "gateway MB", "coordinator MB", "node MB")
    return Report(TEXT, [Table("resident", headers, rows)])


def _measure(customers: int) -> tuple[float, float, float]:
    deployment = Deployment()
    try:
        deployment.configure()
        path, addresses = deployment.write_settings("node-1")
        writer = _start_coordinator(deployment, path, addresses)
        batch_size = max(1, customers // CHANGE_COUNT)
        version = 1
        for start in range(0, customers, batch_size):
            deployment.apply(_entries(range(start, min(start + batch_size, customers))))
            version += 1
        if version > SNAPSHOT_CHANGES:
            wait_until(
                lambda: deployment.platform.read("config_snapshot", "latest").ok, "the snapshot"
            )
        writer.end()
        gateway = deployment.run_gateway("node-1", path, addresses)
        coordinator = _start_coordinator(deployment, path, addresses)
        for admin in (gateway.admin_address, addresses["coordinator_admin"]):
            wait_until(
                lambda at=admin: call(at, "GET", "/readyz").json.get("configuration") == version,
                f"version {version}",
            )
        sizes_mb = [resident_mb(process.pid) for process in (gateway.process, coordinator)]
        return (*sizes_mb, sum(sizes_mb))
    finally:
        deployment.end()


def _start_coordinator(
    deployment: Deployment, path: Path, addresses: dict[str, tuple[str, int]]
) -> Process:
    env = {"TEST_PEPPER": PEPPER, "TEST_CREDENTIAL": "x"}
    process = deployment.start("laburnumreel.daemon", "--config", str(path), "coordinator", env=env)
    return process.wait_until_listening(*addresses["coordinator_admin"])


def _entries(numbers: range) -> dict[str, dict]:
    entries = {f"customer/hall-{number}": dict(CUSTOMER) for number in numbers}
    for number in numbers:
        digest = key_digest(f"lr-memory-key-{number}", PEPPER.encode())
        entries[f"key/{digest}"] = {"customer": f"hall-{number}"}
    return entries
