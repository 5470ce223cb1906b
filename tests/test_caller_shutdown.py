"""Tests of requests while a process is stopped or receives SIGHUP."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from platform_config import config
from platform_world import wait_until
from relay_caller import BackgroundRequest

from laburnumreel_standins._text import output_text
from laburnumreel_standins.caller import MODEL, Stream, bearer_headers, call

pytestmark = pytest.mark.processes

LONG_ROUTE = {
    "Name": "long",
    "Prefix": "/long/",
    "RouteType": "idempotent",
    "Service": "orders",
    "TimeoutMs": 20_000,
}
LONG_STREAM_ROUTE = {
    "Name": "long-ask",
    "Prefix": "/long-ask/",
    "RouteType": "streaming",
    "Service": "quotes",
    "TimeoutMs": 20_000,
}


def hang(handler):
    """Send no answer for longer than a test runs."""
    time.sleep(12)


class TestEndOfGracePeriod:
    def test_queued_requests_are_refused(self, world):
        """Queued requests get status 503, and requests that a server has get status 504."""
        world.extra_settings = "[stop]\ngrace_s = 4\n"
        world.store.put("op", "config", config(2, [LONG_ROUTE]))
        worker = world.worker("w1", default_answer=hang, Slots=1)
        relay = world.start_relay()
        requests = [BackgroundRequest(relay, "/long/x", Deadline_Ms="20000") for _ in range(6)]
        wait_until(lambda: worker.seen, "the worker to have the first request")
        relay.process.send_signal(signal.SIGTERM)
        outcomes = sorted((request.result() for request in requests), key=str)
        assert outcomes == [*[503] * (6 - len(worker.seen)), *[504] * len(worker.seen)]
        assert len(worker.seen) < 6
        assert relay.process.wait(10) == 0
        assert not [line for line in relay.find_log_lines("caller_cut") if line["requests"]]

    def test_request_at_a_back_end_times_out_with_unknown_state(self, deployment):
        deployment.configure(profile__chat={"deadline_s": 30.0, "silence_s": 60.0})
        engine = deployment.add_engine()
        gateway = deployment.start_gateway(stop="grace_s = 1\n")
        deployment.engines[engine][0].send_signal(signal.SIGSTOP)
        body = {"model": MODEL, "prompt": "x", "max_tokens": 3}
        with ThreadPoolExecutor(1) as executor:
            answer = executor.submit(
                call, gateway.caller_address, "POST", "/v1/completions", body, bearer_headers()
            )
            wait_until(
                lambda: gateway.metric("laburnumreel_running_requests") == 1, "the request to run"
            )
            gateway.process.send_signal(signal.SIGTERM)
            reply = answer.result()
        assert (reply.status, reply.kind, reply.run_state) == (504, "back_end_timeout", "unknown")
        assert gateway.process.wait(20) == 0

    def test_queued_streams_are_refused(self, world):
        world.extra_settings = "[stop]\ngrace_s = 4\n"
        world.store.put("op", "config", config(2, [LONG_STREAM_ROUTE]))
        worker = world.worker("e1", "quotes", default_answer=hang, Slots=1, Stage="decode")
        relay = world.start_relay()
        requests = [BackgroundRequest(relay, "/long-ask/x", Deadline_Ms="20000") for _ in range(6)]
        wait_until(lambda: worker.requests("POST"), "the engine to have the first request")
        relay.process.send_signal(signal.SIGTERM)
        assert all(request.result() in (503, 504) for request in requests)
        assert relay.process.wait(10) == 0


class TestSighup:
    """SIGHUP, which asks for a reload of the settings, ends no process and no request."""

    def test_starting_relay_keeps_running(self, world):
        relay = world.launch_relay("relay-1")
        maps = Path(f"/proc/{relay.process.pid}/maps")
        # The first library that is imported at the start.
        wait_until(lambda: "_socket.cpython" in maps.read_text(), "the imports to start")
        relay.process.send_signal(signal.SIGHUP)
        wait_until(relay.is_ready, "the relay to be ready")

    def test_gateway_keeps_serving(self, deployment):
        deployment.configure()
        deployment.add_engine("--stream-tokens-per-s", "30")
        gateway = deployment.start_gateway()
        stream = Stream(gateway.caller_address, {"prompt": "long", "max_tokens": 30})
        read = stream.next_text()
        gateway.process.send_signal(signal.SIGHUP)
        text, done, error = stream.finish()
        assert (read + text, done, error) == (output_text("long", 30), True, None)
        assert call(gateway.admin_address, "GET", "/readyz").status == 200
