"""Coordinator processes for tests, optionally stopping themselves between check and write."""

import os
import signal
import sys
import threading
from pathlib import Path

from laburnumreel.coordinator import Coordinator
from laburnumreel.state import load_settings
from laburnumreel_standins.caller import MODEL, call
from laburnumreel_standins.deployment import PEPPER, Deployment
from laburnumreel_standins.processes import Process, wait_until

ZONES = ["zone-a", "zone-b"]
LEASE = "term_s = 2.0\nmargin_s = 0.3\n"
USAGE = "window_s = 2\ngrace_s = 1\n"


class CoordinatorProcess:
    """A coordinator process and its admin address."""

    def __init__(self, deployment: Deployment, name: str, program: str = "", *options: str) -> None:
        path, addresses = deployment.write_settings(name, lease=LEASE, usage=USAGE)
        self.name, self.admin = name, addresses["coordinator_admin"]
        arguments = (program, str(path), *options) if program else ("--config", str(path))
        env = {"TEST_PEPPER": PEPPER, "TEST_CREDENTIAL": "x"}
        if program:
            # The program is a test module, which the child process does not find without a path.
            found = [str(Path(__file__).parent), os.environ.get("PYTHONPATH", "")]
            env["PYTHONPATH"] = os.pathsep.join(filter(None, found))
            self.process: Process = deployment.start(*arguments, env=env)
        else:
            module = "laburnumreel.daemon"
            self.process = deployment.start(module, *arguments, "coordinator", env=env)
        self.process.wait_until_listening(*self.admin)

    def leases(self) -> list[str]:
        return call(self.admin, "GET", "/readyz").json["leases"]

    def wait_for_ready(self) -> "CoordinatorProcess":
        wait_until(lambda: call(self.admin, "GET", "/readyz").status == 200, f"{self.name} ready")
        return self

    def wait_for_lease(self, lease: str) -> "CoordinatorProcess":
        wait_until(lambda: lease in self.leases(), f"{self.name} to hold {lease}")
        return self


def configure_service(deployment: Deployment, models: list[str], workers: int) -> None:
    """Apply a configuration that requires these models and workers."""
    wanted = {"models": [MODEL, *models], "workers": workers, "zones": ZONES}
    deployment.configure(service__models=wanted)


def is_stopped(process: Process) -> bool:
    """Return whether a process was stopped by a signal."""
    state = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()[0]
    return state == "T"


class _NoTimer:
    """A planted fault: the process outlives its lease."""

    def arm(self, end: float) -> None:
        return

    def disarm(self) -> None:
        return


class _SelfStoppingLink:
    """Stops the process once, between the check of the lease and the write of an order."""

    def __init__(self, link) -> None:
        self._link = link

    def connect(self, address):
        return self._link.connect(address).map(_SelfStoppingConnection)

    def read(self, address, path):
        return self._link.read(address, path)


class _SelfStoppingConnection:
    has_stopped = False
    forwards_abort = True

    def __init__(self, connection) -> None:
        self._connection = connection
        self.answer, self.close = connection.answer, connection.close
        self.abort = connection.abort if self.forwards_abort else lambda: None

    def write(self, path, body, headers=None):
        if not _SelfStoppingConnection.has_stopped:
            _SelfStoppingConnection.has_stopped = True
            signal.pthread_kill(threading.get_ident(), signal.SIGSTOP)
        return self._connection.write(path, body)


def main(path: str, timer: str) -> None:
    """Run a coordinator that stops itself once, with or without its process timer."""
    settings = load_settings(Path(path)).ok
    options = {}
    if timer == "no-timer":
        options["timer"] = _NoTimer()
        # Otherwise, when the process is continued, the lease task would race with the write and
        # could reset the connection of the order first.
        _SelfStoppingConnection.forwards_abort = False
    sys.exit(Coordinator(settings, wrap_link=_SelfStoppingLink, **options).run())


if __name__ == "__main__":
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    main(*sys.argv[1:])
