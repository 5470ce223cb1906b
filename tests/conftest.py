"""Hypothesis profiles, expected failures, time limits of tests, and shared fixtures.

The profile `ci` uses fixed examples, `fuzz` (see `make fuzz`) random ones.
"""

import os
import re
import signal
from pathlib import Path

import pytest
import structlog
from hypothesis import HealthCheck, settings
from platform_world import World
from scripted_server import ScriptedServer
from structlog.testing import LogCapture

from laburnumreel_standins.deployment import Deployment

settings.register_profile(
    "ci", derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.register_profile(
    "fuzz", max_examples=2000, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


EXPECTED_FAILURES = re.findall(
    r"^ +passed over: (\S+)$",
    (Path(__file__).resolve().parent.parent / "KNOWN-RED.txt").read_text(encoding="utf-8"),
    re.MULTILINE,
)


# Limits of a test that starts no processes: on CPU time, which does not depend on the load of the
# machine, and on wall-clock time, for a test that hangs without computing. Others use `timeout`.
MAX_PROCESSOR_S = 120
MAX_CLOCK_S = 900


def is_bounded_by_cpu_time(item):
    """Return whether a test has the CPU time limit. `--timeout` replaces it, as in `make fuzz`."""
    has_timeout_option = item.config.getoption("timeout", None) is not None
    return not has_timeout_option and item.get_closest_marker("processes") is None


def pytest_collection_modifyitems(items):
    """Set the time limits, and mark the tests listed in KNOWN-RED.txt as expected failures.

    The marks are strict: a listed test that passes fails the run.
    """
    for item in items:
        if is_bounded_by_cpu_time(item):
            item.add_marker(pytest.mark.timeout(MAX_CLOCK_S))
        # An entry names a test with all its parameters, or one of its cases.
        if not {item.nodeid, item.nodeid.partition("[")[0]}.isdisjoint(EXPECTED_FAILURES):
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=True))


def fail_on_cpu_timeout(signal_number, frame):
    pytest.fail(f"more than {MAX_PROCESSOR_S} s of processor time")


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_call(item):
    """Fail a test that exceeds its CPU time limit."""
    if not is_bounded_by_cpu_time(item):
        yield
        return
    previous_handler = signal.signal(signal.SIGPROF, fail_on_cpu_timeout)
    signal.setitimer(signal.ITIMER_PROF, MAX_PROCESSOR_S)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_PROF, 0)
        signal.signal(signal.SIGPROF, previous_handler)


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item, call):
    """Add the last answers and log lines of a failed test's processes to its report."""
    outcome = yield
    report = outcome.get_result()
    if not report.failed or call.when == "teardown":
        return
    for fixture in getattr(item, "funcargs", {}).values():
        if hasattr(fixture, "evidence"):
            report.sections.extend(fixture.evidence().items())


def pytest_terminal_summary(terminalreporter):
    for name in EXPECTED_FAILURES:
        terminalreporter.write_line(f"passed over, see KNOWN-RED.txt: {name}")


@pytest.fixture
def log_lines():
    """The lines that all threads of this process log during the test.

    A fixture whose threads log must depend on this one. `capture_logs` would miss the lines before
    its block, and changes the list of processors in place, which fails a call on another thread.
    """
    capture = LogCapture()
    processors = structlog.get_config()["processors"]
    structlog.configure(processors=[capture])
    yield capture.entries
    structlog.configure(processors=processors)


@pytest.fixture
def deployment():
    """A deployment of real processes, which are stopped after the test."""
    running = Deployment()
    yield running
    running.end()


@pytest.fixture
def world(tmp_path):
    """A stand-in of the users' platform, with relay processes that are stopped after the test."""
    running = World(tmp_path)
    yield running
    running.end()


@pytest.fixture
def start_scripted_server():
    """A function that starts servers with scripts; they are stopped after the test."""
    servers = []

    def start(script):
        servers.append(ScriptedServer(script))
        return servers[-1]

    yield start
    for server in servers:
        server.end()
