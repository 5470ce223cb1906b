"""Tests of how the gateway's dispatcher uses the admission, routing and retry policies."""

import random
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import pytest

from laburnumreel.coordination import LoadReport, NodeUpdate, Offer, RoutingRequest, prompt_prefixes
from laburnumreel.coordination._fleet import FIRST_REPORT_WAIT_S
from laburnumreel.core import AnswerMemory, ManualClock
from laburnumreel.protocol import ModelRequest
from laburnumreel.serving._budgets import DEFAULT_RETRY_MINIMUM
from laburnumreel.serving._dispatcher import BackEndSelection, Dispatcher
from laburnumreel.serving._job import Job
from laburnumreel.serving._model import ModelRun
from laburnumreel.state import Configuration, ErrorKind, Host, RunState

SLOTS = 8


def make_work(request_id, text="", tokens=100):
    prefixes = prompt_prefixes(text)
    return RoutingRequest(
        request_id, "chat", "hall-a", "m", tokens, max(1, len(text)), 50, prefixes, 0
    )


def make_report(streams=0):
    return LoadReport(0.0, "both", ("m",), 0, streams, SLOTS, 8000, 1000, 10**6, False)


@pytest.fixture
def start_dispatcher():
    started = []
    with ThreadPoolExecutor(4) as executor:

        def start_one(gateways=1, streams=(0, 0)):
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
                dispatcher.on_load(f"w{number}", make_report(count))
            return dispatcher

        yield start_one
        for dispatcher in started:
            dispatcher.stop()


def choose_repeatedly(dispatcher, attempts=12):
    """Return the names of the back ends chosen for consecutive requests."""
    names = set()
    for number in range(attempts):
        name = dispatcher.choose(make_work(f"r{number}"), False, (), "").name
        dispatcher.on_attempt_ended(name, f"r{number}", False)
        names.add(name)
    return names


def test_requests_of_a_silent_gateway_count(start_dispatcher):
    """Guards against ignoring load reports before every other gateway has sent an update.

    Updates of coordinators must not count as those of a gateway that has sent none.
    """
    dispatcher = start_dispatcher(gateways=3, streams=(7, 0))
    assert choose_repeatedly(dispatcher) == {"w1"}
    for peer in ("coordinator/node-1", "coordinator/node-2", "gateway/node-2"):
        dispatcher.on_peer_update(peer, NodeUpdate())
    assert choose_repeatedly(dispatcher) == {"w1"}
    dispatcher.on_peer_update("gateway/node-3", NodeUpdate(in_flight={"w1": (SLOTS, 0)}))
    assert choose_repeatedly(dispatcher) == {"w0"}


def test_equal_long_prompts_go_to_the_same_engine(start_dispatcher):
    """Guards against a prompt being processed again on an engine that has not cached it."""
    dispatcher = start_dispatcher()
    names = set()
    for number in range(8):
        back_end = dispatcher.choose(make_work(f"r{number}", "x" * 4000, 1000), False, (), "")
        dispatcher.on_attempt_ended(back_end.name, f"r{number}", False)
        names.add(back_end.name)
    assert len(names) == 1


@pytest.mark.parametrize("old_state", ["live", "leaving"])
@pytest.mark.parametrize("is_old_first", [True, False])
def test_name_listed_twice_is_one_usable_back_end(start_dispatcher, old_state, is_old_first):
    """Guards against a service without capacity while a server's successor has its name."""
    dispatcher = start_dispatcher(streams=(0,))
    dispatcher.configure(make_configuration())
    old = Host("w0", "127.0.0.1:9000", "xela-a", "xela", "chat", "engine", False, old_state)
    hosts = [old, old._replace(address="127.0.0.2:9000", state="live")]
    for _ in range(3):
        dispatcher.hosts(hosts if is_old_first else hosts[::-1])
        chosen = dispatcher.choose(make_work("r0"), False, (), "")
        assert chosen is not None
        dispatcher.on_load("w0", make_report())
        dispatcher.wait_until_processed()
        dispatcher.hosts(hosts if is_old_first else hosts[::-1])
        offer = Offer("r1", "chat", "hall-a", 100, 60.0)
        outcome = dispatcher.offer(offer, BackEndSelection(make_work("r1"), False, "")).result()
        expected = "127.0.0.1" if old_state == "live" else "127.0.0.2"
        assert outcome.address[0] == expected
        dispatcher.finish("r1", 100)
        dispatcher.on_attempt_ended("w0", "r1", False)
        dispatcher.on_attempt_ended("w0", "r0", False)


