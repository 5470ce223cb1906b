"""What a request at a silent back end reserves for a hedge, and releases when it stays."""

import random
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import pytest
from test_dispatcher import make_report, make_work

from laburnumreel.core import AnswerMemory, ManualClock
from laburnumreel.serving._attempts import AttemptRunner
from laburnumreel.serving._budgets import DEFAULT_RETRY_MINIMUM
from laburnumreel.serving._dispatcher import BackEndSelection, Dispatcher
from laburnumreel.serving._hedging import BackEndRequest
from laburnumreel.serving._job import Job
from laburnumreel.serving._silence_tracker import RESUME_GRACE_S, HedgeDenial
from laburnumreel.state import Host
from laburnumreel.transport import BackEndFailureError

SILENCE_S = 1.0
SILENT = BackEndFailureError("silent", "no byte came", sent=True)
PROFILE = SimpleNamespace(silence_s=SILENCE_S, cheap_back_ends="never")


class FakeExchange:
    status, complete, is_only_request = 200, False, True
    _socket = None

    def __init__(self, has_answer=False):
        self.has_unread = False
        self.can_read_now = has_answer
        self.on_timeout = None
        self.ended = False
        self.writes = 0

    def send(self, *arguments):
        """Accept a request; the head is available immediately."""

    def write(self, *arguments):
        self.writes += 1

    def read_head(self, *arguments):
        """Return immediately, as the head is available."""

    def set_timeout(self, timeout_s):
        """Ignore the timeout, as nothing waits."""

    def header(self, name):
        return None

    def close(self):
        self.ended = True

    discard = close


class FakePool:
    """Returns the given exchanges in order; None represents a refused connection.

    Bytes arrive on `resuming_exchange` as soon as another exchange is opened.
    """

    def __init__(self, *exchanges, resuming_exchange=None):
        self._exchanges = list(exchanges)
        self._resuming_exchange = resuming_exchange

    def open(self, address, fresh=False):
        exchange = self._exchanges.pop(0)
        if self._resuming_exchange not in (None, exchange):
            self._resuming_exchange.has_unread = True
        if exchange is None:
            raise BackEndFailureError("connect_failed", "refused", sent=False)
        return exchange

    def probe_and_wait(self, address):
        return True


class FakeSource:
    """A run that accepts any answer as soon as its head arrives."""

    delivered_tokens = 0

    def make_request(self):
        return BackEndRequest("POST", "/v1/completions", {}, b"")

    def make_judge(self):
        return SimpleNamespace(judge_head=lambda exchange: "answers")


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def dispatcher(clock):
    host = Host("w0", "127.0.0.1:9000", "xela-a", "xela", "chat", "engine", False, "live")
    with ThreadPoolExecutor(1) as executor:
        started = Dispatcher(clock, "xela-a", "xela", random.Random(1))
        started.start(executor)
        started.hosts([host, host._replace(name="w1")])
        for name in ("w0", "w1"):
            started.on_load(name, make_report())
        yield started
        started.stop()


def start_silent_request(dispatcher, pool, deadline=100.0):
    """Return the attempts of a request that was sent to w0."""
    running = SimpleNamespace(
        request_id="r",
        deadline=deadline,
        abort_reason=None,
        attach=lambda _: True,
        detach=lambda: None,
        sleep=lambda _: None,
    )
    deps = SimpleNamespace(
        dispatcher=dispatcher,
        clock=ManualClock(),
        pool=pool,
        background=SimpleNamespace(submit=lambda *_: None),
        answer_memory=AnswerMemory(1 << 20),
    )
    service = SimpleNamespace(name="chat")
    initial_back_end = dispatcher.choose(make_work("r"), False, ["w1"], "")
    job = Job(running, make_work("r"), service, PROFILE, "", True, "", 0.0)
    attempts = AttemptRunner(deps, job, FakeSource(), initial_back_end)
    attempts.open()
    attempts.send()
    return attempts


def take_all_retries(dispatcher):
    count = 0
    while dispatcher.acquire_retry("chat"):
        count += 1
    return count


def requests_in_flight(dispatcher):
    return {
        name: count for name, (count, _) in dispatcher.local_update().result().in_flight.items()
    }


@pytest.mark.parametrize("outcome", ["first_resumes", "connection_refused"])
def test_request_that_stays_releases_permit_and_slot(dispatcher, outcome):
    """Guards against a failed hedge that keeps a retry permit and a slot though nothing was sent."""
    first_exchange, resuming_exchange = FakeExchange(), outcome == "first_resumes"
    second_exchange = FakeExchange() if resuming_exchange else None
    start_silent_request(
        dispatcher,
        FakePool(
            first_exchange,
            second_exchange,
            resuming_exchange=first_exchange if resuming_exchange else None,
        ),
    )
    assert 0 < first_exchange.on_timeout(False) <= SILENCE_S
    assert not first_exchange.ended and (
        second_exchange is None or (second_exchange.ended and not second_exchange.writes)
    )
    assert requests_in_flight(dispatcher) == {"w0": 1}
    assert take_all_retries(dispatcher) == DEFAULT_RETRY_MINIMUM


