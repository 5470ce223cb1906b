"""A gateway's requests that wait for a silent back end and for a second one at the same time."""

import contextlib
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from laburnumreel_standins.caller import MODEL, Stream, bearer, call
from laburnumreel_standins.processes import wait_until

pytestmark = pytest.mark.processes

SILENCE_S = 0.4
# How long the first back end stays silent once the second one has shown what it does.
LINGER_S = 0.3
# Longer than all that these tests await, and shorter than the deadline.
MAX_WAIT_S = 8.0
TOKENS = [f"t{number} " for number in range(5)]
TEXT = "".join(TOKENS)
BODY = {"model": MODEL, "prompt": "steady", "max_tokens": 5}
WHOLE = b"done"


class Scripted:
    """Back ends whose answers are given by the order in which they are asked, whichever is asked."""

    def __init__(self, deployment, start_scripted_server, service, answers, retries=1):
        self.asked = [threading.Event() for _ in answers]
        self.sends = 0
        self._answers, self._lock = answers, threading.Lock()
        profile, kind = ("chat", "engine") if service == "models" else ("orders", "plain")
        limits = {"silence_s": SILENCE_S, "retry_ratio": 0.0, "retry_minimum": retries}
        deployment.configure(**{f"profile__{profile}": limits})
        for _ in answers:
            start_scripted_server(self._answer).list_in(deployment, service, kind)
        self.gateway = deployment.start_gateway()

    def _answer(self, exchange):
        with self._lock:
            number, self.sends = self.sends, self.sends + 1
        if number < len(self.asked):
            self.asked[number].set()
            self._answers[number](self, exchange)

    def stream(self, **headers):
        """Return the text of a stream, whether it is whole, and its error."""
        return Stream(self.gateway.callers, BODY, **headers).finish()

    def get(self):
        return call(self.gateway.callers, "GET", "/orders/1", None, bearer())


def stands_still(begun):
    """Return an answer that stops after so many tokens (None: before its head) and goes on later.

    It goes on a moment after a second back end was asked.
    """

    def answer(servers, exchange):
        if begun is not None:
            exchange.begin_stream()
            tokens(exchange, 0, begun)
        assert servers.asked[1].wait(MAX_WAIT_S)
        time.sleep(LINGER_S)
        if begun is None:
            exchange.begin_stream()
        tokens(exchange, begun or 0, 5)
        exchange.end_stream()

    return answer


def stands_still_whole(servers, exchange):
    assert servers.asked[1].wait(MAX_WAIT_S)
    time.sleep(LINGER_S)
    exchange.whole(WHOLE)


def tokens(exchange, first, last):
    for token in TOKENS[first:last]:
        exchange.token(token)


def stream(servers, exchange):
    exchange.begin_stream()
    tokens(exchange, exchange.resume_from, 5)
    exchange.end_stream()


def stream_later(servers, exchange):
    time.sleep(2 * LINGER_S)
    stream(servers, exchange)


def whole(servers, exchange):
    exchange.whole(WHOLE)


def whole_later(servers, exchange):
    time.sleep(2 * LINGER_S)
    exchange.whole(WHOLE)


def dead(servers, exchange):
    """Say nothing until the caller has left."""
    exchange.close_connection = True
    exchange.connection.settimeout(MAX_WAIT_S)
    with contextlib.suppress(OSError):
        exchange.rfile.read(1)


def refuses(servers, exchange):
    headers = f"X-Request-Id: {exchange.request_id}\r\n"
    exchange.whole(b"{}", "503 Service Unavailable", headers)


def refuses_with_time(servers, exchange):
    headers = f"X-Request-Id: {exchange.request_id}\r\nRetry-After: 3\r\n"
    exchange.whole(b"{}", "503 Service Unavailable", headers)


def fails(servers, exchange):
    exchange.whole(b"no", "500 Internal Server Error")


def breaks_off(servers, exchange):
    exchange.close_connection = True


def breaks_off_after_its_head(servers, exchange):
    exchange.begin_stream()


def breaks_off_in_its_body(servers, exchange):
    exchange.close_connection = True
    exchange.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo")


def has_error(servers, exchange):
    exchange.begin_stream()
    exchange.event({"error": {"message": "out of memory"}})


def begins_anew(servers, exchange):
    exchange.begin_stream()
    tokens(exchange, 0, 5)
    exchange.end_stream()


OF_NO_USE = [dead, refuses, refuses_with_time, fails, breaks_off]


