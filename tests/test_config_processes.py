"""Tests of configuration and keys on six gateway processes."""

import signal
import threading
import time

import pytest

from laburnumreel_standins.caller import Stream, bearer_headers, call
from laburnumreel_standins.deployment import Deployment
from laburnumreel_standins.operator import Operator, start_six_gateways
from laburnumreel_standins.processes import wait_until

pytestmark = pytest.mark.processes

MAX_APPLY_S = 8.0
MAX_CUT_S = 8.0
# On a busy machine too, the other five gateways confirm within this time.
SHORT_TIMEOUT = ("--timeout", 4)
PROMPT = {"prompt": "a quote for forty beds", "max_tokens": 2000}


@pytest.fixture(scope="module")
def deployment():
    deployment = Deployment()
    yield deployment
    deployment.end()


@pytest.fixture(scope="module")
def gateways(deployment):
    return start_six_gateways(deployment)


@pytest.fixture(scope="module")
def operator(gateways, tmp_path_factory):
    operator = Operator(tmp_path_factory.mktemp("profiles"), gateways)
    code, result = operator.run("config", "apply", operator.folder, "--wait")
    assert code == 0, result
    return operator


def finish_in_thread(stream):
    """Read a stream to its end on a thread; return the thread and the list of its outcome."""
    outcome = []
    thread = threading.Thread(target=lambda: outcome.append(stream.finish()))
    thread.start()
    return thread, outcome


def test_apply_with_wait_is_in_force_on_six_gateways(operator, gateways):
    """Guards against reporting success before every gateway has the version."""
    operator.set_weight(3)
    began = time.monotonic()
    code, result = operator.run("config", "apply", operator.folder, "--wait")
    assert code == 0 and time.monotonic() - began < MAX_APPLY_S
    status = operator.run("status")[1]["processes"]
    assert {row["config_version"] for row in status} == {result["version"]}
    assert {row["config_digest"] for row in status} == {result["digest"]}
    assert len(status) == 6 and all(row["ready"] for row in status)


@pytest.mark.parametrize("down", [False, True], ids=["store-up", "store-down"])
def test_withdraw_cuts_a_connected_stream_and_reaches_the_store(
    operator, gateways, deployment, down
):
    """Guards against a withdrawn key that still works for a connected caller or a new request."""
    granted = operator.run("key", "grant", "hall-a")[1]
    for gateway in gateways:
        wait_until(
            lambda gateway=gateway: call(
                gateway.caller_address, "GET", "/v1/models", headers=bearer_headers(granted["key"])
            ).status
            == 200,
            "the key to be known",
        )
    stream = Stream(gateways[5].caller_address, PROMPT, bearer_headers(granted["key"]))
    assert stream.answer.status == 200
    thread, outcome = finish_in_thread(stream)
    deployment.platform_faults(down=down)
    try:
        began = time.monotonic()
        code, result = operator.run("key", "withdraw", "--digest", granted["digest"], "--wait")
        assert code == 0, result
        assert result["stored"] is not down and result["confirmed"] == 6
        thread.join(MAX_CUT_S)
        assert outcome and time.monotonic() - began < MAX_CUT_S
        assert outcome[0][1:] == (False, "withdrawn_key")
        for gateway in gateways:
            reply = call(
                gateway.caller_address, "GET", "/v1/models", headers=bearer_headers(granted["key"])
            )
            assert reply.kind == "withdrawn_key"
    finally:
        deployment.platform_faults(down=False)
    wait_until(
        lambda: deployment.platform.read("withdrawn", granted["digest"]).ok,
        "the withdrawal to be stored",
        10,
    )


def test_wait_names_a_paused_gateway(operator, gateways):
    """Guards against reporting a withdrawal as complete while a gateway still admits the key."""
    gateways[4].process.send_signal(signal.SIGSTOP)
    try:
        name = "{}:{}".format(*gateways[4].addresses["peers"])
        operator.set_weight(5)
        code, error = operator.run("config", "apply", operator.folder, "--wait", *SHORT_TIMEOUT)
        assert code == 5 and error["not_in_force"] == [name]
        code, error = operator.run(
            "key", "withdraw", "--digest", "cd" * 32, "--wait", *SHORT_TIMEOUT
        )
        assert code == 5 and error["not_in_force"] == [name]
    finally:
        gateways[4].process.send_signal(signal.SIGCONT)
    assert operator.run("key", "withdraw", "--digest", "cd" * 32, "--wait")[0] == 0
