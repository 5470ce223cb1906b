"""Tests of the search for another backend server while one is silent, without sockets or threads."""

import itertools
from concurrent.futures import Future
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from laburnumreel.core import ManualClock
from laburnumreel.relay._assignments import Assignment
from laburnumreel.relay._back_ends import ListedBackEnd
from laburnumreel.relay._elsewhere import Elsewhere
from laburnumreel.relay._job import MIN_TIME_S
from laburnumreel.relay._work import Work
from laburnumreel.state import ErrorKind, Refusal
from laburnumreel.transport import BackEndFailureError

LISTED = ListedBackEnd("b1", "orders", ("10.0.0.1", 80), "z", 4)
OTHER = LISTED._replace(name="b2", address=("10.0.0.2", 80))
TIME_S = 5.0


class Request:
    """A request, the dispatcher and the pool as a search sees them; counts what is held."""

    def __init__(self):
        self.clock = ManualClock()
        self.permit = self.reachable = self.connects = True
        # What the dispatcher answers at once: a place, a refusal, or nothing yet.
        self.outcome = "place"
        self.pending = []
        self.places = self.connections = self.orders = self.silent_probes = 0
        self.permits = 0
        # What second sends do when they begin, and what they have brought when they are looked at.
        self.begins, self.outcome_beside = True, "awaited"
        self.sent = []
        # Addresses of the servers that it was sent to.
        self.asked = set()
        self.running = SimpleNamespace(aborted=None)
        self.request = SimpleNamespace(request_id="r")
        self.parts = SimpleNamespace(clock=self.clock, dispatcher=self, pool=self)

    @property
    def left_s(self):
        return TIME_S - self.clock.now()

    def order(self, silent_s):
        return object()

    def may_go_to(self, assignment):
        if self.permit:
            self.permits += 1
        return self.permit

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

    def withdraw(self, request_id):
        self.pending = []

    def give_back(self, assignment):
        if isinstance(assignment, Assignment):
            self.places -= 1

    def drop_permits(self, keep=0):
        self.permits = min(self.permits, keep)

    def beside(self, held):
        return Second(self, held)

    def await_bytes(self, exchanges, timeout_s):
        assert len(list(exchanges)) >= 2
        self.clock.advance(timeout_s)

    def open(self, address, fresh=False):
        if not self.connects:
            raise BackEndFailureError("connect_failed", "no", sent=False)
        self.connections += 1
        return SimpleNamespace(put_back=self.put_back)

    def put_back(self):
        self.connections -= 1

    def probe(self, address):
        self.silent_probes += 1
        probe = Future()
        probe.set_result("taken" if self.reachable else "refused")
        return probe

    def record_unreachable(self, name):
        """Take in that a backend server is gone."""


class Second:
    """A second send, whose place and connection are given back when it ends."""

    def __init__(self, request, held):
        self._request, (self.assignment, self.exchange, *_) = request, held
        self.outcome = None
        self.ended = False
        request.sent.append(self)

    def begin(self):
        self._request.permits -= 1
        if not self._request.begins:
            self.end()
        return self._request.begins

    def look(self):
        assert not self.ended
        return self.outcome or self._request.outcome_beside

    def end(self):
        assert not self.ended, "ended twice"
        self.ended = True
        self._request.places -= 1
        self._request.connections -= 1


def search(request, begun=False, **options):
    return Elsewhere(
        request,
        LISTED,
        request.order,
        request.may_go_to,
        lambda: begun,
        await_bytes=request.await_bytes,
        **options,
    )


def silent(elsewhere, speaks=False, bytes_came=False):
    return elsewhere.wait(1.0, SimpleNamespace(has_unread=speaks), bytes_came)


