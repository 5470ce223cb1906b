"""Hypothesis profiles (fixed examples in CI, fresh ones by `make fuzz`), known reds, and shared fixtures."""

import os
import re
import signal
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings
from platform_world import World
from scripted_server import ScriptedServer

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


# Bounds of a test that starts no processes: on the processor time that it takes, which is the same
# on a busy machine, and on the time of a clock for one that waits for ever. Others have `timeout`.
MAX_PROCESSOR_S = 120
MAX_CLOCK_S = 900


def is_bounded_by_cpu_time(item):
    """Return whether a test's bound is on processor time. `--timeout` replaces it, as in `make fuzz`."""
    has_timeout_option = item.config.getoption("timeout", None) is not None
    return not has_timeout_option and item.get_closest_marker("processes") is None


def pytest_collection_modifyitems(items):
    """Bound the tests that only compute, and expect those that KNOWN-RED.txt passes over to fail.

    One of these that passes fails the run.
    """
    for item in items:
        if is_bounded_by_cpu_time(item):
            item.add_marker(pytest.mark.timeout(MAX_CLOCK_S))
        if item.nodeid.partition("[")[0] in EXPECTED_FAILURES:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=True))


def fail_on_cpu_timeout(signal_number, frame):
    pytest.fail(f"more than {MAX_PROCESSOR_S} s of processor time")


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_call(item):
    """End a test that only computes after its processor time."""
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
    """Add to a test that failed what its processes answered and logged last."""
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
def deployment():
    """Real processes that end with the test."""
    running = Deployment()
    yield running
    running.end()


@pytest.fixture
def world(tmp_path):
    """The users' platform in miniature, with relay processes that end with the test."""
    running = World(tmp_path)
    yield running
    running.end()


@pytest.fixture
def start_scripted_server():
    """Return a function that starts servers with scripts, which end with the test."""
    servers = []

    def start(script):
        servers.append(ScriptedServer(script))
        return servers[-1]

    yield start
    for server in servers:
        server.end()
