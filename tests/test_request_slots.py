"""Tests of the slots for the concurrent requests of a relay."""

import random
import threading
from collections import Counter

import pytest
from memory_load import SOUND_BODY, configure, send_large
from platform_world import wait_until
from relay_caller import BackgroundRequest, Caller

from laburnumreel.core import ManualClock
from laburnumreel.relay._request_slots import RequestSlots

# The default number of requests that a relay serves at once.
THREADS = 48


def take_all(slots, service, services):
    """Take slots for a service until one is refused, and return how many were taken."""
    return next(
        count for count in range(THREADS + 1) if slots.acquire(service, services) is not None
    )


def test_service_without_competition_uses_all_slots():
    assert take_all(RequestSlots(THREADS, ManualClock(), random.Random(1)), "only", 1) == THREADS


@pytest.mark.parametrize("faulty", [1, 2, 5])
def test_service_gets_its_equal_share_as_requests_of_others_end(faulty):
    slots, services = RequestSlots(THREADS, ManualClock(), random.Random(1)), faulty + 1
    used = Counter(
        {f"f{number}": take_all(slots, f"f{number}", services) for number in range(faulty)}
    )
    assert used["f0"] == THREADS - THREADS // 8
    sound = take_all(slots, "sound", services)
    while sound < THREADS // services:
        largest = used.most_common(1)[0][0]
        slots.release(largest)
        used[largest] -= 1
        assert slots.acquire(largest, services) is not None
        sound += take_all(slots, "sound", services)


@pytest.mark.processes
def test_service_is_served_while_the_servers_of_another_hang(world):
    """Guards against requests of one service that take all threads of a host."""
    may_end = threading.Event()

    def hang(handler):
        handler.close_connection = True
        may_end.wait(20)

    configure(world)
    hung = world.worker("w1", default_answer=hang, Slots=64)
    world.worker("good", "sound", send_large(SOUND_BODY), Slots=64)
    relay = world.start_relay()
    requests = []
    for number in range(1, THREADS + 1):
        requests.append(BackgroundRequest(relay, "/long/x", Deadline_Ms="15000"))
        # The stand-in accepts few connections at once.
        wait_until(
            lambda sent=number: len(hung.requests("POST"))
            + sum(each.outcome is not None for each in requests)
            == sent,
            "it was sent or refused",
        )
    try:
        assert Caller(relay).ask("/sound/x", Deadline_Ms="15000")[::2] == (200, SOUND_BODY)
    finally:
        may_end.set()
    refused = [each for each in requests if each.result() == 503]
    assert [each.error_kind for each in refused] == ["threads_exhausted"] * (THREADS // 8)