def test_request_fails_over_to_the_answering_back_end(dispatcher):
    """The request uses one retry permit, and holds a slot only at the other back end."""
    first_exchange, second_exchange = FakeExchange(), FakeExchange(has_answer=True)
    attempts = start_silent_request(dispatcher, FakePool(first_exchange, second_exchange))
    assert first_exchange.on_timeout(False) is None
    attempts.on_lost(SILENT)
    assert first_exchange.ended and attempts.open() is second_exchange
    attempts.send()
    assert second_exchange.writes == 1
    assert requests_in_flight(dispatcher) == {"w1": 1}
    assert take_all_retries(dispatcher) == DEFAULT_RETRY_MINIMUM - 1


def test_request_stays_at_its_back_end_without_a_permit(dispatcher):
    """A denied permit ended the stream, because the back end was left before asking for one."""
    take_all_retries(dispatcher)
    first_exchange = FakeExchange()
    start_silent_request(dispatcher, FakePool(first_exchange))
    assert first_exchange.on_timeout(False) > 0 and not first_exchange.ended
    assert requests_in_flight(dispatcher) == {"w0": 1}


def test_ended_request_releases_its_reservations(dispatcher):
    """Guards against a slot leak if the caller disconnects between the hedge's answer and the switch."""
    first_exchange, second_exchange = FakeExchange(), FakeExchange(has_answer=True)
    attempts = start_silent_request(dispatcher, FakePool(first_exchange, second_exchange))
    assert first_exchange.on_timeout(False) is None
    attempts.abandon()
    assert first_exchange.ended and second_exchange.ended and requests_in_flight(dispatcher) == {}
    # The permit of the sent hedge is used; none stays reserved.
    assert take_all_retries(dispatcher) == DEFAULT_RETRY_MINIMUM - 1


def test_back_end_with_paused_streams_gets_no_hedge(dispatcher, clock):
    """Streams moved from a silent back end to one that had just become silent as well."""
    selection = BackEndSelection(make_work("r"), False, "")
    dispatcher.choose(make_work("other"), False, ["w0"], "")
    dispatcher.on_bytes("w1")
    dispatcher.on_first_token("w1", "other")
    clock.advance(SILENCE_S * 0.6)
    assert dispatcher.reserve_hedge(selection, ["w0"], SILENCE_S) is HedgeDenial.NO_BACK_END
    dispatcher.on_bytes("w1")
    assert dispatcher.reserve_hedge(selection, ["w0"], SILENCE_S).name == "w1"


def test_back_end_that_has_just_resumed_gets_no_hedge(dispatcher, clock):
    """Two streams moved to an engine that resumed 0.03 s before their own."""
    selection = BackEndSelection(make_work("r"), False, "")
    dispatcher.choose(make_work("other"), False, ["w0"], "")
    dispatcher.on_silence("w1", "other")
    dispatcher.on_silence_ended("w1", "other")
    dispatcher.on_attempt_ended("w1", "other", False)
    assert dispatcher.reserve_hedge(selection, ["w0"], SILENCE_S) is HedgeDenial.NO_BACK_END
    assert dispatcher.has_just_resumed("w1")
    clock.advance(RESUME_GRACE_S)
    assert dispatcher.reserve_hedge(selection, ["w0"], SILENCE_S).name == "w1"


@pytest.mark.parametrize("others", [0, 49])
def test_back_end_that_resumes_often_takes_requests_over(dispatcher, clock, others):
    """One of 50 requests that paused each 0.4 s kept a sound back end from taking any over."""
    for number in range(others + 1):
        dispatcher.choose(make_work(f"other-{number}"), False, ["w0"], "")
    selection = BackEndSelection(make_work("r"), False, "")
    reserved = []
    for _ in range(3 if others == 0 else 1):
        dispatcher.on_silence("w1", "other-0")
        dispatcher.on_silence_ended("w1", "other-0")
        reserved.append(dispatcher.reserve_hedge(selection, ["w0"], SILENCE_S))
        clock.advance(0.4)
    assert reserved[:-1] == [HedgeDenial.NO_BACK_END] * (len(reserved) - 1)
    assert reserved[-1].name == "w1"


def test_request_waits_briefly_for_a_back_end_that_resumes(dispatcher, clock):
    """Two streams moved 0.07 s after others of their engine went on, and used up two retries."""
    dispatcher.choose(make_work("other"), False, ["w1"], "")
    first_exchange, second_exchange = FakeExchange(), FakeExchange(has_answer=True)
    attempts = start_silent_request(dispatcher, FakePool(first_exchange, second_exchange))
    dispatcher.on_silence("w0", "other")
    dispatcher.on_silence_ended("w0", "other")
    assert first_exchange.on_timeout(False) > 0 and not second_exchange.writes
    # The connection of this request may be lost: a further resumption delays it no longer.
    for each in (clock, attempts._deps.clock):
        each.advance(RESUME_GRACE_S)
    dispatcher.on_silence_ended("w0", "other")
    assert first_exchange.on_timeout(False) is None and second_exchange.writes == 1


def test_silent_back_end_is_the_last_resort_for_new_work(dispatcher):
    """New requests went to a back end where earlier ones still waited for their first byte."""
    take_all_retries(dispatcher)
    first_exchange = FakeExchange()
    start_silent_request(dispatcher, FakePool(first_exchange))
    first_exchange.on_timeout(False)
    assert {dispatcher.choose(make_work(f"r{n}"), False, (), "").name for n in range(4)} == {"w1"}
    assert dispatcher.choose(make_work("other"), False, ["w1"], "").name == "w0"
