"""Tests of broken streams, and of back ends that answer incorrectly when asked to resume them."""

import pytest

from laburnumreel_standins.caller import MODEL, Stream, bearer_headers, call
from laburnumreel_standins.processes import wait_until

pytestmark = pytest.mark.processes

FIRST_TOKENS = ["one ", "two ", "three ", "four "]
LAST_TOKENS = ["five ", "six "]
# Engines are chosen at random, so that some of this many streams begin at each of five.
MAX_STREAMS_TO_VERSION = 120
ENGINE_TEXT = "words of an engine"
ERROR_BODY = b'{"error": {"message": "words of an engine", "code": "odd"}}'


def break_off(exchange):
    exchange.begin_stream()
    for text in FIRST_TOKENS:
        exchange.write_token(text)


def resume_stream(exchange):
    exchange.begin_stream()
    for text in (FIRST_TOKENS + LAST_TOKENS)[exchange.resume_from :]:
        exchange.write_token(text)
    exchange.end_stream()


def make_error_answer(status):
    return lambda exchange: exchange.write_answer(ERROR_BODY, status)


def refuse_with_retry_after(exchange):
    exchange.write_answer(ERROR_BODY, "503 Service Unavailable", "Retry-After: 7\r\n")


def answer_with_json(exchange):
    body = b'{"choices": [{"index": 0, "text": "five six", "finish_reason": "stop"}]}'
    exchange.write_answer(body, headers="Content-Type: application/json\r\n")


def answer_empty_stream(exchange):
    exchange.begin_stream()


def send_done_only(exchange):
    exchange.begin_stream()
    exchange.write_event(b"[DONE]")


def send_error_event(exchange):
    exchange.begin_stream()
    exchange.write_event({"error": {"message": ENGINE_TEXT}})
    exchange.end_stream()


def restart_stream(exchange):
    exchange.begin_stream()
    for text in FIRST_TOKENS + LAST_TOKENS:
        exchange.write_token(text)
    exchange.end_stream()


def make_raw_answer(head, *pieces):
    """Return a script that writes a raw answer in pieces and closes the connection."""

    def script(exchange):
        exchange.close_connection = True
        names = f"X-Request-Id: {exchange.request_id}\r\nContent-Type: text/event-stream\r\n"
        for piece in (f"HTTP/1.1 {head}\r\n{names}\r\n".encode(), *pieces):
            exchange.wfile.write(piece)

    return script


def send_error_without_id(exchange):
    exchange.begin_stream()
    exchange.wfile.write(b'event: error\ndata: {"message": "words of an engine"}\n\n')
    exchange.write_event(b"[DONE]")


def send_truncated_end(exchange):
    exchange.begin_stream()
    exchange.write_event({"choices": [{"index": 0, "text": "", "finish_reason": "stop"}]})
    exchange.wfile.write(b"data: [DONE]\n")


MALFORMED_ANSWERS = {
    "206": make_error_answer("206 Partial Content"),
    "302": make_error_answer("302 Found"),
    "101": make_raw_answer("101 Switching Protocols", ERROR_BODY),
    "500 after interim answers": make_raw_answer(
        "100 Continue", b"HTTP/1.1 103 Early\r\n\r\n", b"HTTP/1.1 500 Oops\r\n\r\n", ERROR_BODY
    ),
    "a head in the stream": make_raw_answer(
        "200 OK", b"HTTP/1.1 500 Oops\r\n\r\n", ERROR_BODY, b"\n\n"
    ),
    "an error event without id": send_error_without_id,
    "an end that is cut": send_truncated_end,
    "400": make_error_answer("400 Bad Request"),
    "429": make_error_answer("429 Too Many Requests"),
    "500": make_error_answer("500 Internal Server Error"),
    "503": make_error_answer("503 Service Unavailable"),
    "503 with a time": refuse_with_retry_after,
    "JSON": answer_with_json,
    "empty": answer_empty_stream,
    "[DONE] alone": send_done_only,
    "error event": send_error_event,
    "from the start": restart_stream,
}


def start_gateway_with_scripts(deployment, start_scripted_server, *scripts):
    """Start a gateway whose service runs the scripts for consecutive requests, then the last one.

    Return the gateway and a list of the resume positions of the requests.
    """
    resume_positions = []

    def script(exchange):
        resume_positions.append(exchange.resume_from)
        scripts[min(len(resume_positions), len(scripts)) - 1](exchange)

    deployment.configure()
    for _ in range(3):
        start_scripted_server(script).register_with(deployment)
    return deployment.start_gateway(), resume_positions


@pytest.mark.parametrize("malformed", MALFORMED_ANSWERS)
def test_broken_stream_does_not_look_complete(deployment, start_scripted_server, malformed):
    """An engine's error text, repeated tokens or an end appeared in the middle of a stream."""
    gateway, resume_positions = start_gateway_with_scripts(
        deployment, start_scripted_server, break_off, MALFORMED_ANSWERS[malformed]
    )
    stream = Stream(gateway.caller_address, {"prompt": "x", "max_tokens": 9})
    text, done, error = stream.finish()
    assert text == "".join(FIRST_TOKENS) and not done
    assert error in ("back_end_lost", "incomplete_answer", "back_end_refused"), stream.received
    assert b'"run_state":"unknown"' in stream.received
    assert ENGINE_TEXT.encode() not in stream.received and b'"stop"' not in stream.received
    assert resume_positions[1] == len(FIRST_TOKENS)


