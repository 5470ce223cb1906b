"""Processes on loopback addresses for tests and benchmarks, and waits with a timeout."""

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

# Long, so that a slow machine does not fail a test. A wait ends as soon as its condition holds.
DEFAULT_TIMEOUT_S = 30.0

_host_numbers = itertools.count(1)


def fresh_host() -> str:
    """Return a loopback address of this process that was not returned before.

    It is derived from the process id, so that ports of concurrent test processes do not clash.
    """
    number = next(_host_numbers)
    pid = os.getpid()
    return f"127.{1 + pid % 250}.{1 + (pid // 250) % 250}.{1 + number % 250}"


def free_port(host: str) -> int:
    """Return a port that is currently free on `host`."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def wait_until(
    condition: Callable[[], Any], description: str, timeout_s: float = DEFAULT_TIMEOUT_S
) -> Any:
    """Return the first true value of the condition. Raises AssertionError after `timeout_s`.

    `description` names the condition in the message.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        result = condition()
        if result:
            return result
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out after {timeout_s:g} s waiting for: {description}")
        time.sleep(0.02)


def can_connect(host: str, port: int) -> bool:
    """Return whether a connection to the address succeeds within 1 s."""
    with socket.socket() as sock:
        sock.settimeout(1.0)
        return sock.connect_ex((host, port)) == 0


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB. Raises ValueError if it has none."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"process {pid} has no resident size")


class Process:
    """Process that runs a Python module with `python -m` and writes its output to a file."""

    def __init__(self, module: str, *arguments: str, env: dict[str, str] | None = None) -> None:
        # Not closed here: the process writes to the file until `end`.
        self._output = tempfile.NamedTemporaryFile(  # noqa: SIM115
            prefix="laburnumreel-", suffix=".log"
        )
        self._process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=self._output,
            stderr=subprocess.STDOUT,
            env={**os.environ, **(env or {})},
            # In a session of its own: the kernel sends SIGHUP to a whole process group that has
            # a stopped process when the shell that started the group ends.
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
        """Wait until the process listens on an address, and return the process.

        Raises AssertionError with its output if the process ends before.
        """
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
        """Kill the process if it is still running, even if it is stopped, and close its output."""
        if self.exit_code is None:
            self._process.kill()
        self._process.wait(DEFAULT_TIMEOUT_S)
        self._output.close()
