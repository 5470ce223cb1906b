"""Tests of how many hedged sends a request makes, and which of two answers is used."""

from types import SimpleNamespace

import pytest
from test_failover import JobDouble, make_failover, wait_while_silent
from test_hedged_sends import ScriptedServers, ask, never_answer

from laburnumreel.relay._hedged_send import HedgedSend


@pytest.mark.processes
@pytest.mark.parametrize("path", ["/talk/x", "/safe/x"])
def test_sends_to_silent_servers_stay_within_the_route_limit(world, path):
    service = "quotes" if path == "/talk/x" else "orders"
    ScriptedServers(world, service, *[never_answer] * 12, attempts=2)
    relay = world.start_relay()
    assert ask(relay, path)[0] in (502, 504)
    # The servers also count the host's own calls to engines, so the log is counted instead.
    assert len(relay.find_log_lines("request_repeated")) == 1


def test_first_answer_is_used_if_both_arrive_at_once():
    request = JobDouble()
    failover = make_failover(request, make_hedge=request.make_hedge)
    assert wait_while_silent(failover, has_unread=True, bytes_came=True) is not None
    assert len(request.hedges) == 1
    request.hedge_outcome = "answers"
    assert wait_while_silent(failover, has_unread=True) is not None
    failover.on_progress()
    assert failover.take_reservation() is None and request.hedges[0].ended


def test_slot_of_a_canceled_hedge_is_released():
    released, closed = [], []
    job = SimpleNamespace(release_slots=released.append)
    attempt = SimpleNamespace(close=lambda: closed.append(True))
    assignment = object()
    HedgedSend(job, assignment, attempt).cancel()
    assert released == [assignment] and closed == [True]


def test_hedge_counts_as_a_send_and_excludes_its_server():
    job = SimpleNamespace(sends=1, excluded=frozenset({"b1"}))
    assignment = SimpleNamespace(runner=SimpleNamespace(name="b2"))
    assert HedgedSend(job, assignment, SimpleNamespace(send_hedged=lambda: None)).start()
    assert (job.sends, job.excluded) == (2, {"b1", "b2"})
