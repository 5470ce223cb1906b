"""Tests of withdrawn keys, quarantine, leaving hosts and lost answers with several gateways."""

import signal
import time

import pytest

from laburnumreel.coordination._config_sync import POLLS_PER_CUT_OFF
from laburnumreel.state import key_digest
from laburnumreel.transport import PeerClient
from laburnumreel_standins._text import output_text
from laburnumreel_standins.caller import KEY, MODEL, Stream, bearer_headers, call
from laburnumreel_standins.deployment import OTHER_KEY, PEPPER
from laburnumreel_standins.processes import wait_until

pytestmark = pytest.mark.processes
# Long enough that a busy machine doesn't cut off a gateway that calls its peer each 0.2 s.
CUT_OFF_S = 2.0
CUT_OFF_SETTING = f"cut_off_s = {CUT_OFF_S}\n"


def send_completion(gateway, prompt="x", key=KEY):
    body = {"model": MODEL, "prompt": prompt, "max_tokens": 3}
    return call(gateway.caller_address, "POST", "/v1/completions", body, bearer_headers(key))


def start_stream(gateway, prompt="long", tokens=300):
    stream = Stream(gateway.caller_address, {"prompt": prompt, "max_tokens": tokens})
    return stream, stream.next_text()


def count_failed_reads(gateway):
    return gateway.metric("laburnumreel_store_read_failures_total")


def test_gateway_that_cannot_hear_of_withdrawals_stops(deployment):
    """Guards against a cut-off gateway that keeps accepting keys withdrawn in the meantime."""
    deployment.configure()
    deployment.add_engine("--stream-tokens-per-s", "20")
    gateways = deployment.start_gateways(2, peers=CUT_OFF_SETTING)
    # The first gateway may not have reached the second yet; being ready must suffice.
    stream, _ = start_stream(gateways[0])
    deployment.platform_faults(down=True)
    down_at = time.monotonic()
    wait_until(
        lambda: count_failed_reads(gateways[0]) > POLLS_PER_CUT_OFF, "failed reads of the store"
    )
    wait_until(lambda: time.monotonic() > down_at + CUT_OFF_S, "its last read to be too old")
    # A majority of the gateways suffices without the store.
    assert send_completion(gateways[0]).status == 200
    started = time.monotonic()
    gateways[1].process.send_signal(signal.SIGSTOP)
    reply = wait_until(lambda: (r := send_completion(gateways[0])).status != 200 and r, "refusals")
    assert (reply.status, reply.kind, reply.run_state) == (503, "keys_unverifiable", "not-run")
    assert stream.finish()[1:] == (False, "keys_unverifiable")
    assert '"name": "keys_unverifiable"' in gateways[0].process.output
    assert time.monotonic() - started < 7.5
    deployment.platform_faults(down=False)
    wait_until(lambda: send_completion(gateways[0]).status == 200, "keys to be verifiable again")


def test_paused_gateway_admits_no_withdrawn_key(deployment):
    """Guards against a gateway that relies on outdated keys after a pause."""
    deployment.configure(service__models={"customers": ["*"]})
    deployment.add_engine()
    gateway = deployment.start_gateways(2, peers=CUT_OFF_SETTING)[0]
    assert send_completion(gateway).status == send_completion(gateway, key=OTHER_KEY).status == 200
    gateway.process.send_signal(signal.SIGSTOP)
    deployment.withdraw_key(KEY)
    time.sleep(1.5 * CUT_OFF_S)
    gateway.process.send_signal(signal.SIGCONT)
    for _ in range(20):
        reply = send_completion(gateway)
        assert reply.kind in ("keys_unverifiable", "withdrawn_key"), reply
    wait_until(
        lambda: send_completion(gateway, key=OTHER_KEY).status == 200, "the other key to work"
    )


def test_withdrawal_reaches_streams_without_the_store(deployment):
    """Guards against a withdrawal that is delayed by a store outage."""
    deployment.configure()
    deployment.add_engine("--stream-tokens-per-s", "20")
    gateways = deployment.start_gateways(2)
    stream, _ = start_stream(gateways[1])
    deployment.platform_faults(down=True)
    digest = key_digest(KEY, PEPPER.encode())
    assert PeerClient().withdraw_key(gateways[0].addresses["peers"], digest).is_ok()
    started = time.monotonic()
    assert stream.finish()[1:] == (False, "withdrawn_key")
    assert time.monotonic() - started < 5
    assert send_completion(gateways[0]).kind == "withdrawn_key"


def test_withdrawal_outlives_a_stop_of_all_gateways(deployment):
    """Guards against a confirmed withdrawal that only processes hold which are stopped together."""
    deployment.configure()
    deployment.add_engine()
    gateways = deployment.start_gateways(2)
    deployment.platform_faults(down=True)
    digest = key_digest(KEY, PEPPER.encode())
    for gateway in gateways:
        assert PeerClient().withdraw_key(gateway.addresses["peers"], digest).is_ok()
    for gateway in gateways:
        gateway.process.send_signal(signal.SIGTERM)
    # Longer than the notice, so that the gateways have nothing else to wait for.
    time.sleep(1.5)
    deployment.platform_faults(down=False)
    assert [gateway.process.wait() for gateway in gateways] == [0, 0]
    restarted = deployment.restart_gateway(gateways[0])
    deployment.restart_gateway(gateways[1])
    assert send_completion(restarted).kind == "withdrawn_key"