def test_request_that_is_admitted_and_cancelled_at_once_leaves_nothing(start_dispatcher):
    """Guards against work that counts at a back end forever, though its request has ended."""
    dispatcher = start_dispatcher(streams=(0, 0))
    dispatcher.configure(make_configuration())
    offer = Offer("r1", "chat", "hall-a", 100, 60.0)
    selection = BackEndSelection(make_work("r1"), False, "")
    assert dispatcher.offer(offer, selection).result().name in ("w0", "w1")
    assert dispatcher.local_update().result().in_flight
    dispatcher.cancel_offer("r1")
    assert not dispatcher.local_update().result().in_flight


def test_successor_with_the_name_of_a_leaving_server_gets_work(start_dispatcher):
    """Guards against a new server that gets no work because its name was that of another one."""
    dispatcher, peer = start_dispatcher(streams=(0,)), start_dispatcher(streams=(0,))
    old = Host("w0", "127.0.0.1:9000", "xela-a", "xela", "chat", "engine", False, "leaving")
    dispatcher.hosts([old])
    assert dispatcher.choose(make_work("r0"), False, (), "") is None
    # The peer's list is behind, so it relies on the mark.
    peer.on_peer_update("gateway/node-2", dispatcher.local_update().result())
    assert peer.choose(make_work("r0"), False, (), "") is None
    for each in (dispatcher, peer):
        each.hosts([old._replace(address="127.0.0.2:9000", state="live")])
        assert each.choose(make_work("r0"), False, (), "").address == ("127.0.0.2", 9000)


def make_configuration():
    """Return a configuration in which an engine runs two streams of the service `chat`."""
    profile = SimpleNamespace(
        cheap_back_ends="never",
        # With this gap an engine can run at most two streams.
        token_gap_s=0.002,
        queue=64,
        weight=1.0,
        tokens_per_s=0,
        requests_per_s=0,
        priority=0,
    )
    service = SimpleNamespace(name="chat", profile="chat")
    return SimpleNamespace(profiles={"chat": profile}, customers={}, services={"chat": service})


def offer_requests(dispatcher, count, deadline=1000.0):
    """Offer `count` requests and return their futures."""
    answers = [
        dispatcher.offer(
            Offer(f"r{number}", "chat", "hall-a", 10, deadline),
            BackEndSelection(make_work(f"r{number}"), False, ""),
        )
        for number in range(count)
    ]
    dispatcher.wait_until_processed()
    return answers


def test_capacity_keeps_the_token_gap_of_the_profile(start_dispatcher):
    """Guards against more concurrent streams than the engines serve within `token_gap_s`."""
    dispatcher = start_dispatcher(streams=(0,))
    dispatcher.configure(make_configuration())
    dispatcher.wait_until_processed()
    answers = offer_requests(dispatcher, 4)
    assert [answer.done() for answer in answers] == [True, True, False, False]


def test_queued_requests_of_a_removed_service_are_refused_at_once(start_dispatcher):
    """Guards against queued requests of a removed service that wait until their deadlines."""
    dispatcher = start_dispatcher(streams=(0,))
    dispatcher.configure(make_configuration())
    dispatcher.wait_until_processed()
    waiting = offer_requests(dispatcher, 4)[2:]
    assert not any(answer.done() for answer in waiting)
    dispatcher.configure(Configuration(2))
    for answer in waiting:
        refusal = answer.result(timeout=5)
        assert (refusal.kind, refusal.state) == (ErrorKind.NO_BACK_END, RunState.NOT_RUN)
        assert refusal.retry_after_s
    dispatcher.finish("r0", 10)
    dispatcher.wait_until_processed()


