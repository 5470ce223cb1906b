"""Tests of the failover from a silent backend server, without sockets or threads."""

import itertools
from concurrent.futures import Future
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from laburnumreel.core import ManualClock
from laburnumreel.relay._assignments import Assignment
from laburnumreel.relay._back_ends import ListedBackEnd
from laburnumreel.relay._failover import Failover
from laburnumreel.relay._job import MIN_TIME_S
from laburnumreel.relay._work import Work
from laburnumreel.state import ErrorKind, Refusal
from laburnumreel.transport import BackEndFailureError

LISTED = ListedBackEnd("b1", "orders", ("10.0.0.1", 80), "z", 4)
OTHER = LISTED._replace(name="b2", address=("10.0.0.2", 80))
REQUEST_TIME_S = 5.0


class JobDouble:
    """Test double of the job, the dispatcher and the pool; counts what is reserved."""

    def __init__(self):
        self.clock = ManualClock()
        self.has_permit = self.is_reachable = self.can_connect = True
        # What the dispatcher answers at once: a slot, a refusal, or nothing yet.
        self.outcome = "place"
        self.pending = []
        self.places = self.connections = self.orders = self.probes = 0
        self.unused_permits = 0
        # Whether hedged sends can be started, and the outcome that polling them returns.
        self.can_start, self.hedge_outcome = True, "awaited"
        self.hedges = []
        # Addresses of the servers that the request was sent to.
        self.contacted_addresses = set()
        self.running = SimpleNamespace(abort_reason=None)
        self.request = SimpleNamespace(request_id="r")
        self.deps = SimpleNamespace(clock=self.clock, dispatcher=self, pool=self)

    @property
    def remaining_s(self):
        return REQUEST_TIME_S - self.clock.now()

    def order(self, silent_s):
        return object()

    def request_permit(self, assignment):
        if self.has_permit:
            self.unused_permits += 1
        return self.has_permit

    def place(self, order):
        self.orders += 1
        future = Future()
        self.pending.append(future)
        if self.outcome != "wait":
            self.answer()
        return future

    def answer(self):
        for future in self.pending:
            if self.outcome == "refusal":
                future.set_result(Refusal(ErrorKind.NO_BACK_END))
            else:
                self.places += 1
                future.set_result(Assignment(OTHER, Work(requests=1)))
        self.pending = []

    def withdraw(self, future):
        self.pending = []

    def release_slots(self, assignment):
        if isinstance(assignment, Assignment):
            self.places -= 1

    def release_permits(self, keep=0):
        self.unused_permits = min(self.unused_permits, keep)

    def make_hedge(self, reservation):
        return HedgeDouble(self, reservation)

    def await_bytes(self, exchanges, timeout_s):
        assert len(list(exchanges)) >= 2
        self.clock.advance(timeout_s)

    def open(self, address, fresh=False):
        if not self.can_connect:
            raise BackEndFailureError("connect_failed", "no", sent=False)
        self.connections += 1
        return SimpleNamespace(return_unused=self.return_unused)

    def return_unused(self):
        self.connections -= 1

    def probe(self, address):
        self.probes += 1
        probe = Future()
        probe.set_result("taken" if self.is_reachable else "refused")
        return probe

    def record_unreachable(self, name):
        """Record that a backend server is unreachable."""


class HedgeDouble:
    """Test double of a hedged send; canceling it releases its slot and connection."""

    def __init__(self, request, reservation):
        self._request, (self.assignment, self.exchange, *_) = request, reservation
        self.outcome = None
        self.ended = False
        request.hedges.append(self)

    def start(self):
        self._request.unused_permits -= 1
        if not self._request.can_start:
            self.cancel()
        return self._request.can_start

    def poll(self):
        assert not self.ended
        return self.outcome or self._request.hedge_outcome

    def cancel(self):
        assert not self.ended, "the hedged send was canceled twice"
        self.ended = True
        self._request.places -= 1
        self._request.connections -= 1