class TestElsewhere:
    """The search for a place, a permit and a connection, for which a silent server is left."""

    def test_left_at_once_where_all_is_held(self):
        request = Request()
        elsewhere = search(request)
        assert silent(elsewhere) is None
        held = elsewhere.take()
        assert held.assignment.runner is OTHER
        assert (request.places, request.connections) == (1, 1)

    @pytest.mark.parametrize("denied", ["permit", "place", "connection"])
    def test_awaited_until_the_end_of_its_time_where_something_is_denied(self, denied):
        request = Request()
        request.permit = denied != "permit"
        request.connects = denied != "connection"
        request.outcome = "refusal" if denied == "place" else "place"
        elsewhere = search(request, begun=True)
        while (more_s := silent(elsewhere)) is not None:
            assert more_s > 0
            request.clock.advance(more_s)
        assert request.left_s < 0.1
        assert elsewhere.take() is None
        assert (request.places, request.connections) == (0, 0)
        # What is denied is asked for seldom: a few times a second.
        assert request.orders <= 10

    def test_server_that_speaks_meanwhile_is_not_left(self):
        request = Request()
        elsewhere = search(request)
        assert silent(elsewhere, speaks=True) is not None
        assert elsewhere.take() is None
        assert (request.places, request.connections) == (0, 0)

    def test_place_that_comes_after_the_server_spoke_is_given_back(self):
        request = Request()
        request.outcome = "wait"
        elsewhere = search(request)
        assert silent(elsewhere) is not None
        late = request.pending[0]
        elsewhere.spoke()
        request.places += 1
        late.set_result(Assignment(OTHER, Work(requests=1)))
        assert (request.places, request.permits) == (0, 0)

    def test_one_that_takes_no_connection_is_given_up_before_the_caller_has_anything(self):
        request = Request()
        request.permit = request.reachable = False
        assert silent(search(request)) is None
        assert silent(search(request, begun=True)) is not None
        assert request.silent_probes == 1

    def test_what_ran_nothing_is_given_up_after_its_bound(self):
        request = Request()
        request.permit = False
        elsewhere = search(request, max_silent_s=1.6)
        assert silent(elsewhere) is not None
        request.clock.advance(0.7)
        assert silent(elsewhere) is None


