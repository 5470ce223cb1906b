"""Tests of hedged requests, which wait for a silent back end and a second one at the same time."""

import contextlib
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from laburnumreel_standins.caller import MODEL, Stream, bearer_headers, call
from laburnumreel_standins.processes import wait_until

pytestmark = pytest.mark.processes

SILENCE_S = 0.4
# How long the first back end stays silent after the second one was asked.
RESUME_DELAY_S = 0.3
# Longer than anything that these tests wait for, and shorter than the deadline.
MAX_WAIT_S = 8.0
TOKENS = [f"t{number} " for number in range(5)]
TEXT = "".join(TOKENS)
BODY = {"model": MODEL, "prompt": "steady", "max_tokens": 5}
WHOLE_BODY = b"done"


class ScriptedServers:
    """Back ends that answer by the order of the requests, whichever back end gets each one."""

    def __init__(self, deployment, start_scripted_server, service, answers, retries=1):
        self.contacted = [threading.Event() for _ in answers]
        self.sends = 0
        self._answers, self._lock = answers, threading.Lock()
        profile, kind = ("chat", "engine") if service == "models" else ("orders", "plain")
        limits = {"silence_s": SILENCE_S, "retry_ratio": 0.0, "retry_minimum": retries}
        deployment.configure(**{f"profile__{profile}": limits})
        for _ in answers:
            start_scripted_server(self._answer).register_with(deployment, service, kind)
        self.gateway = deployment.start_gateway()

    def _answer(self, exchange):
        with self._lock:
            number, self.sends = self.sends, self.sends + 1
        if number < len(self.contacted):
            self.contacted[number].set()
            self._answers[number](self, exchange)

    def read_stream(self, **headers):
        """Return the text of a stream, whether it is complete, and its error."""
        return Stream(self.gateway.caller_address, BODY, **headers).finish()

    def get(self):
        return call(self.gateway.caller_address, "GET", "/orders/1", None, bearer_headers())


def make_pausing_stream(sent_tokens):
    """Return an answer that pauses after `sent_tokens` tokens, or before its head if `sent_tokens` is None.

    It resumes `RESUME_DELAY_S` after a second back end was asked.
    """

    def answer(servers, exchange):
        if sent_tokens is not None:
            exchange.begin_stream()
            send_tokens(exchange, 0, sent_tokens)
        assert servers.contacted[1].wait(MAX_WAIT_S)
        time.sleep(RESUME_DELAY_S)
        if sent_tokens is None:
            exchange.begin_stream()
        send_tokens(exchange, sent_tokens or 0, 5)
        exchange.end_stream()

    return answer


def answer_after_pause(servers, exchange):
    assert servers.contacted[1].wait(MAX_WAIT_S)
    time.sleep(RESUME_DELAY_S)
    exchange.write_answer(WHOLE_BODY)


def send_tokens(exchange, start_index, stop_index):
    for token in TOKENS[start_index:stop_index]:
        exchange.write_token(token)


def send_stream(servers, exchange):
    exchange.begin_stream()
    send_tokens(exchange, exchange.resume_from, 5)
    exchange.end_stream()


def send_stream_late(servers, exchange):
    time.sleep(2 * RESUME_DELAY_S)
    send_stream(servers, exchange)


def send_whole(servers, exchange):
    exchange.write_answer(WHOLE_BODY)


def send_whole_late(servers, exchange):
    time.sleep(2 * RESUME_DELAY_S)
    exchange.write_answer(WHOLE_BODY)


def never_answer(servers, exchange):
    """Send nothing until the caller disconnects."""
    exchange.close_connection = True
    exchange.connection.settimeout(MAX_WAIT_S)
    with contextlib.suppress(OSError):
        exchange.rfile.read(1)


def refuse(servers, exchange):
    headers = f"X-Request-Id: {exchange.request_id}\r\n"
    exchange.write_answer(b"{}", "503 Service Unavailable", headers)


def refuse_with_retry_after(servers, exchange):
    headers = f"X-Request-Id: {exchange.request_id}\r\nRetry-After: 3\r\n"
    exchange.write_answer(b"{}", "503 Service Unavailable", headers)


def answer_failure(servers, exchange):
    exchange.write_answer(b"no", "500 Internal Server Error")


def break_off(servers, exchange):
    exchange.close_connection = True


def break_off_after_head(servers, exchange):
    exchange.begin_stream()


def break_off_in_body(servers, exchange):
    exchange.close_connection = True
    exchange.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndo")


def send_error(servers, exchange):
    exchange.begin_stream()
    exchange.write_event({"error": {"message": "out of memory"}})


def restart_stream(servers, exchange):
    exchange.begin_stream()
    send_tokens(exchange, 0, 5)
    exchange.end_stream()


USELESS_ANSWERS = [never_answer, refuse, refuse_with_retry_after, answer_failure, break_off]


def parameter_id(value):
    return getattr(value, "__name__", str(value))


