"""Tests of what the gateway's dispatcher tells and asks the policies."""

import random
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import pytest

from laburnumreel.coordination import LoadReport, NodeUpdate, Offer, RoutingRequest, prompt_prefixes
from laburnumreel.core import ManualClock
from laburnumreel.protocol import ModelRequest
from laburnumreel.serving._budgets import DEFAULT_RETRY_MINIMUM
from laburnumreel.serving._dispatcher import Dispatcher, Wanted
from laburnumreel.serving._job import Job
from laburnumreel.serving._model import ModelRun
from laburnumreel.state import Configuration, ErrorKind, Host, RunState

SLOTS = 8


def work(request_id, text="", tokens=100):
    prefixes = prompt_prefixes(text)
    return RoutingRequest(
        request_id, "chat", "hall-a", "m", tokens, max(1, len(text)), 50, prefixes, 0
    )


def report(streams=0):
    return LoadReport(0.0, "both", ("m",), 0, streams, SLOTS, 8000, 1000, 10**6, False)


@pytest.fixture
def start():
    started = []
    with ThreadPoolExecutor(4) as executor:

        def begin(gateways=1, streams=(0, 0)):
            clock = ManualClock()
            dispatcher = Dispatcher(clock, "xela-a", "xela", random.Random(1), gateways)
            dispatcher.start(executor)
            started.append(dispatcher)
            dispatcher.hosts(
                [
                    Host(
                        f"w{n}", "127.0.0.1:9000", "xela-a", "xela", "chat", "engine", False, "live"
                    )
                    for n in range(len(streams))
                ]
            )
            for number, count in enumerate(streams):
                dispatcher.load(f"w{number}", report(count))
            return dispatcher

        yield begin
        for dispatcher in started:
            dispatcher.stop()


def chosen(dispatcher, tries=12):
    """Return the back ends of requests that come one after another."""
    names = set()
    for number in range(tries):
        name = dispatcher.choose(work(f"r{number}"), False, (), "").name
        dispatcher.attempt_ended(name, f"r{number}", False)
        names.add(name)
    return names


def test_a_silent_gateways_requests_count(start):
    """Guards against reports that are ignored while a gateway, or only a coordinator, is heard."""
    dispatcher = start(gateways=3, streams=(7, 0))
    assert chosen(dispatcher) == {"w1"}
    for peer in ("coordinator/node-1", "coordinator/node-2", "gateway/node-2"):
        dispatcher.peer_news(peer, NodeUpdate())
    assert chosen(dispatcher) == {"w1"}
    dispatcher.peer_news("gateway/node-3", NodeUpdate(in_flight={"w1": (SLOTS, 0)}))
    assert chosen(dispatcher) == {"w0"}


def test_equal_long_prompts_go_to_the_same_engine(start):
    """Guards against a prompt that is processed again on an engine that has not cached it."""
    dispatcher = start()
    names = set()
    for number in range(8):
        back_end = dispatcher.choose(work(f"r{number}", "x" * 4000, 1000), False, (), "")
        dispatcher.attempt_ended(back_end.name, f"r{number}", False)
        names.add(back_end.name)
    assert len(names) == 1


def configured():
    """Return a configuration with the service `chat`, of which an engine runs two at once."""
    profile = SimpleNamespace(
        cheap_back_ends="never",
        token_gap_s=0.002,
        queue=64,
        weight=1.0,
        tokens_per_s=0,
        requests_per_s=0,
        priority=0,
    )
    service = SimpleNamespace(name="chat", profile="chat")
    return SimpleNamespace(profiles={"chat": profile}, customers={}, services={"chat": service})


def offered(dispatcher, count):
    """Offer so many requests; return their answers."""
    answers = [
        dispatcher.offer(
            Offer(f"r{number}", "chat", "hall-a", 10, 1000.0),
            Wanted(work(f"r{number}"), False, ""),
        )
        for number in range(count)
    ]
    dispatcher.settle()
    return answers


def test_capacity_keeps_the_token_gap_of_the_profile(start):
    """Guards against more streams at once than the engines can serve within the profile's goal."""
    dispatcher = start(streams=(0,))
    dispatcher.configure(configured())
    dispatcher.settle()
    answers = offered(dispatcher, 4)
    assert [answer.done() for answer in answers] == [True, True, False, False]


def test_requests_that_wait_for_a_service_that_goes_are_refused_at_once(start):
    """They waited for their deadlines, though nothing would admit them any more."""
    dispatcher = start(streams=(0,))
    dispatcher.configure(configured())
    dispatcher.settle()
    waiting = offered(dispatcher, 4)[2:]
    assert not any(answer.done() for answer in waiting)
    dispatcher.configure(Configuration(2))
    for answer in waiting:
        refusal = answer.result(timeout=5)
        assert (refusal.kind, refusal.state) == (ErrorKind.NO_BACK_END, RunState.NOT_RUN)
        assert refusal.retry_after_s
    dispatcher.finish("r0", 10)
    dispatcher.settle()


def test_changed_configuration_does_not_renew_the_retry_budget(start):
    """Each configuration that came forgot the retries of the window."""
    dispatcher = start()
    allowed = 0
    for version in range(1, 6):
        dispatcher.configure(Configuration(version))
        allowed += sum(dispatcher.take_retry("chat") for _ in range(5))
    assert allowed == DEFAULT_RETRY_MINIMUM


class FakeExchange:
    """An answer of three tokens."""

    status, complete = 200, True

    def __init__(self, request_id):
        texts = ["one", "two", "three"]
        chunks = [f'{{"id":"{request_id}","choices":[{{"text":"{text}"}}]}}' for text in texts]
        self._reads = [f"data: {chunk}\n\n".encode() for chunk in [*chunks, "[DONE]"]]

    def header(self, name):
        return None

    def read(self):
        return self._reads.pop(0) if self._reads else b""

    def send(self, *_):
        return

    set_timeout = close = send


def test_first_token_ends_the_prompts_queue_time(start):
    """Guards against prompts that peers count as queued until their answers end."""
    dispatcher = start()
    running = SimpleNamespace(
        request_id="r", deadline=100.0, attach=lambda _: True, detach=lambda: None, aborted=None
    )
    profile = SimpleNamespace(silence_s=5)
    service = SimpleNamespace(name="chat")
    first = dispatcher.choose(work("r"), False, (), "")
    parts = SimpleNamespace(
        dispatcher=dispatcher,
        clock=ManualClock(),
        pool=SimpleNamespace(open=lambda *_: FakeExchange("r")),
        usage=SimpleNamespace(count=lambda *_: None),
    )
    job = Job(running, work("r"), service, profile, "", True, "", 0.0)
    request = ModelRequest(False, "m", True, b"x", 100, 50, 1, {"model": "m", "prompt": "x"})
    assert dispatcher.news().result().in_flight == {first.name: (1, 100)}
    events = ModelRun(parts, job, request, first).events()
    next(events)
    assert dispatcher.news().result().in_flight == {first.name: (1, 0)}
    list(events)
    assert dispatcher.news().result().in_flight == {}
