"""Processes on loopback for tests and benchmarks: fresh addresses, bounded waits, safe ends."""

import itertools
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

# Generous, so that a slow machine does not fail a test; a condition that holds ends the wait.
DEFAULT_TIMEOUT_S = 30.0

_host_numbers = itertools.count(1)


def fresh_host() -> str:
    """Return a loopback address that no other test process uses, so that ports cannot clash."""
    number = next(_host_numbers)
    pid = os.getpid()
    return f"127.{1 + pid % 250}.{1 + (pid // 250) % 250}.{1 + number % 250}"


def free_port(host: str) -> int:
    """Return a port that is free on `host` now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def wait_until(
    condition: Callable[[], Any], description: str, timeout_s: float = DEFAULT_TIMEOUT_S
) -> Any:
    """Return the condition's first true value; fail the test after `timeout_s`."""
    deadline = time.monotonic() + timeout_s
    while True:
        result = condition()
        if result:
            return result
        if time.monotonic() > deadline:
            raise AssertionError(f"waited {timeout_s:g} s in vain for: {description}")
        time.sleep(0.02)


def can_connect(host: str, port: int) -> bool:
    """Return whether something listens there."""
    with socket.socket() as sock:
        sock.settimeout(1.0)
        return sock.connect_ex((host, port)) == 0


def resident_mb(pid: int) -> float:
    """Return a process' resident memory in MB. Raises ValueError where it has none."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"process {pid} has no resident size")


class Process:
    """A process of this project, run with `python -m`, whose output goes to a file."""

    def __init__(self, module: str, *arguments: str, env: dict[str, str] | None = None) -> None:
        # The file outlives this call: the process writes to it until `end`.
        self._output = tempfile.NamedTemporaryFile(  # noqa: SIM115
            prefix="laburnumreel-", suffix=".log"
        )
        self._process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=self._output,
            stderr=subprocess.STDOUT,
            env={**os.environ, **(env or {})},
            # In a group of its own: the kernel hangs up a whole group in which a process is stopped
            # when the shell that started it ends.
            start_new_session=True,
        )

    @property
    def pid(self) -> int:
        return self._process.pid

    @property
    def output(self) -> str:
        return Path(self._output.name).read_text(errors="replace")

    @property
    def exit_code(self) -> int | None:
        """The exit code, or None while the process runs."""
        return self._process.poll()

    def wait_until_listening(self, host: str, port: int) -> "Process":
        """Wait until the process listens on an address."""
        wait_until(
            lambda: self.exit_code is not None or can_connect(host, port),
            f"{host}:{port} to listen",
        )
        assert self.exit_code is None, self.output
        return self

    def send_signal(self, signal_number: signal.Signals) -> None:
        self._process.send_signal(signal_number)

    def wait(self, timeout_s: float = DEFAULT_TIMEOUT_S) -> int:
        return self._process.wait(timeout_s)

    def end(self) -> None:
        """Kill the process if it still runs. A stopped one is killed too."""
        if self.exit_code is None:
            self._process.kill()
        self._process.wait(DEFAULT_TIMEOUT_S)
        self._output.close()