@pytest.mark.parametrize("sent_tokens", [None, 0, 2])
@pytest.mark.parametrize(
    "second_answer", [*USELESS_ANSWERS, break_off_after_head, send_error], ids=parameter_id
)
def test_stream_survives_a_useless_second_back_end(
    deployment, start_scripted_server, sent_tokens, second_answer
):
    """A stream was cut though its back end was healthy and resumed shortly after."""
    servers = ScriptedServers(
        deployment,
        start_scripted_server,
        "models",
        [make_pausing_stream(sent_tokens), second_answer],
    )
    assert servers.read_stream() == (TEXT, True, None)
    assert servers.sends == 2


def test_stream_survives_a_second_back_end_that_restarts_it(deployment, start_scripted_server):
    """A back end that restarts the answer instead of resuming it is useless to the caller."""
    servers = ScriptedServers(
        deployment, start_scripted_server, "models", [make_pausing_stream(4), restart_stream]
    )
    assert servers.read_stream() == (TEXT, True, None)
    assert servers.sends == 2


@pytest.mark.parametrize("second_answer", [*USELESS_ANSWERS, break_off_in_body], ids=parameter_id)
def test_whole_answer_survives_a_useless_second_back_end(
    deployment, start_scripted_server, second_answer
):
    """A request failed though its back end answered shortly after."""
    servers = ScriptedServers(
        deployment, start_scripted_server, "orders", [answer_after_pause, second_answer]
    )
    reply = servers.get()
    assert (reply.status, reply.body) == (200, WHOLE_BODY)
    assert servers.sends == 2


@pytest.mark.parametrize("sent_tokens", [None, 2])
def test_slow_second_back_end_of_a_stream_is_awaited(
    deployment, start_scripted_server, sent_tokens
):
    """With a dead first back end, the caller waits only for the silence limit and the second one."""

    def answer_first(servers, exchange):
        if sent_tokens is not None:
            exchange.begin_stream()
            send_tokens(exchange, 0, sent_tokens)
        never_answer(servers, exchange)

    servers = ScriptedServers(
        deployment, start_scripted_server, "models", [answer_first, send_stream_late]
    )
    assert servers.read_stream() == (TEXT, True, None)
    assert servers.sends == 2
    assert servers.gateway.metric("laburnumreel_retries_total") == 1


def test_slow_second_back_end_of_a_whole_answer_is_awaited(deployment, start_scripted_server):
    servers = ScriptedServers(
        deployment, start_scripted_server, "orders", [never_answer, send_whole_late]
    )
    assert servers.get().body == WHOLE_BODY
    assert servers.sends == 2


def test_third_back_end_is_asked_if_the_second_one_is_silent(deployment, start_scripted_server):
    servers = ScriptedServers(
        deployment,
        start_scripted_server,
        "models",
        [never_answer, never_answer, send_stream],
        retries=2,
    )
    assert servers.read_stream() == (TEXT, True, None)
    assert servers.sends == 3


def test_third_back_end_is_asked_if_the_second_one_refuses(deployment, start_scripted_server):
    servers = ScriptedServers(
        deployment, start_scripted_server, "orders", [never_answer, refuse, send_whole], retries=2
    )
    assert servers.get().body == WHOLE_BODY
    assert servers.sends == 3


@pytest.mark.parametrize("sent_tokens", [None, 2])
def test_hedge_continues_if_the_first_back_end_breaks_off(
    deployment, start_scripted_server, sent_tokens
):
    """The first back end breaks off during a hedge, and no permit is left for a third one."""

    def answer_first(servers, exchange):
        if sent_tokens is not None:
            exchange.begin_stream()
            send_tokens(exchange, 0, sent_tokens)
        assert servers.contacted[1].wait(MAX_WAIT_S)
        time.sleep(RESUME_DELAY_S)
        exchange.close_connection = True

    servers = ScriptedServers(
        deployment, start_scripted_server, "models", [answer_first, send_stream_late]
    )
    assert servers.read_stream() == (TEXT, True, None)
    assert servers.sends == 2


def test_refusal_of_the_first_back_end_does_not_hide_a_hedge_that_may_have_run(
    deployment, start_scripted_server
):
    """The first back end refuses after a hedge was sent, and the second one breaks off later."""

    def refuse_late(servers, exchange):
        assert servers.contacted[1].wait(MAX_WAIT_S)
        time.sleep(RESUME_DELAY_S)
        exchange.write_answer(b"{}", "503 Service Unavailable")

    def break_off_late(servers, exchange):
        time.sleep(3 * RESUME_DELAY_S)
        exchange.close_connection = True

    servers = ScriptedServers(
        deployment, start_scripted_server, "orders", [refuse_late, break_off_late]
    )
    reply = servers.get()
    assert (reply.status != 200, reply.run_state) == (True, "unknown")
    assert servers.sends == 2