def name_of(value):
    return getattr(value, "__name__", str(value))


@pytest.mark.parametrize("begun", [None, 0, 2])
@pytest.mark.parametrize("second", [*OF_NO_USE, breaks_off_after_its_head, has_error], ids=name_of)
def test_stream_outlasts_a_second_back_end_that_is_of_no_use(
    deployment, start_scripted_server, begun, second
):
    """A stream was cut although its back end was sound and went on a moment later."""
    servers = Scripted(deployment, start_scripted_server, "models", [stands_still(begun), second])
    assert servers.stream() == (TEXT, True, None)
    assert servers.sends == 2


def test_stream_outlasts_a_second_back_end_that_begins_anew(deployment, start_scripted_server):
    """A back end that resumes with the beginning of the answer has no use for the caller."""
    servers = Scripted(deployment, start_scripted_server, "models", [stands_still(4), begins_anew])
    assert servers.stream() == (TEXT, True, None)
    assert servers.sends == 2


@pytest.mark.parametrize("second", [*OF_NO_USE, breaks_off_in_its_body], ids=name_of)
def test_whole_answer_outlasts_a_second_back_end_that_is_of_no_use(
    deployment, start_scripted_server, second
):
    """A whole answer became an error although its back end went on a moment later."""
    servers = Scripted(deployment, start_scripted_server, "orders", [stands_still_whole, second])
    reply = servers.get()
    assert (reply.status, reply.body) == (200, WHOLE)
    assert servers.sends == 2


@pytest.mark.parametrize("begun", [None, 2])
def test_second_back_end_of_a_stream_may_take_its_time(deployment, start_scripted_server, begun):
    """The first back end is dead; its caller waits for the silence and for the second one only."""

    def first(servers, exchange):
        if begun is not None:
            exchange.begin_stream()
            tokens(exchange, 0, begun)
        dead(servers, exchange)

    servers = Scripted(deployment, start_scripted_server, "models", [first, stream_later])
    assert servers.stream() == (TEXT, True, None)
    assert servers.sends == 2
    assert servers.gateway.metric("laburnumreel_retries_total") == 1


def test_second_back_end_of_a_whole_answer_may_take_its_time(deployment, start_scripted_server):
    servers = Scripted(deployment, start_scripted_server, "orders", [dead, whole_later])
    assert servers.get().body == WHOLE
    assert servers.sends == 2


def test_third_back_end_of_a_stream_is_asked_where_the_second_is_silent_too(
    deployment, start_scripted_server
):
    servers = Scripted(deployment, start_scripted_server, "models", [dead, dead, stream], retries=2)
    assert servers.stream() == (TEXT, True, None)
    assert servers.sends == 3


def test_third_back_end_is_asked_where_the_second_one_refuses(deployment, start_scripted_server):
    servers = Scripted(
        deployment, start_scripted_server, "orders", [dead, refuses, whole], retries=2
    )
    assert servers.get().body == WHOLE
    assert servers.sends == 3


@pytest.mark.parametrize("begun", [None, 2])
def test_second_send_goes_on_where_the_first_back_end_breaks_off(
    deployment, start_scripted_server, begun
):
    """The first one ends while a second is awaited, and no retry is left for a third."""

    def first(servers, exchange):
        if begun is not None:
            exchange.begin_stream()
            tokens(exchange, 0, begun)
        assert servers.asked[1].wait(MAX_WAIT_S)
        time.sleep(LINGER_S)
        exchange.close_connection = True

    servers = Scripted(deployment, start_scripted_server, "models", [first, stream_later])
    assert servers.stream() == (TEXT, True, None)
    assert servers.sends == 2


def test_refusal_of_the_first_back_end_does_not_hide_what_the_second_may_have_run(
    deployment, start_scripted_server
):
    """The first one refuses, not run, after a second send; the second one breaks off later."""

    def refuses_late(servers, exchange):
        assert servers.asked[1].wait(MAX_WAIT_S)
        time.sleep(LINGER_S)
        exchange.whole(b"{}", "503 Service Unavailable")

    def breaks_off_late(servers, exchange):
        time.sleep(3 * LINGER_S)
        exchange.close_connection = True

    servers = Scripted(deployment, start_scripted_server, "orders", [refuses_late, breaks_off_late])
    reply = servers.get()
    assert (reply.status != 200, reply.run_state) == (True, "unknown")
    assert servers.sends == 2