class TestBeside:
    """The silent server is awaited beside the second one, and the first answer is taken."""

    def test_silent_server_is_awaited_while_the_second_one_says_nothing(self):
        request = Request()
        elsewhere = search(request, begun=True, beside=request.beside)
        assert silent(elsewhere) is None
        assert request.left_s < 0.1
        assert len(request.sent) > 1
        assert request.sent[1:] and elsewhere.take().second is request.sent[0]
        assert all(second.ended for second in request.sent[1:])
        assert (request.places, request.connections, request.permits) == (1, 1, 0)

    def test_silent_server_that_goes_on_ends_the_second_send(self):
        request = Request()
        elsewhere = search(request, beside=request.beside)
        spoken = SimpleNamespace(has_unread=False)
        request.await_bytes = lambda exchanges, timeout_s: setattr(spoken, "has_unread", True)
        elsewhere._await_bytes = request.await_bytes
        assert elsewhere.wait(1.0, spoken, False) is not None
        elsewhere.spoke()
        assert elsewhere.take() is None
        assert [second.ended for second in request.sent] == [True]
        assert (request.places, request.connections, request.permits) == (0, 0, 0)

    @pytest.mark.parametrize("outcome", ["useless", "failed"])
    @pytest.mark.parametrize("begun", [False, True])
    def test_second_server_that_is_of_no_use_costs_nothing(self, outcome, begun):
        request = Request()
        elsewhere = search(request, begun, beside=request.beside)
        request.outcome_beside = outcome

        def await_bytes(exchanges, timeout_s):
            request.outcome = "refusal"
            request.clock.advance(timeout_s)

        elsewhere._await_bytes = await_bytes
        more_s = silent(elsewhere)
        # A request of which the caller has nothing is told of the failure, if nothing better comes.
        assert more_s is not None and len(request.sent) == 1
        assert request.sent[0].ended == (begun or outcome == "useless")
        while silent(elsewhere) is not None:
            request.clock.advance(0.05)
        held = elsewhere.take()
        if begun or outcome == "useless":
            assert held is None and request.left_s < 0.1
        else:
            assert held.second is request.sent[0] and request.left_s > 3.0

    def test_third_server_is_asked_after_the_second_one_was_as_silent(self):
        request = Request()
        elsewhere = search(request, begun=True, beside=request.beside)
        sent_at = []
        beside = request.beside

        def sends(held):
            sent_at.append(request.clock.now())
            return beside(held)

        elsewhere._beside = sends
        silent(elsewhere)
        gaps = [later - earlier for earlier, later in itertools.pairwise(sent_at)]
        assert gaps and all(1.0 <= gap < 1.2 for gap in gaps)

    def test_silent_server_is_awaited_beside_a_third_one_after_a_failure(self):
        request = Request()
        elsewhere = search(request, beside=request.beside)

        def await_bytes(exchanges, timeout_s):
            request.sent[0].outcome = "failed"
            request.clock.advance(timeout_s)

        elsewhere._await_bytes = await_bytes
        more_s = silent(elsewhere)
        assert more_s is not None and not request.sent[0].ended
        request.clock.advance(more_s)
        assert silent(elsewhere) is None
        assert len(request.sent) > 1 and request.left_s < 0.1

    def test_failed_write_does_not_put_the_next_server_off_for_long(self):
        request = Request()
        request.begins = False
        elsewhere = search(request, begun=True, beside=request.beside)
        assert silent(elsewhere) <= 0.1
        request.clock.advance(0.1)
        silent(elsewhere)
        assert len(request.sent) == 2

    def test_time_to_answer_is_left_after_the_last_look(self):
        """A failure that is held can be passed on before the request's time is over."""
        request = Request()
        elsewhere = search(request, begun=True, beside=request.beside)
        request.clock.advance(TIME_S - MIN_TIME_S - 0.01)
        assert silent(elsewhere) is None
        assert request.left_s >= MIN_TIME_S - 0.002

    def test_stream_that_has_begun_goes_on_with_the_second_send_after_the_overlap(self):
        """Guards against a stream that is at two servers for 400 ms."""
        request = Request()
        elsewhere = search(request, begun=True, beside=request.beside, max_overlap_s=0.3)
        assert silent(elsewhere) is None
        assert 0.3 <= request.clock.now() < 0.4
        assert elsewhere.take().second is request.sent[0] and len(request.sent) == 1

    def test_failure_is_kept_for_the_search_that_follows(self):
        """The first server breaks off while a third one is awaited, which breaks off too."""
        request = Request()
        elsewhere = search(request, beside=request.beside)
        request.outcome_beside = "failed"
        request.await_bytes = lambda exchanges, timeout_s: None
        elsewhere._await_bytes = request.await_bytes
        assert silent(elsewhere) is not None
        request.outcome_beside = "awaited"
        request.clock.advance(1.0)
        elsewhere._await_bytes = lambda exchanges, timeout_s: request.clock.advance(9.0)
        assert silent(elsewhere) is None
        failed, third = request.sent
        held = elsewhere.take()
        assert (held.second, held.failed) == (third, failed)
        third.end()
        following = search(request, beside=request.beside, failed=held.failed)
        assert following.take().second is failed

    def test_answer_of_the_second_server_is_taken(self):
        request = Request()
        request.outcome_beside = "answers"
        elsewhere = search(request, beside=request.beside)
        assert silent(elsewhere) is None
        assert elsewhere.take().second is request.sent[0]
        assert not request.sent[0].ended

    def test_server_that_drips_does_not_keep_the_answer_of_the_second_one_back(self):
        request = Request()
        elsewhere = search(request, beside=request.beside)
        assert silent(elsewhere, speaks=True, bytes_came=True) is not None
        request.outcome_beside = "answers"
        assert silent(elsewhere, speaks=True, bytes_came=True) is None
        assert elsewhere.take().second is request.sent[0]


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
def test_all_that_was_held_is_used_once_or_given_back(begun, beside, events):
    request = Request()
    options = {"beside": request.beside} if beside else {}
    elsewhere = search(request, begun, **options)
    for event in events:
        match event:
            case "silent" | "dripped" | "speaking":
                more_s = silent(elsewhere, event != "silent", event == "dripped")
                request.clock.advance(more_s or 0.0)
            case "spoke":
                elsewhere.spoke()
            case "answer":
                request.answer()
            case "permit":
                request.permit = not request.permit
            case "connects":
                request.connects = not request.connects
            case "reachable":
                request.reachable = not request.reachable
            case "begins":
                request.begins = not request.begins
            case "abort":
                request.running.aborted = Refusal(ErrorKind.CALLER_GONE)
            case "awaited" | "answers" | "failed" | "useless":
                request.outcome_beside = event
            case _:
                request.outcome = {"refuse": "refusal"}.get(event, event)
    elsewhere.stop()
    held = elsewhere.take()
    request.outcome = "place"
    request.answer()
    # A permit is for a place: none is kept while a place is only waited for, and a send uses it.
    unsent = held is not None and held.second is None
    kept = [] if held is None else [each for each in (held.second, held.failed) if each is not None]
    places = len(kept) + (1 if unsent else 0)
    assert (request.places, request.connections) == (places, places)
    assert request.permits == (1 if unsent else 0)
    awaited = [second for second in request.sent if not second.ended]
    assert {id(each) for each in awaited} == {id(each) for each in kept}