@pytest.mark.parametrize("malformed", MALFORMED_ANSWERS)
def test_stream_resumes_at_the_next_engine_after_a_malformed_answer(
    deployment, start_scripted_server, malformed
):
    """An engine that fails to resume a stream must not end it while other engines can resume it."""
    gateway, resume_positions = start_gateway_with_scripts(
        deployment, start_scripted_server, break_off, MALFORMED_ANSWERS[malformed], resume_stream
    )
    stream = Stream(gateway.caller_address, {"prompt": "x", "max_tokens": 9})
    assert stream.finish() == ("".join(FIRST_TOKENS + LAST_TOKENS), True, None), stream.received
    assert resume_positions == [0, len(FIRST_TOKENS), len(FIRST_TOKENS)]


@pytest.mark.parametrize("versions, is_resumed", [("12222", False), ("12221", True)])
def test_stream_resumes_at_its_software_version_only(
    deployment, start_scripted_server, versions, is_resumed
):
    """Guards against a text of which two versions of the engines' software wrote a part each."""
    deployment.configure()
    begun = []

    def make_script(version):
        def script(exchange):
            begun.append((version, exchange.resume_from))
            if version == "2" or exchange.resume_from:
                resume_stream(exchange)
            else:
                break_off(exchange)

        return script

    for version in versions:
        start_scripted_server(make_script(version)).register_with(deployment)
        deployment.hosts[-1]["software"] = version
    deployment.set_hosts()
    gateway = deployment.start_gateway()
    # Few, so that the retry budget allows each of them to be resumed.
    broken = 0
    for number in range(MAX_STREAMS_TO_VERSION):
        begun.clear()
        stream = Stream(gateway.caller_address, {"prompt": f"x{number}", "max_tokens": 9})
        text, done, _ = stream.finish()
        assert len({version for version, _ in begun}) == 1, begun
        if begun[0][0] == "1":
            assert done == is_resumed, (begun, text)
            broken += 1
        if broken == 2:
            break
    assert broken == 2, f"{broken} streams began at version 1"


def test_resumed_stream_may_repeat_some_first_tokens(deployment, start_scripted_server):
    """A text may legitimately repeat some of its first tokens."""

    def repeat_first_tokens(exchange):
        exchange.begin_stream()
        for text in [*FIRST_TOKENS[:3], "eight "]:
            exchange.write_token(text)
        exchange.end_stream()

    gateway, _ = start_gateway_with_scripts(
        deployment, start_scripted_server, break_off, repeat_first_tokens
    )
    stream = Stream(gateway.caller_address, {"prompt": "x", "max_tokens": 9})
    assert stream.finish() == ("".join([*FIRST_TOKENS, *FIRST_TOKENS[:3], "eight "]), True, None)


def test_restart_detected_only_by_token_count_is_an_error(deployment, start_scripted_server):
    """A single first token cannot reveal a restart; the engine's count of output tokens can."""

    def send_first_token(exchange):
        exchange.begin_stream()
        exchange.write_token(FIRST_TOKENS[0])

    def restart_with_usage(exchange):
        exchange.begin_stream()
        for text in FIRST_TOKENS:
            exchange.write_token(text)
        usage = {"prompt_tokens": 1, "completion_tokens": len(FIRST_TOKENS)}
        exchange.write_event({"choices": [], "usage": usage})
        exchange.end_stream()

    gateway, _ = start_gateway_with_scripts(
        deployment, start_scripted_server, send_first_token, restart_with_usage
    )
    text, done, error = Stream(gateway.caller_address, {"prompt": "x", "max_tokens": 9}).finish()
    assert (done, error) == (False, "back_end_lost"), text


def test_rejection_after_a_run_does_not_say_not_run(deployment, start_scripted_server):
    """A request that its first engine had run was reported as "not run" and its key was released."""

    def run_and_drop(exchange):
        exchange.close_connection = True

    gateway, resume_positions = start_gateway_with_scripts(
        deployment, start_scripted_server, run_and_drop, MALFORMED_ANSWERS["400"]
    )
    body = {"model": MODEL, "prompt": "x", "max_tokens": 9}
    reply = call(
        gateway.caller_address,
        "POST",
        "/v1/completions",
        body,
        bearer_headers(Idempotency_Key="k1"),
    )
    assert (reply.status, reply.run_state) == (400, "unknown")
    wait_until(
        lambda: (
            call(
                gateway.caller_address,
                "POST",
                "/v1/completions",
                body,
                bearer_headers(Idempotency_Key="k1"),
            ).kind
            == "idempotency_unknown"
        ),
        "the key to stay claimed",
    )
    assert len(resume_positions) == 2


def test_tokens_read_before_a_malformed_event_reach_the_caller(deployment, start_scripted_server):
    """Tokens were counted as delivered but dropped, and the stream resumed after them."""

    def break_off_at_once(exchange):
        exchange.begin_stream()
        exchange.write_token(FIRST_TOKENS[0])
        chunk = (
            f'{{"id":"{exchange.request_id}","choices":[{{"index":0,"text":"{FIRST_TOKENS[1]}"}}]}}'
        )
        exchange.wfile.write(f"data: {chunk}\n\ndata: no chunk\n\n".encode())

    gateway, resume_positions = start_gateway_with_scripts(
        deployment, start_scripted_server, break_off_at_once, resume_stream
    )
    stream = Stream(gateway.caller_address, {"prompt": "x", "max_tokens": 9})
    assert stream.finish() == ("".join(FIRST_TOKENS + LAST_TOKENS), True, None), stream.received
    assert resume_positions == [0, 2]