def test_request_waits_for_the_first_report_of_a_new_engine(start_dispatcher):
    """Requests were refused for up to half a second if an engine's first report took over 1 s."""
    dispatcher = start_dispatcher(streams=())
    dispatcher.configure(make_configuration())
    engine = Host("w0", "127.0.0.1:9000", "xela-a", "xela", "chat", "engine", False, "live")
    dispatcher.hosts([engine])
    served, cancelled = offer_requests(dispatcher, 2)
    assert not served.done() and not cancelled.done()
    dispatcher.cancel_offer("r1")
    dispatcher.on_load("w0", make_report())
    assert served.result(timeout=5).name == "w0"
    assert dispatcher.local_update().result().in_flight["w0"][0] == 1 and not cancelled.done()
    dispatcher.hosts([engine._replace(address="127.0.0.2:9000")])
    unserved = offer_requests(dispatcher, 1)[0]
    assert not unserved.done()
    dispatcher._clock.advance(FIRST_REPORT_WAIT_S)
    assert unserved.result(timeout=5).kind == ErrorKind.NO_BACK_END


@pytest.mark.parametrize("ended_by", ["stop", "deadline", "time"])
def test_waits_for_a_first_report_are_bounded(start_dispatcher, ended_by):
    """1000 of 1000 requests waited, past deadline and stop, as long as other engines were listed."""
    dispatcher = start_dispatcher(streams=())
    dispatcher.configure(make_configuration())
    engine = Host("w0", "127.0.0.1:9000", "xela-a", "xela", "chat", "engine", False, "live")
    dispatcher.hosts([engine])
    deadline = 1.0 if ended_by == "deadline" else 1000.0
    waiting, beyond = offer_requests(dispatcher, 100, deadline)[0::99]
    assert not waiting.done() and beyond.result(timeout=5).kind == ErrorKind.QUEUE_FULL
    if ended_by == "stop":
        dispatcher.stop()
    else:
        dispatcher._clock.advance(deadline if ended_by == "deadline" else FIRST_REPORT_WAIT_S - 0.1)
        dispatcher.hosts([engine, engine._replace(name="w1", address="127.0.0.2:9000")])
        dispatcher._clock.advance(0.1)
    refusal = waiting.result(timeout=5)
    kinds = {"stop": ErrorKind.STOPPING, "deadline": ErrorKind.DEADLINE_UNMEETABLE}
    assert refusal.kind == kinds.get(ended_by, ErrorKind.NO_BACK_END)
    assert refusal.state == RunState.NOT_RUN


def test_changed_configuration_does_not_reset_the_retry_budget(start_dispatcher):
    """Guards against a new configuration that resets the retry budget.

    A reset would forget the retries of the window.
    """
    dispatcher = start_dispatcher()
    allowed = 0
    for version in range(1, 6):
        dispatcher.configure(Configuration(version))
        allowed += sum(dispatcher.acquire_retry("chat") for _ in range(5))
    assert allowed == DEFAULT_RETRY_MINIMUM


class FakeExchange:
    """An exchange whose answer has three tokens."""

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


def test_first_token_ends_the_queue_time_of_the_prompt(start_dispatcher):
    """Guards against updates that count a prompt as queued until its answer ends."""
    dispatcher = start_dispatcher()
    running = SimpleNamespace(
        request_id="r",
        deadline=100.0,
        attach=lambda _: True,
        detach=lambda: None,
        abort_reason=None,
    )
    profile = SimpleNamespace(silence_s=5, max_tokens=1000)
    service = SimpleNamespace(name="chat")
    first = dispatcher.choose(make_work("r"), False, (), "")
    deps = SimpleNamespace(
        dispatcher=dispatcher,
        clock=ManualClock(),
        pool=SimpleNamespace(open=lambda *_: FakeExchange("r")),
        usage=SimpleNamespace(count=lambda *_: None),
        answer_memory=AnswerMemory(1 << 20),
    )
    job = Job(running, make_work("r"), service, profile, "", True, "", 0.0)
    request = ModelRequest(False, "m", True, b"x", 100, 50, 1, {"model": "m", "prompt": "x"})
    assert dispatcher.local_update().result().in_flight == {first.name: (1, 100)}
    events = ModelRun(deps, job, request, first).events()
    next(events)
    assert dispatcher.local_update().result().in_flight == {first.name: (1, 0)}
    list(events)
    assert dispatcher.local_update().result().in_flight == {}