def test_stop_without_the_store_names_the_withdrawals_that_may_be_lost(deployment):
    """Guards against a stop that waits for the store without a limit, or loses keys silently."""
    deployment.configure()
    gateway = deployment.start_gateway(stop="grace_s = 1\n")
    deployment.platform_faults(down=True)
    digest = key_digest(KEY, PEPPER.encode())
    assert PeerClient().withdraw_key(gateway.addresses["peers"], digest).is_ok()
    gateway.process.send_signal(signal.SIGTERM)
    assert gateway.process.wait() == 0
    line = next(
        line for line in gateway.process.output.splitlines() if "withdrawals_not_stored" in line
    )
    assert digest in line


def count_answered_exchanges(gateway):
    return gateway.metric("laburnumreel_exchanges_answered_total")


def test_quarantine_reaches_the_peers(deployment):
    """Guards against a request that crashes engines again through another gateway."""
    deployment.configure()
    for _ in range(4):
        deployment.engine_faults(deployment.add_engine(), crash_on="poison")
    gateways = deployment.start_gateways(2)

    def crashed():
        return [
            each
            for each, (process, _) in deployment.engines.items()
            if process.exit_code is not None
        ]

    assert send_completion(gateways[0], "poison").kind == "quarantined"
    # The kernel closes the connections of a process before its parent learns that it has ended.
    wait_until(lambda: len(crashed()) == 2, "two engines to have crashed")
    # An update takes a round of the exchange; a faster request may still crash an engine. The first
    # call counted from now on may already be in flight; the second is handled before the third.
    before = count_answered_exchanges(gateways[1])
    wait_until(
        lambda: count_answered_exchanges(gateways[1]) >= before + 3, "the update to be handled"
    )
    assert send_completion(gateways[1], "poison").kind == "quarantined"
    time.sleep(0.2)
    assert len(crashed()) == 2


def count_host_list_reads(deployment):
    state = call(deployment.platform_address, "GET", "/standin/state").json
    return state["calls"].get("GET /hosts", 0)


def test_streams_of_a_reclaimed_host_resume_elsewhere(deployment):
    """Guards against an availability zone being reclaimed that gets new work or cuts streams."""
    deployment.configure(profile__chat={"cheap_back_ends": "interruptible"})
    first = deployment.add_engine("--stream-tokens-per-s", "30", zone="zone-a", cheap=True)
    gateway = deployment.start_gateway()
    # Lasts ten seconds, so that it is still running when its engine is killed on a slow machine.
    stream, read = start_stream(gateway, tokens=300)
    second = deployment.add_engine("--stream-tokens-per-s", "300", zone="zone-b")
    deployment.hosts[0]["state"] = "leaving"
    deployment.set_hosts()
    # The second read certainly began after the change, so the first engine is known to be leaving.
    reads = count_host_list_reads(deployment)
    wait_until(lambda: count_host_list_reads(deployment) >= reads + 2, "the list to be read again")
    wait_until(
        lambda: send_completion(gateway).status == 200
        and len(deployment.engine_state(second)["requests"]) > 0,
        "new work to go elsewhere",
    )
    requests_before = len(deployment.engine_state(first)["requests"])
    assert [send_completion(gateway).status for _ in range(5)] == [200] * 5
    assert len(deployment.engine_state(first)["requests"]) == requests_before
    assert deployment.engine_state(first)["running"]
    deployment.engines[first][0].send_signal(signal.SIGKILL)
    text, done, error = stream.finish()
    assert (read + text, done, error) == (output_text("long", 300), True, None)
    assert gateway.metric("laburnumreel_retries_total", reason="zone_reclaimed") == 1


def test_only_idempotent_requests_are_sent_again(deployment):
    """Guards against a non-idempotent request that runs twice because its answer was lost."""
    deployment.configure()
    servers = [deployment.add_plain_server(), deployment.add_plain_server()]
    gateway = deployment.start_gateway()
    wait_until(lambda: call(gateway.caller_address, "GET", "/orders/ping").status == 200, "plain")
    for server in servers:
        server.requests.clear()
        server.dropped_requests = 1
    reply = call(gateway.caller_address, "POST", "/orders/new", b"12", bearer_headers())
    assert (reply.status, reply.kind, reply.run_state) == (502, "back_end_lost", "unknown")
    assert sum(len(server.requests) for server in servers) == 1
    reply = call(gateway.caller_address, "GET", "/orders/list", None, bearer_headers())
    attempts = sum(len(server.requests) for server in servers) - 1
    assert reply.status == 200 or attempts == 2
    assert gateway.metric("laburnumreel_retries_total", reason="idempotent_lost") == attempts - 1
