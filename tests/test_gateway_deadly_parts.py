"""Tests of the gateway with a part of prompts that crashes every engine that answers it."""

import functools
import json
import time

import pytest

from laburnumreel.ui import cli
from laburnumreel.ui._context import run_command_group
from laburnumreel_standins.caller import MODEL, bearer_headers, call
from laburnumreel_standins.deployment import PEPPER
from laburnumreel_standins.processes import wait_until

pytestmark = pytest.mark.processes

ENGINES = 7
# Longer than the time within which losses count as one, and in which peers are awaited.
BETWEEN_CRASHES_S = 0.6


def send_chat(gateway, *texts):
    """Send a chat request whose first part is the same for all."""
    messages = [
        {"role": "system", "content": "You help."},
        *({"role": "user", "content": text} for text in texts),
    ]
    body = {"model": MODEL, "messages": messages, "max_tokens": 3}
    return call(gateway.caller_address, "POST", "/v1/chat/completions", body, bearer_headers())


def find_crashed(deployment):
    return [name for name, (process, _) in deployment.engines.items() if process.exit_code]


def start_deployment(deployment, gateways):
    deployment.configure(profile__chat={"resumable": False})
    for _ in range(ENGINES):
        deployment.engine_faults(deployment.add_engine(), crash_on="deadly")
    return deployment.start_gateways(gateways)


def send_until_held(deployment, gateways):
    """Send unlike requests with the deadly part, and sound ones between; return the last answer."""
    for number in range(2 * ENGINES):
        gateway = gateways[number % len(gateways)]
        reply = send_chat(gateway, "deadly", f"question {number}")
        if (reply.kind, reply.run_state) == ("quarantined", "not-run"):
            return reply
        time.sleep(BETWEEN_CRASHES_S)
        sound = functools.partial(send_chat, gateway, f"note {number}", "sound")
        wait_until(lambda: sound().status == 200, "sound work")  # noqa: B023
    return reply


def test_unlike_requests_with_a_deadly_part_stop_crashing_engines(deployment):
    """Requests that were no two alike crashed one engine after another."""
    (gateway,) = start_deployment(deployment, 1)
    reply = send_until_held(deployment, [gateway])
    assert (reply.kind, reply.run_state) == ("quarantined", "not-run")
    assert len(find_crashed(deployment)) <= 4
    assert int(reply.headers["retry-after"]) > 500
    # The retry budget may be used up until the dead engines are known to be dead.
    wait_until(lambda: send_chat(gateway, "another", "sound").status == 200, "sound work")
    assert gateway.metric("laburnumreel_held_parts") == 1


def test_operator_lets_a_held_part_go_at_every_gateway(deployment, capsys, monkeypatch):
    """A part stayed held although the engines were mended."""
    monkeypatch.setenv("TEST_PEPPER", PEPPER)
    gateways = start_deployment(deployment, 2)
    send_until_held(deployment, gateways)

    def run_command(*arguments):
        options = ["--settings", str(gateways[0].settings_path), "--json"]
        capsys.readouterr()
        assert run_command_group(cli, ["part", *arguments, *options]) == 0
        return json.loads(capsys.readouterr().out)

    wait_until(lambda: len(run_command("list")["parts"]) == 2, "both gateways to hold the part")
    rows = run_command("list")["parts"]
    assert len({row["part"] for row in rows}) == 1
    assert max(row["requests"] for row in rows if row["requests"] != "-") >= 4
    for name, (process, _) in deployment.engines.items():
        if process.exit_code is None:
            deployment.engine_faults(name, crash_on="")
    assert run_command("release", rows[0]["part"])["released"] >= 1
    assert run_command("list")["parts"] == []
    for gateway in gateways:
        send = functools.partial(send_chat, gateway, "deadly", "x")
        wait_until(lambda: send().status == 200, "an answer")  # noqa: B023
    assert run_command("list")["parts"] == []


def test_deadly_part_is_held_at_every_gateway(deployment):
    """A part that crashed engines through one gateway crashed more through its peers."""
    gateways = start_deployment(deployment, 2)
    send_until_held(deployment, gateways)
    wait_until(
        lambda: all(each.metric("laburnumreel_held_parts") == 1 for each in gateways),
        "both gateways to hold the part",
    )
    crashed = find_crashed(deployment)
    replies = [send_chat(each, "deadly", "once more") for each in gateways]
    assert [reply.kind for reply in replies] == ["quarantined"] * 2
    assert find_crashed(deployment) == crashed and len(crashed) <= 5
    gateways[0].process.end()
    restarted = deployment.restart_gateway(gateways[0])
    reply = send_chat(restarted, "deadly", "after a start")
    assert (reply.kind, reply.run_state) == ("quarantined", "not-run")
    assert find_crashed(deployment) == crashed
