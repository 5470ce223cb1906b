"""What a request holds beside a silent back end, and what it gives back when it stays."""

import random
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import pytest
from test_dispatcher import report, work

from laburnumreel.core import ManualClock
from laburnumreel.serving._attempts import Attempts
from laburnumreel.serving._budgets import DEFAULT_RETRY_MINIMUM
from laburnumreel.serving._dispatcher import Dispatcher, Wanted
from laburnumreel.serving._job import Job
from laburnumreel.serving._second_sends import Request
from laburnumreel.serving._silences import NoTakeover
from laburnumreel.state import Host
from laburnumreel.transport import BackEndFailureError

SILENCE_S = 1.0
SILENT = BackEndFailureError("silent", "no byte came", sent=True)
PROFILE = SimpleNamespace(silence_s=SILENCE_S, cheap_back_ends="never")


class FakeExchange:
    status, complete, is_only_request = 200, False, True
    _socket = None

    def __init__(self, answers=False):
        self.has_unread = False
        self.can_read_now = answers
        self.on_timeout = None
        self.ended = False
        self.writes = 0

    def send(self, *arguments):
        """Take a request; the head is there at once."""

    def write(self, *arguments):
        self.writes += 1

    def read_head(self, *arguments):
        """The head is there at once."""

    def set_timeout(self, timeout_s):
        """Nothing waits."""

    def header(self, name):
        return None

    def close(self):
        self.ended = True

    discard = close


class FakePool:
    """Opens one exchange after another; None stands for a connection that is refused.

    Bytes come on `speaks` once another one is opened.
    """

    def __init__(self, *exchanges, speaks=None):
        self._exchanges = list(exchanges)
        self._speaks = speaks

    def open(self, address, fresh=False):
        exchange = self._exchanges.pop(0)
        if self._speaks not in (None, exchange):
            self._speaks.has_unread = True
        if exchange is None:
            raise BackEndFailureError("connect_failed", "refused", sent=False)
        return exchange

    def probe_and_wait(self, address):
        return True


class FakeAsker:
    """A run whose request goes on with the first head that comes."""

    delivered = 0

    def request(self):
        return Request("POST", "/v1/completions", {}, b"")

    def judge(self):
        return SimpleNamespace(head=lambda exchange: "answers")


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
            started.load(name, report())
        yield started
        started.stop()


def silent_request(dispatcher, pool, deadline=100.0):
    """Return the attempts of a request that was sent to w0, and the running request."""
    running = SimpleNamespace(
        request_id="r",
        deadline=deadline,
        aborted=None,
        attach=lambda _: True,
        detach=lambda: None,
        sleep=lambda _: None,
    )
    parts = SimpleNamespace(
        dispatcher=dispatcher,
        clock=ManualClock(),
        pool=pool,
        background=SimpleNamespace(submit=lambda *_: None),
    )
    service = SimpleNamespace(name="chat")
    first = dispatcher.choose(work("r"), False, ["w1"], "")
    job = Job(running, work("r"), service, PROFILE, "", True, "", 0.0)
    attempts = Attempts(parts, job, FakeAsker(), first)
    attempts.open()
    attempts.send()
    return attempts


def retries_left(dispatcher):
    count = 0
    while dispatcher.take_retry("chat"):
        count += 1
    return count


def in_flight(dispatcher):
    return {name: count for name, (count, _) in dispatcher.news().result().in_flight.items()}


@pytest.mark.parametrize("elsewhere", ["first_speaks", "connection_refused"])
def test_request_that_stays_gives_permit_and_place_back(dispatcher, elsewhere):
    """Each try to leave would cost the others a retry and a place, though nothing was sent."""
    first, speaks = FakeExchange(), elsewhere == "first_speaks"
    second = FakeExchange() if speaks else None
    silent_request(dispatcher, FakePool(first, second, speaks=first if speaks else None))
    assert 0 < first.on_timeout(False) <= SILENCE_S
    assert not first.ended and (second is None or (second.ended and not second.writes))
    assert in_flight(dispatcher) == {"w0": 1}
    assert retries_left(dispatcher) == DEFAULT_RETRY_MINIMUM


def test_request_leaves_for_an_answer(dispatcher):
    """It spends one retry, and its place is at the other back end alone."""
    first, second = FakeExchange(), FakeExchange(answers=True)
    attempts = silent_request(dispatcher, FakePool(first, second))
    assert first.on_timeout(False) is None
    attempts.lost(SILENT)
    assert first.ended and attempts.open() is second
    attempts.send()
    assert second.writes == 1
    assert in_flight(dispatcher) == {"w1": 1}
    assert retries_left(dispatcher) == DEFAULT_RETRY_MINIMUM - 1


def test_request_is_left_at_its_back_end_without_a_retry(dispatcher):
    """A denied permit ended the stream, as the back end had been left before it was asked for."""
    retries_left(dispatcher)
    first = FakeExchange()
    silent_request(dispatcher, FakePool(first))
    assert first.on_timeout(False) > 0 and not first.ended
    assert in_flight(dispatcher) == {"w0": 1}


def test_request_that_ends_gives_back_what_it_holds(dispatcher):
    """A caller that leaves between the second answer and the change would leave a place for ever."""
    first, second = FakeExchange(), FakeExchange(answers=True)
    attempts = silent_request(dispatcher, FakePool(first, second))
    assert first.on_timeout(False) is None
    attempts.abandon()
    assert first.ended and second.ended and in_flight(dispatcher) == {}
    # The one that was sent is spent; none stays reserved.
    assert retries_left(dispatcher) == DEFAULT_RETRY_MINIMUM - 1


def test_back_end_whose_streams_pause_takes_nothing_over(dispatcher, clock):
    """Streams of a silent back end went to one that had fallen silent a moment later."""
    wanted = Wanted(work("r"), False, "")
    dispatcher.choose(work("other"), False, ["w0"], "")
    dispatcher.heard("w1")
    dispatcher.first_token("w1", "other")
    clock.advance(SILENCE_S * 0.6)
    assert dispatcher.reserve_takeover(wanted, ["w0"], SILENCE_S) is NoTakeover.NO_BACK_END
    dispatcher.heard("w1")
    assert dispatcher.reserve_takeover(wanted, ["w0"], SILENCE_S).name == "w1"


def test_silent_back_end_is_the_last_resort_of_new_work(dispatcher):
    """New requests went to a back end at which earlier ones waited for their first byte."""
    retries_left(dispatcher)
    first = FakeExchange()
    silent_request(dispatcher, FakePool(first))
    first.on_timeout(False)
    assert {dispatcher.choose(work(f"r{n}"), False, (), "").name for n in range(4)} == {"w1"}
    assert dispatcher.choose(work("other"), False, ["w1"], "").name == "w0"
