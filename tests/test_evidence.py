"""Tests of the diagnostics that a failed test prints, and of the time limits of tests."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from laburnumreel_standins.caller import Reply, Stream, bearer_headers, call

TESTS = Path(__file__).resolve().parent

FAILING = """
import pytest


class Processes:
    def evidence(self):
        return {"log of node-1": "its last line"}


@pytest.fixture
def deployment():
    return Processes()


def test_it(deployment):
    assert not deployment


def test_sound(deployment):
    assert deployment
"""

COMPUTING = """
import time

import conftest

conftest.MAX_PROCESSOR_S = 0.5


def test_that_computes_for_ever():
    while True:
        pass


def test_that_waits_longer():
    time.sleep(1.0)


def test_next():
    time.sleep(0)
"""


def run_pytest(folder, text, *options):
    """Run a test file with this project's conftest, and return pytest's output."""
    (folder / "test_it.py").write_text(text)
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "conftest", *options, "--rootdir", folder, folder],
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(TESTS)},
        capture_output=True,
        text=True,
        check=False,
    ).stdout


def test_processor_time_of_a_test_is_limited(tmp_path):
    """Under load, a correct test failed because it took more than 120 s of wall-clock time."""
    output = run_pytest(tmp_path, COMPUTING)
    assert "1 failed, 2 passed" in output
    assert "FAILED test_it.py::test_that_computes_for_ever" in output
    assert "more than 0.5 s of processor time" in output


def test_timeout_option_replaces_the_processor_time_limit(tmp_path):
    output = run_pytest(tmp_path, COMPUTING, "--timeout", "4", "--timeout-method", "signal")
    assert "1 failed, 2 passed" in output and "Timeout (>4.0s)" in output
    assert "of processor time" not in output


def test_failed_test_prints_the_evidence_of_its_processes(tmp_path):
    """Guards against untraceable failures: a stream once ended without an event in a test."""
    output = run_pytest(tmp_path, FAILING)
    assert "1 failed, 1 passed" in output
    assert output.count("log of node-1") == output.count("its last line") == 1


def test_reply_repr_starts_with_its_kind_and_request():
    headers = {"x-padding": "x" * 500, "x-error-kind": "no_back_end", "x-request-id": "q7"}
    shown = repr(Reply(503, headers, b"why" * 500))
    assert shown.startswith("<503 kind no_back_end") and "request q7" in shown
    assert len(shown) < 500


@pytest.mark.processes
def test_evidence_contains_the_answers_and_the_log_of_each_gateway(deployment):
    deployment.configure()
    gateway = deployment.start_gateway()
    stream = Stream(gateway.caller_address, {"prompt": "x", "max_tokens": 2})
    with pytest.raises(
        AssertionError, match=r"no event; status 503, kind no_back_end, request \S+"
    ):
        stream.next_text()
    unknown = call(gateway.caller_address, "GET", "/v1/models", None, bearer_headers("lr-nobody"))
    evidence = deployment.evidence()
    answers = evidence["last answers"].splitlines()
    assert "status 503, kind no_back_end" in answers[0]
    assert "kind unknown_key" in answers[1] and unknown.headers["x-request-id"] in answers[1]
    assert "gateway_started" in evidence["log of node-1"]
    gateway.process.end()
    assert "has ended" in deployment.evidence()["log of node-1"]