def make_failover(request, begun=False, **options):
    return Failover(
        request,
        LISTED,
        request.order,
        request.request_permit,
        lambda: begun,
        await_bytes=request.await_bytes,
        **options,
    )


def wait_while_silent(failover, has_unread=False, bytes_came=False):
    return failover.wait(1.0, SimpleNamespace(has_unread=has_unread), bytes_came)


class TestFailover:
    """A request leaves a silent server once a slot, a permit and a connection are reserved."""

    def test_server_is_left_once_everything_is_reserved(self):
        request = JobDouble()
        failover = make_failover(request)
        assert wait_while_silent(failover) is None
        reservation = failover.take_reservation()
        assert reservation.assignment.runner is OTHER
        assert (request.places, request.connections) == (1, 1)

    @pytest.mark.parametrize("denied", ["permit", "place", "connection"])
    def test_server_is_awaited_until_the_deadline_if_something_is_denied(self, denied):
        request = JobDouble()
        request.has_permit = denied != "permit"
        request.can_connect = denied != "connection"
        request.outcome = "refusal" if denied == "place" else "place"
        failover = make_failover(request, begun=True)
        while (more_s := wait_while_silent(failover)) is not None:
            assert more_s > 0
            request.clock.advance(more_s)
        assert request.remaining_s < 0.1
        assert failover.take_reservation() is None
        assert (request.places, request.connections) == (0, 0)
        # Denied requests for a slot are repeated only a few times a second.
        assert request.orders <= 10

    def test_server_that_resumes_meanwhile_is_not_left(self):
        request = JobDouble()
        failover = make_failover(request)
        assert wait_while_silent(failover, has_unread=True) is not None
        assert failover.take_reservation() is None
        assert (request.places, request.connections) == (0, 0)

    def test_slot_assigned_after_progress_is_released(self):
        request = JobDouble()
        request.outcome = "wait"
        failover = make_failover(request)
        assert wait_while_silent(failover) is not None
        late = request.pending[0]
        failover.on_progress()
        request.places += 1
        late.set_result(Assignment(OTHER, Work(requests=1)))
        assert (request.places, request.unused_permits) == (0, 0)

    def test_server_that_refuses_connections_is_given_up_before_the_answer_begins(self):
        request = JobDouble()
        request.has_permit = request.is_reachable = False
        assert wait_while_silent(make_failover(request)) is None
        assert wait_while_silent(make_failover(request, begun=True)) is not None
        assert request.probes == 1

    def test_server_that_ran_nothing_is_given_up_after_the_maximum_silence(self):
        request = JobDouble()
        request.has_permit = False
        failover = make_failover(request, max_silent_s=1.6)
        assert wait_while_silent(failover) is not None
        request.clock.advance(0.7)
        assert wait_while_silent(failover) is None


