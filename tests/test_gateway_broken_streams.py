"""Streams that broke off, and back ends that answer oddly when they should go on with them."""

import pytest

from laburnumreel_standins.caller import MODEL, Stream, bearer, call
from laburnumreel_standins.processes import wait_until

pytestmark = pytest.mark.processes

START = ["one ", "two ", "three ", "four "]
REST = ["five ", "six "]
ENGINE_WORDS = "words of an engine"
ERROR = b'{"error": {"message": "words of an engine", "code": "odd"}}'


def break_off(exchange):
    exchange.begin_stream()
    for text in START:
        exchange.token(text)


def go_on(exchange):
    exchange.begin_stream()
    for text in (START + REST)[exchange.resume_from :]:
        exchange.token(text)
    exchange.end_stream()


def error_answer(status):
    return lambda exchange: exchange.whole(ERROR, status)


def busy_until(exchange):
    exchange.whole(ERROR, "503 Service Unavailable", "Retry-After: 7\r\n")


def whole_json(exchange):
    body = b'{"choices": [{"index": 0, "text": "five six", "finish_reason": "stop"}]}'
    exchange.whole(body, headers="Content-Type: application/json\r\n")


def empty(exchange):
    exchange.begin_stream()


def end_alone(exchange):
    exchange.begin_stream()
    exchange.event(b"[DONE]")


def error_event(exchange):
    exchange.begin_stream()
    exchange.event({"error": {"message": ENGINE_WORDS}})
    exchange.end_stream()


def from_the_start(exchange):
    exchange.begin_stream()
    for text in START + REST:
        exchange.token(text)
    exchange.end_stream()


def raw_answer(head, *pieces):
    """Return a script that writes an answer as it is, in pieces, and closes."""

    def script(exchange):
        exchange.close_connection = True
        names = f"X-Request-Id: {exchange.request_id}\r\nContent-Type: text/event-stream\r\n"
        for piece in (f"HTTP/1.1 {head}\r\n{names}\r\n".encode(), *pieces):
            exchange.wfile.write(piece)

    return script


def error_without_id(exchange):
    exchange.begin_stream()
    exchange.wfile.write(b'event: error\ndata: {"message": "words of an engine"}\n\n')
    exchange.event(b"[DONE]")


def end_cut(exchange):
    exchange.begin_stream()
    exchange.event({"choices": [{"index": 0, "text": "", "finish_reason": "stop"}]})
    exchange.wfile.write(b"data: [DONE]\n")


ODD = {
    "206": error_answer("206 Partial Content"),
    "302": error_answer("302 Found"),
    "101": raw_answer("101 Switching Protocols", ERROR),
    "500 after interim answers": raw_answer(
        "100 Continue", b"HTTP/1.1 103 Early\r\n\r\n", b"HTTP/1.1 500 Oops\r\n\r\n", ERROR
    ),
    "a head in the stream": raw_answer("200 OK", b"HTTP/1.1 500 Oops\r\n\r\n", ERROR, b"\n\n"),
    "an error event without id": error_without_id,
    "an end that is cut": end_cut,
    "400": error_answer("400 Bad Request"),
    "429": error_answer("429 Too Many Requests"),
    "500": error_answer("500 Internal Server Error"),
    "503": error_answer("503 Service Unavailable"),
    "503 with a time": busy_until,
    "JSON": whole_json,
    "empty": empty,
    "[DONE] alone": end_alone,
    "error event": error_event,
    "from the start": from_the_start,
}


def play(deployment, start_scripted_server, *scripts):
    """Let the requests that come to the service one after another meet these scripts."""
    met = []

    def script(exchange):
        met.append(exchange.resume_from)
        scripts[min(len(met), len(scripts)) - 1](exchange)

    deployment.configure()
    for _ in range(3):
        start_scripted_server(script).list_in(deployment)
    return deployment.start_gateway(), met


