"""Tests of planned stops, which must not interrupt requests or lose usage."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from slow_threads import SlowThreads

from laburnumreel_standins._text import output_text
from laburnumreel_standins.caller import MODEL, Stream, bearer_headers, call
from laburnumreel_standins.deployment import PEPPER
from laburnumreel_standins.processes import wait_until

pytestmark = pytest.mark.processes


def send_completion(gateway, prompt="x"):
    body = {"model": MODEL, "prompt": prompt, "max_tokens": 3}
    return call(gateway.caller_address, "POST", "/v1/completions", body, bearer_headers())


def test_planned_stop_completes_a_long_stream(deployment):
    """Guards against a stop, or a second signal, that ends a running stream or loses usage."""
    deployment.configure()
    deployment.add_engine("--stream-tokens-per-s", "20")
    gateway = deployment.start_gateway()
    assert send_completion(gateway).status == 200
    stream = Stream(gateway.caller_address, {"prompt": "long", "max_tokens": 90})
    read = stream.next_text()
    gateway.process.send_signal(signal.SIGTERM)
    wait_until(lambda: call(gateway.admin_address, "GET", "/readyz").status == 503, "not ready")
    wait_until(lambda: send_completion(gateway).kind == "stopping", "refusals")
    reply = send_completion(gateway)
    assert (reply.status, reply.run_state) == (503, "not-run") and reply.headers["retry-after"]
    gateway.process.send_signal(signal.SIGTERM)
    gateway.process.send_signal(signal.SIGINT)
    text, is_done, error = stream.finish()
    assert (read + text, is_done, error) == (output_text("long", 90), True, None)
    assert gateway.process.wait() == 0
    assert deployment.count_stored_requests() >= 2


def test_hung_request_does_not_block_a_stop_forever(deployment):
    """Guards against a stop that waits for a request without a time limit."""
    deployment.configure(profile__chat={"deadline_s": 3.0, "silence_s": 60.0})
    engine = deployment.add_engine()
    gateway = deployment.start_gateway()
    deployment.engines[engine][0].send_signal(signal.SIGSTOP)
    with ThreadPoolExecutor(1) as executor:
        answer = executor.submit(send_completion, gateway)
        wait_until(lambda: gateway.metric("laburnumreel_running_requests") == 1, "it to run")
        gateway.process.send_signal(signal.SIGTERM)
        assert answer.result().kind == "back_end_timeout"
    assert gateway.process.wait(10) == 0


@pytest.mark.parametrize("end", ["deadline", "stop"])
def test_unfinished_plain_answer_does_not_look_complete(deployment, start_scripted_server, end):
    """An answer without a length was passed on as a complete one when the gateway aborted it."""

    def script(exchange):
        exchange.wfile.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        exchange.connection.settimeout(10.0)
        exchange.rfile.read(1)

    deployment.configure(profile__orders={"deadline_s": 2.0})
    start_scripted_server(script).register_with(deployment, "orders", "plain")
    gateway = deployment.start_gateway()
    with ThreadPoolExecutor(1) as executor:
        answer = executor.submit(
            call, gateway.caller_address, "GET", "/orders/1", None, bearer_headers()
        )
        wait_until(lambda: gateway.metric("laburnumreel_running_requests") == 1, "it to run")
        if end == "stop":
            gateway.process.send_signal(signal.SIGTERM)
        reply = answer.result()
    assert (reply.status, reply.kind, reply.run_state) == (504, "back_end_timeout", "unknown")


def test_request_that_was_read_is_answered_by_a_busy_process(deployment, tmp_path, monkeypatch):
    """Guards against a fixed time for the last answers."""
    deployment.configure()
    deployment.add_engine()
    threads = SlowThreads(tmp_path, monkeypatch)
    gateway = deployment.start_gateway()
    assert send_completion(gateway).status == 200
    with ThreadPoolExecutor(1) as executor:
        # The usage of the first request can't be flushed, so that the gateway does not end.
        with deployment.suspended_platform():
            assert send_completion(gateway, "y").status == 200
            gateway.process.send_signal(signal.SIGTERM)
            wait_until(lambda: send_completion(gateway).kind == "stopping", "refusals")
            time.sleep(1.0)
            threads.slow_down()
            answer = executor.submit(send_completion, gateway)
            wait_until(threads.have_request, "the request to be read")
        assert answer.result().kind == "stopping"
    assert gateway.process.wait(20) == 0


def test_rolling_replacement_cuts_no_stream(deployment):
    """Guards against failed requests while all gateways are replaced one after another."""
    deployment.configure()
    for _ in range(2):
        deployment.add_engine("--stream-tokens-per-s", "30")
    gateways = deployment.start_gateways(3)
    ready = {gateway.name: gateway for gateway in gateways}
    failures, results = [], []
    stop_at = time.monotonic() + 60

    def caller(number):
        """Call like a client of a load balancer, which uses only ready gateways."""
        while not is_done and time.monotonic() < stop_at:
            choices = [ready[name] for name in sorted(ready)]
            gateway = choices[number % len(choices)]
            prompt = f"caller {number} {len(results)}"
            stream = Stream(gateway.caller_address, {"prompt": prompt, "max_tokens": 45})
            if stream.answer.status != 200:
                failures.append((stream.answer.status, stream.answer.getheader("X-Error-Kind")))
                continue
            outcome = stream.finish()
            if outcome != (output_text(prompt, 45), True, None):
                failures.append(outcome)
            results.append(gateway.name)

    is_done = []
    with ThreadPoolExecutor(9) as executor:
        callers = [executor.submit(caller, number) for number in range(9)]
        for gateway in gateways:
            wait_until(
                lambda at=gateway: at.metric("laburnumreel_running_requests") > 0, "streams to run"
            )
            gateway.process.send_signal(signal.SIGTERM)
            wait_until(
                lambda at=gateway: call(at.admin_address, "GET", "/readyz").status == 503,
                "not ready",
            )
            del ready[gateway.name]
            assert gateway.process.wait() == 0
            ready[gateway.name] = deployment.restart_gateway(gateway)
        is_done.append(True)
        for future in callers:
            future.result()
    assert not failures and len(set(results)) == 3
    for gateway in ready.values():
        gateway.process.send_signal(signal.SIGTERM)
        assert gateway.process.wait() == 0
    assert deployment.count_stored_requests() == len(results)


@pytest.mark.parametrize("role", ["gateway", "coordinator"])
def test_stop_signals_during_the_start_are_not_missed(deployment, role):
    """Guards against a process that is killed by a stop signal or never notices it."""
    deployment.configure()
    path, addresses = deployment.write_settings("node-1")
    env = {"TEST_PEPPER": PEPPER, "TEST_CREDENTIAL": "x"}
    arguments = ("laburnumreel.daemon", "--config", str(path), role)
    for delay_s in (0.0, 0.0, 0.0, 0.005, 0.01, 0.02, 0.04):
        process = deployment.start(*arguments, env=env)
        process.wait_until_listening(
            *addresses["admin" if role == "gateway" else "coordinator_admin"]
        )
        time.sleep(delay_s)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGTERM):
            process.send_signal(number)
        assert process.wait() == 0, f"signals {delay_s:g} s after the process listened"