class TestHedgedSends:
    """The silent server is awaited together with the hedged send, and the first answer wins."""

    def test_silent_server_is_awaited_while_the_hedge_is_silent(self):
        request = JobDouble()
        failover = make_failover(request, begun=True, make_hedge=request.make_hedge)
        assert wait_while_silent(failover) is None
        assert request.remaining_s < 0.1
        assert len(request.hedges) > 1
        assert request.hedges[1:] and failover.take_reservation().hedge is request.hedges[0]
        assert all(hedge.ended for hedge in request.hedges[1:])
        assert (request.places, request.connections, request.unused_permits) == (1, 1, 0)

    def test_hedge_is_canceled_when_the_silent_server_resumes(self):
        request = JobDouble()
        failover = make_failover(request, make_hedge=request.make_hedge)
        exchange = SimpleNamespace(has_unread=False)
        request.await_bytes = lambda exchanges, timeout_s: setattr(exchange, "has_unread", True)
        failover._await_bytes = request.await_bytes
        assert failover.wait(1.0, exchange, False) is not None
        failover.on_progress()
        assert failover.take_reservation() is None
        assert [hedge.ended for hedge in request.hedges] == [True]
        assert (request.places, request.connections, request.unused_permits) == (0, 0, 0)

    @pytest.mark.parametrize("outcome", ["useless", "failed"])
    @pytest.mark.parametrize("begun", [False, True])
    def test_useless_hedge_does_not_end_the_wait(self, outcome, begun):
        request = JobDouble()
        failover = make_failover(request, begun, make_hedge=request.make_hedge)
        request.hedge_outcome = outcome

        def await_bytes(exchanges, timeout_s):
            request.outcome = "refusal"
            request.clock.advance(timeout_s)

        failover._await_bytes = await_bytes
        more_s = wait_while_silent(failover)
        # If the caller has received nothing, the failure is kept in case no better answer arrives.
        assert more_s is not None and len(request.hedges) == 1
        assert request.hedges[0].ended == (begun or outcome == "useless")
        while wait_while_silent(failover) is not None:
            request.clock.advance(0.05)
        reservation = failover.take_reservation()
        if begun or outcome == "useless":
            assert reservation is None and request.remaining_s < 0.1
        else:
            assert reservation.hedge is request.hedges[0] and request.remaining_s > 3.0

    def test_third_server_is_asked_after_the_same_silence(self):
        request = JobDouble()
        failover = make_failover(request, begun=True, make_hedge=request.make_hedge)
        sent_at = []
        make_hedge = request.make_hedge

        def sends(reservation):
            sent_at.append(request.clock.now())
            return make_hedge(reservation)

        failover._make_hedge = sends
        wait_while_silent(failover)
        gaps = [later - earlier for earlier, later in itertools.pairwise(sent_at)]
        assert gaps and all(1.0 <= gap < 1.2 for gap in gaps)

    def test_silent_server_is_awaited_after_a_failed_hedge(self):
        request = JobDouble()
        failover = make_failover(request, make_hedge=request.make_hedge)

        def await_bytes(exchanges, timeout_s):
            request.hedges[0].outcome = "failed"
            request.clock.advance(timeout_s)

        failover._await_bytes = await_bytes
        more_s = wait_while_silent(failover)
        assert more_s is not None and not request.hedges[0].ended
        request.clock.advance(more_s)
        assert wait_while_silent(failover) is None
        assert len(request.hedges) > 1 and request.remaining_s < 0.1

    def test_failed_write_delays_the_next_hedge_only_briefly(self):
        request = JobDouble()
        request.can_start = False
        failover = make_failover(request, begun=True, make_hedge=request.make_hedge)
        assert wait_while_silent(failover) <= 0.1
        request.clock.advance(0.1)
        wait_while_silent(failover)
        assert len(request.hedges) == 2

    def test_minimum_time_to_answer_remains_after_the_wait(self):
        """A failure answer that was kept can still be passed on before the request's deadline."""
        request = JobDouble()
        failover = make_failover(request, begun=True, make_hedge=request.make_hedge)
        request.clock.advance(REQUEST_TIME_S - MIN_TIME_S - 0.01)
        assert wait_while_silent(failover) is None
        assert request.remaining_s >= MIN_TIME_S - 0.002

    @pytest.mark.parametrize("silent_s", [0.0, 0.5, 2.0])
    def test_begun_stream_leaves_its_server_when_the_hedge_has_an_event(self, silent_s):
        """Neither sooner, as the hedge may still fail, nor later: the platform allows 400 ms."""
        request = JobDouble()
        failover = make_failover(request, begun=True, make_hedge=request.make_hedge)

        def answer_after(exchanges, timeout_s):
            request.clock.advance(min(timeout_s, 0.05))
            if request.clock.now() >= silent_s:
                request.hedge_outcome = "answers"

        failover._await_bytes = answer_after
        assert wait_while_silent(failover) is None
        assert silent_s <= request.clock.now() < silent_s + 0.2
        assert failover.take_reservation().hedge is request.hedges[0]

    def test_failed_hedge_is_kept_for_the_next_search(self):
        """The first server breaks off while a third one is awaited, which then breaks off too."""
        request = JobDouble()
        failover = make_failover(request, make_hedge=request.make_hedge)
        request.hedge_outcome = "failed"
        request.await_bytes = lambda exchanges, timeout_s: None
        failover._await_bytes = request.await_bytes
        assert wait_while_silent(failover) is not None
        request.hedge_outcome = "awaited"
        request.clock.advance(1.0)
        failover._await_bytes = lambda exchanges, timeout_s: request.clock.advance(9.0)
        assert wait_while_silent(failover) is None
        failed_hedge, third = request.hedges
        reservation = failover.take_reservation()
        assert (reservation.hedge, reservation.failed_hedge) == (third, failed_hedge)
        third.cancel()
        following = make_failover(
            request, make_hedge=request.make_hedge, failed_hedge=reservation.failed_hedge
        )
        assert following.take_reservation().hedge is failed_hedge

    def test_answer_of_the_hedge_is_used(self):
        request = JobDouble()
        request.hedge_outcome = "answers"
        failover = make_failover(request, make_hedge=request.make_hedge)
        assert wait_while_silent(failover) is None
        assert failover.take_reservation().hedge is request.hedges[0]
        assert not request.hedges[0].ended

    def test_dripping_server_does_not_delay_the_answer_of_the_hedge(self):
        request = JobDouble()
        failover = make_failover(request, make_hedge=request.make_hedge)
        assert wait_while_silent(failover, has_unread=True, bytes_came=True) is not None
        request.hedge_outcome = "answers"
        assert wait_while_silent(failover, has_unread=True, bytes_came=True) is None
        assert failover.take_reservation().hedge is request.hedges[0]