@pytest.mark.parametrize("odd", ODD)
def test_stream_that_broke_does_not_look_complete(deployment, start_scripted_server, odd):
    """Words of an engine, a repeated start or an end came into the middle of a caller's stream."""
    gateway, met = play(deployment, start_scripted_server, break_off, ODD[odd])
    stream = Stream(gateway.callers, {"prompt": "x", "max_tokens": 9})
    text, done, error = stream.finish()
    assert text == "".join(START) and not done
    assert error in ("back_end_lost", "incomplete_answer", "back_end_refused"), stream.raw
    assert b'"run_state":"unknown"' in stream.raw
    assert ENGINE_WORDS.encode() not in stream.raw and b'"stop"' not in stream.raw
    assert met[1] == len(START)


@pytest.mark.parametrize("odd", ODD)
def test_stream_goes_on_at_the_next_engine_after_an_odd_answer(
    deployment, start_scripted_server, odd
):
    """One engine that can't go on with a stream must not end it while others can."""
    gateway, met = play(deployment, start_scripted_server, break_off, ODD[odd], go_on)
    stream = Stream(gateway.callers, {"prompt": "x", "max_tokens": 9})
    assert stream.finish() == ("".join(START + REST), True, None), stream.raw
    assert met == [0, len(START), len(START)]


def test_stream_that_resumes_with_words_of_its_start_is_sound(deployment, start_scripted_server):
    """A text may say again what it began with."""

    def again(exchange):
        exchange.begin_stream()
        for text in [*START[:3], "eight "]:
            exchange.token(text)
        exchange.end_stream()

    gateway, _ = play(deployment, start_scripted_server, break_off, again)
    stream = Stream(gateway.callers, {"prompt": "x", "max_tokens": 9})
    assert stream.finish() == ("".join([*START, *START[:3], "eight "]), True, None)


def test_repeated_start_that_only_the_count_shows_has_no_end(deployment, start_scripted_server):
    """A start of one token says nothing; the engine's own count of the whole answer does."""

    def begun(exchange):
        exchange.begin_stream()
        exchange.token(START[0])

    def anew(exchange):
        exchange.begin_stream()
        for text in START:
            exchange.token(text)
        usage = {"prompt_tokens": 1, "completion_tokens": len(START)}
        exchange.event({"choices": [], "usage": usage})
        exchange.end_stream()

    gateway, _ = play(deployment, start_scripted_server, begun, anew)
    text, done, error = Stream(gateway.callers, {"prompt": "x", "max_tokens": 9}).finish()
    assert (done, error) == (False, "back_end_lost"), text


def test_rejection_after_a_run_is_no_proof_that_nothing_ran(deployment, start_scripted_server):
    """A caller was told "not run" for a request that its first engine had run, and its key was freed."""

    def run_and_drop(exchange):
        exchange.close_connection = True

    gateway, met = play(deployment, start_scripted_server, run_and_drop, ODD["400"])
    body = {"model": MODEL, "prompt": "x", "max_tokens": 9}
    reply = call(gateway.callers, "POST", "/v1/completions", body, bearer(Idempotency_Key="k1"))
    assert (reply.status, reply.run_state) == (400, "unknown")
    wait_until(
        lambda: (
            call(
                gateway.callers, "POST", "/v1/completions", body, bearer(Idempotency_Key="k1")
            ).kind
            == "idempotency_unknown"
        ),
        "the key to be kept",
    )
    assert len(met) == 2


def test_tokens_that_come_with_an_odd_event_reach_the_caller(deployment, start_scripted_server):
    """Tokens were counted as delivered and dropped, and the stream went on behind them."""

    def break_off_at_once(exchange):
        exchange.begin_stream()
        exchange.token(START[0])
        chunk = f'{{"id":"{exchange.request_id}","choices":[{{"index":0,"text":"{START[1]}"}}]}}'
        exchange.wfile.write(f"data: {chunk}\n\ndata: no chunk\n\n".encode())

    gateway, met = play(deployment, start_scripted_server, break_off_at_once, go_on)
    stream = Stream(gateway.callers, {"prompt": "x", "max_tokens": 9})
    assert stream.finish() == ("".join(START + REST), True, None), stream.raw
    assert met == [0, 2]