def test_refusal_of_the_first_back_end_does_not_hide_an_ended_hedge(
    deployment, start_scripted_server
):
    """The second back end broke off and may have run the request before the first one refused it."""

    def refuse_late(servers, exchange):
        assert servers.contacted[1].wait(MAX_WAIT_S)
        time.sleep(2 * RESUME_DELAY_S)
        exchange.write_answer(b"{}", "503 Service Unavailable")

    servers = ScriptedServers(deployment, start_scripted_server, "orders", [refuse_late, break_off])
    reply = servers.get()
    assert (reply.status != 200, reply.run_state) == (True, "unknown")
    assert servers.sends == 2


def test_failure_of_the_second_back_end_is_used_if_the_first_is_dead(
    deployment, start_scripted_server
):
    """The answer of a plain service is passed to the caller even if it reports a failure."""
    servers = ScriptedServers(
        deployment, start_scripted_server, "orders", [never_answer, answer_failure]
    )
    started = time.monotonic()
    assert (servers.get().status, servers.sends) == (500, 2)
    assert time.monotonic() - started < MAX_WAIT_S


def test_request_that_must_not_run_twice_is_sent_once(deployment, start_scripted_server):
    """A request that must not run twice waits for its silent back end without a hedge."""

    def answer_first(servers, exchange):
        time.sleep(3 * SILENCE_S)
        exchange.write_answer(WHOLE_BODY)

    servers = ScriptedServers(
        deployment, start_scripted_server, "orders", [answer_first, send_whole]
    )
    reply = call(servers.gateway.caller_address, "POST", "/orders/1", None, bearer_headers())
    assert (reply.status, servers.sends) == (200, 1)


def test_answer_is_counted_once_and_the_other_attempt_is_cancelled(
    deployment, start_scripted_server
):
    """The attempt that is not used must be cancelled and must not be counted."""
    servers = ScriptedServers(
        deployment, start_scripted_server, "models", [make_pausing_stream(2), never_answer]
    )
    assert servers.read_stream() == (TEXT, True, None)
    metric = servers.gateway.metric
    wait_until(lambda: metric("laburnumreel_cancels_total") == 1, "a cancel")
    wait_until(lambda: deployment.count_stored_requests() == 1, "the usage")
    assert metric("laburnumreel_retries_total") == 1
    (figures,) = [value["customers"]["hall-a"] for value in deployment.usage_deltas()]
    assert (figures["requests"], figures["output_tokens"]) == (1, 5)


def test_dead_back_end_is_disconnected_when_the_second_one_answers(
    deployment, start_scripted_server
):
    """The connection to a dead back end is closed as soon as the second one answers."""
    disconnected = threading.Event()

    def answer_first(servers, exchange):
        exchange.begin_stream()
        send_tokens(exchange, 0, 2)
        never_answer(servers, exchange)
        disconnected.set()

    servers = ScriptedServers(
        deployment, start_scripted_server, "models", [answer_first, send_stream]
    )
    assert servers.read_stream() == (TEXT, True, None)
    assert disconnected.wait(MAX_WAIT_S / 2)


def test_hedged_answer_to_a_head_request_is_used_at_gateway(deployment, start_scripted_server):
    """The head of an answer to HEAD announces a body that never arrives."""

    def send_head(servers, exchange):
        exchange.wfile.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    servers = ScriptedServers(
        deployment, start_scripted_server, "orders", [never_answer, send_head]
    )
    started = time.monotonic()
    reply = call(servers.gateway.caller_address, "HEAD", "/orders/1", None, bearer_headers())
    assert (reply.status, servers.sends) == (200, 2)
    assert time.monotonic() - started < MAX_WAIT_S


def test_crash_of_the_second_back_end_counts_against_the_request(deployment, start_scripted_server):
    """A request that crashes a second back end must not be sent to a third one."""
    processes = []

    def answer_first(exchange):
        wait_until(lambda: any(process.exit_code is not None for process in processes), "a crash")
        time.sleep(4 * SILENCE_S)
        exchange.close_connection = True

    deployment.configure(profile__chat={"silence_s": SILENCE_S})
    for name in [deployment.add_engine() for _ in range(2)]:
        deployment.engine_faults(name, crash_on=BODY["prompt"])
        processes.append(deployment.engines[name][0])
    engines = list(deployment.hosts)
    deployment.hosts.clear()
    server = start_scripted_server(answer_first)
    server.register_with(deployment)
    gateway = deployment.start_gateway()
    with ThreadPoolExecutor(1) as executor:
        arguments = (gateway.caller_address, "POST", "/v1/completions", BODY, bearer_headers())
        reply_future = executor.submit(call, *arguments)
        wait_until(lambda: server.request_ids, "the first back end to be asked")
        deployment.hosts.extend(engines)
        deployment.set_hosts()
        assert reply_future.result().kind == "quarantined"
    assert sorted(process.exit_code is None for process in processes) == [False, True]