@settings(max_examples=300)
@given(
    st.booleans(),
    st.booleans(),
    st.lists(
        st.sampled_from(
            [
                "silent",
                "dripped",
                "speaking",
                "spoke",
                "answer",
                "permit",
                "refuse",
                "wait",
                "place",
            ]
            + [
                "connects",
                "reachable",
                "abort",
                "begins",
                "awaited",
                "answers",
                "failed",
                "useless",
            ]
        ),
        max_size=30,
    ),
)
def test_every_reservation_is_used_once_or_released(begun, can_hedge, events):
    request = JobDouble()
    options = {"make_hedge": request.make_hedge} if can_hedge else {}
    failover = make_failover(request, begun, **options)
    for event in events:
        match event:
            case "silent" | "dripped" | "speaking":
                more_s = wait_while_silent(failover, event != "silent", event == "dripped")
                request.clock.advance(more_s or 0.0)
            case "spoke":
                failover.on_progress()
            case "answer":
                request.answer()
            case "permit":
                request.has_permit = not request.has_permit
            case "connects":
                request.can_connect = not request.can_connect
            case "reachable":
                request.is_reachable = not request.is_reachable
            case "begins":
                request.can_start = not request.can_start
            case "abort":
                request.running.abort_reason = Refusal(ErrorKind.CALLER_GONE)
            case "awaited" | "answers" | "failed" | "useless":
                request.hedge_outcome = event
            case _:
                request.outcome = {"refuse": "refusal"}.get(event, event)
    failover.cancel_search()
    reservation = failover.take_reservation()
    request.outcome = "place"
    request.answer()
    # A permit belongs to a slot: none is kept while a slot is only awaited, and a send uses it up.
    unsent = reservation is not None and reservation.hedge is None
    kept_hedges = (
        []
        if reservation is None
        else [each for each in (reservation.hedge, reservation.failed_hedge) if each is not None]
    )
    places = len(kept_hedges) + (1 if unsent else 0)
    assert (request.places, request.connections) == (places, places)
    assert request.unused_permits == (1 if unsent else 0)
    in_flight = [hedge for hedge in request.hedges if not hedge.ended]
    assert {id(each) for each in in_flight} == {id(each) for each in kept_hedges}
