"""Tests of the task that aborts running requests."""

from laburnumreel.core import ManualClock
from laburnumreel.serving import RequestRegistry, RunningRequest
from laburnumreel.serving._registry import _WatchRequest


def raise_error():
    raise ValueError("a closed socket")


def test_failed_check_of_a_request_does_not_keep_others_from_their_deadline():
    clock = ManualClock()
    registry = RequestRegistry(clock, lambda now: False)
    odd = RunningRequest("odd", None, 10.0, raise_error)
    others = [RunningRequest(f"r{number}", None, 1.0, lambda: False) for number in range(8)]
    for running in (*others[:4], odd, *others[4:]):
        registry.handle(_WatchRequest(running))
    clock.advance(1.0)
    registry.tick()
    assert all(running.abort_reason is not None for running in others)
    assert odd.abort_reason is None
    clock.advance(9.0)
    registry.tick()
    assert odd.abort_reason is not None
