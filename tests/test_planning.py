"""Tests of the coordinator's role orders with a gateway and engines as processes."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from coordinators import CoordinatorProcess

from laburnumreel_standins.caller import Stream
from laburnumreel_standins.processes import wait_until

pytestmark = [pytest.mark.processes, pytest.mark.timeout(200)]

# Longer than the role planner's warm-up, so that a role change under steady load would show.
STEADY_LOAD_S = 20.0
SPEEDS = ("--prefill-tokens-per-s", "2000", "--change-s", "1")


class LoadGenerator:
    """Sends streaming requests at a steady rate and records how each started stream ended."""

    def __init__(self, address, per_s, prompt_tokens, output_tokens):
        self._address, self._interval_s = address, 1 / per_s
        self._prompt = "x" * 4 * prompt_tokens
        self._output_tokens = output_tokens
        self._stop = threading.Event()
        self.results = []

    def run(self):
        with ThreadPoolExecutor(128) as executor:
            number = 0
            while not self._stop.wait(self._interval_s):
                executor.submit(self._send_request, number)
                number += 1

    def stop(self):
        self._stop.set()

    def _send_request(self, number):
        # The number is at the start, so that no two prompts share a cached prefix.
        body = {"prompt": f"{id(self)} {number} {self._prompt}", "max_tokens": self._output_tokens}
        stream = Stream(self._address, body)
        if stream.answer.status == 200:
            self.results.append(stream.finish()[1:])


def role_orders(deployment, names):
    orders = [order for name in names for order in deployment.engine_state(name)["orders"]]
    return [order for order in orders if order["action"] == "role"]


def test_shift_to_prompts_changes_a_role_and_interrupts_no_stream(deployment):
    """Guards against a role change under steady load, no change after a shift to prompts, and
    changes that interrupt streams.
    """
    names = [deployment.add_engine(*SPEEDS) for _ in range(3)]
    for name in names:
        deployment.engine_faults(name, lag_s=1.0)
    deployment.configure(
        service__models={"workers": 3, "zones": ["zone-a"], "change_s": 1.0, "spare_zone": False}
    )
    gateway = deployment.start_gateway()
    CoordinatorProcess(deployment, "node-2").wait_for_lease("orders")
    long_streams = LoadGenerator(gateway.caller_address, 2, 20, 300)
    prompts = LoadGenerator(gateway.caller_address, 10, 1000, 2)
    with ThreadPoolExecutor(2) as executor:
        running = [executor.submit(long_streams.run)]
        try:
            time.sleep(STEADY_LOAD_S)
            assert not any(deployment.engine_state(name)["orders"] for name in names)
            running.append(executor.submit(prompts.run))
            wait_until(
                lambda: any(deployment.engine_state(n)["role"] == "prefill" for n in names),
                "an engine to take the prefill role",
                90,
            )
        finally:
            long_streams.stop()
            prompts.stop()
        for future in running:
            future.result()
    assert len(long_streams.results) > 2 * STEADY_LOAD_S / 2
    assert set(long_streams.results + prompts.results) == {(True, None)}
    assert all(deployment.engine_state(name)["interrupted"] == 0 for name in names)
    assert {order["arguments"]["role"] for order in role_orders(deployment, names)} == {"prefill"}