def test_refusal_of_the_first_back_end_does_not_hide_what_an_ended_second_send_has_run(
    deployment, start_scripted_server
):
    """The second one broke off, and may have run it, before the first one says not run."""

    def refuses_late(servers, exchange):
        assert servers.asked[1].wait(MAX_WAIT_S)
        time.sleep(2 * LINGER_S)
        exchange.whole(b"{}", "503 Service Unavailable")

    servers = Scripted(deployment, start_scripted_server, "orders", [refuses_late, breaks_off])
    reply = servers.get()
    assert (reply.status != 200, reply.run_state) == (True, "unknown")
    assert servers.sends == 2


def test_second_back_ends_own_failure_is_taken_where_the_first_is_dead(
    deployment, start_scripted_server
):
    """The answer of a plain service goes to its caller, also where it is a failure."""
    servers = Scripted(deployment, start_scripted_server, "orders", [dead, fails])
    started = time.monotonic()
    assert (servers.get().status, servers.sends) == (500, 2)
    assert time.monotonic() - started < MAX_WAIT_S


def test_request_that_must_not_run_twice_is_sent_once(deployment, start_scripted_server):
    """It waits for its silent back end alone."""

    def first(servers, exchange):
        time.sleep(3 * SILENCE_S)
        exchange.whole(WHOLE)

    servers = Scripted(deployment, start_scripted_server, "orders", [first, whole])
    reply = call(servers.gateway.callers, "POST", "/orders/1", None, bearer())
    assert (reply.status, servers.sends) == (200, 1)


def test_answer_is_counted_once_and_the_other_send_is_cancelled(deployment, start_scripted_server):
    """Both back ends have the whole answer; the one that is not needed is told so."""
    servers = Scripted(deployment, start_scripted_server, "models", [stands_still(2), dead])
    assert servers.stream() == (TEXT, True, None)
    metric = servers.gateway.metric
    wait_until(lambda: metric("laburnumreel_cancels_total") == 1, "a cancel")
    wait_until(lambda: deployment.requests_counted() == 1, "the usage")
    assert metric("laburnumreel_retries_total") == 1
    (figures,) = [value["customers"]["hall-a"] for value in deployment.usage()]
    assert (figures["requests"], figures["output_tokens"]) == (1, 5)


def test_dead_back_end_is_left_as_soon_as_the_second_one_answers(deployment, start_scripted_server):
    """No caller waits beyond the silence, nor does the dead back end keep its request."""
    left = threading.Event()

    def first(servers, exchange):
        exchange.begin_stream()
        tokens(exchange, 0, 2)
        dead(servers, exchange)
        left.set()

    servers = Scripted(deployment, start_scripted_server, "models", [first, stream])
    assert servers.stream() == (TEXT, True, None)
    assert left.wait(MAX_WAIT_S / 2)


def test_answer_without_a_body_is_taken_from_the_second_back_end(deployment, start_scripted_server):
    """The head of an answer to HEAD names a body that does not come."""

    def head(servers, exchange):
        exchange.wfile.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    servers = Scripted(deployment, start_scripted_server, "orders", [dead, head])
    started = time.monotonic()
    reply = call(servers.gateway.callers, "HEAD", "/orders/1", None, bearer())
    assert (reply.status, servers.sends) == (200, 2)
    assert time.monotonic() - started < MAX_WAIT_S


def test_crash_of_the_second_back_end_counts_against_the_request(deployment, start_scripted_server):
    """A request that crashes its back ends must not go on to a third one for a silent first one."""
    processes = []

    def first(exchange):
        wait_until(lambda: any(process.code is not None for process in processes), "a crash")
        time.sleep(4 * SILENCE_S)
        exchange.close_connection = True

    deployment.configure(profile__chat={"silence_s": SILENCE_S})
    for name in [deployment.add_engine() for _ in range(2)]:
        deployment.engine_faults(name, crash_on=BODY["prompt"])
        processes.append(deployment.engines[name][0])
    engines = list(deployment.hosts)
    deployment.hosts.clear()
    server = start_scripted_server(first)
    server.list_in(deployment)
    gateway = deployment.start_gateway()
    with ThreadPoolExecutor(1) as executor:
        arguments = (gateway.callers, "POST", "/v1/completions", BODY, bearer())
        asked = executor.submit(call, *arguments)
        wait_until(lambda: server.seen, "the first back end to be asked")
        deployment.hosts.extend(engines)
        deployment.set_hosts()
        assert asked.result().kind == "quarantined"
    assert sorted(process.code is None for process in processes) == [False, True]
