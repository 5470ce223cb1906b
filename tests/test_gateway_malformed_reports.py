"""Tests that malformed reports and answers of an engine affect only that engine."""

import json

import pytest
from scripted_server import LOAD_REPORT
from test_gateway_broken_streams import (
    FIRST_TOKENS,
    LAST_TOKENS,
    resume_stream,
    start_gateway_with_scripts,
)

from laburnumreel.coordination import LoadReport
from laburnumreel_standins.caller import MODEL, bearer_headers, call
from laburnumreel_standins.processes import wait_until

DEEPLY_NESTED = b'{"at": ' + b"[" * 200_000
MALFORMED_FIELDS = [
    ("at", "soon"),
    ("at", float("nan")),
    ("at", 10**400),
    ("max_streams", "many"),
    ("max_streams", float("inf")),
    ("max_streams", 10**400),
    ("max_streams", None),
    ("queued_prefill_tokens", float("nan")),
    ("decode_tokens_per_s", [1]),
    ("kv_free_tokens", {}),
    ("models", 5),
    ("models", [[MODEL]]),
    ("role", []),
    ("draining", "no"),
]
MALFORMED_EVENTS = [
    {"events": [{"kind": "stored", "prefix": ["a"]}], "next": 1, "gap": False},
    {"events": [{"kind": "moved", "prefix": "a"}], "next": 1, "gap": False},
    {"events": 5, "next": 1, "gap": False},
    {"events": [], "next": "x", "gap": False},
    {"events": [], "next": 1.5e308, "gap": "yes"},
]


@pytest.mark.parametrize("name, value", MALFORMED_FIELDS)
def test_malformed_field_is_rejected(name, value):
    """A malformed field made the dispatcher raise for all services and requests."""
    with pytest.raises((ValueError, TypeError)):
        LoadReport.from_value({**LOAD_REPORT, name: value})


def test_valid_report_is_read():
    assert LoadReport.from_value(LOAD_REPORT).models == (MODEL,)
    assert LoadReport.from_value({**LOAD_REPORT, "max_streams": 64.0}).max_streams == 64


@pytest.mark.processes
def test_malformed_reports_affect_only_their_engines(deployment, start_scripted_server):
    """The report of a single engine stopped the admission of all requests."""
    deployment.configure()
    reports = [
        json.dumps({**LOAD_REPORT, name: value}).encode() for name, value in MALFORMED_FIELDS
    ]
    events = [json.dumps(value).encode() for value in MALFORMED_EVENTS]
    valid = json.dumps(LOAD_REPORT).encode()
    for report, event in [(each, None) for each in (*reports, DEEPLY_NESTED)] + [
        (valid, each) for each in (*events, DEEPLY_NESTED)
    ]:
        server = start_scripted_server(resume_stream)
        server.report, server.events = report, event or server.events
        server.register_with(deployment)
    deployment.add_engine()
    gateway = deployment.start_gateway()
    body = {"model": MODEL, "prompt": "x", "max_tokens": 2}
    for _ in range(10):
        reply = call(gateway.caller_address, "POST", "/v1/completions", body, bearer_headers())
        assert reply.status == 200, reply
    wait_until(lambda: "report_unreadable" in gateway.process.output, "a log line")
    assert "task_failed" not in gateway.process.output


MALFORMED_CHUNKS = [
    {"choices": 5},
    {"choices": [5]},
    {"choices": [{"index": 0, "text": 5}]},
    {"choices": [{"index": 0, "delta": "x"}]},
    {"choices": [{"index": [0], "text": "x"}]},
    {"choices": [{"index": "first", "text": "x"}]},
    {"choices": [], "usage": [1]},
    {"choices": [{"index": 0, "text": "", "finish_reason": ["stop"]}]},
]


@pytest.mark.processes
@pytest.mark.parametrize("chunk", MALFORMED_CHUNKS, ids=str)
@pytest.mark.parametrize("stream", [True, False])
def test_malformed_chunk_is_a_failure_of_its_engine(
    deployment, start_scripted_server, chunk, stream
):
    """The request failed, or its stream ended silently, though other engines could serve it."""

    def send_chunk(exchange):
        exchange.begin_stream()
        exchange.write_event(chunk)
        exchange.end_stream()

    gateway, _ = start_gateway_with_scripts(
        deployment, start_scripted_server, send_chunk, resume_stream
    )
    body = {"model": MODEL, "prompt": "x", "max_tokens": 9, "stream": stream}
    reply = call(gateway.caller_address, "POST", "/v1/completions", body, bearer_headers())
    assert reply.status == 200 and FIRST_TOKENS[0].encode() in reply.body, reply
    assert (b"[DONE]" in reply.body) == stream and LAST_TOKENS[-1].encode() in reply.body


@pytest.mark.processes
def test_impossible_usage_is_not_charged(deployment, start_scripted_server):
    """An impossible usage figure of one engine put a customer over its rate limit at all gateways."""

    def send_huge_usage(exchange):
        exchange.begin_stream()
        exchange.write_token("one")
        usage = {"prompt_tokens": 10**15, "completion_tokens": 2**63 - 1}
        exchange.write_event({"choices": [], "usage": usage})
        exchange.end_stream()

    deployment.configure(**{"customer/hall-a": {"tokens_per_s": 1000.0}})
    start_scripted_server(send_huge_usage).register_with(deployment)
    gateway = deployment.start_gateway()
    body = {"model": MODEL, "prompt": "x", "max_tokens": 9}
    replies = [
        call(gateway.caller_address, "POST", "/v1/completions", body, bearer_headers()).status
        for _ in range(3)
    ]
    assert replies == [200] * 3


@pytest.mark.processes
@pytest.mark.parametrize("retry_after", ["9" * 400, "²"])
def test_malformed_retry_after_is_ignored(deployment, start_scripted_server, retry_after):
    """A malformed Retry-After header made the request fail with an internal error."""

    def send_refusal(exchange):
        head = f"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\nRetry-After: {retry_after}\r\n\r\n{{}}"
        exchange.wfile.write(head.encode("latin-1"))

    deployment.configure()
    start_scripted_server(send_refusal).register_with(deployment)
    gateway = deployment.start_gateway()
    body = {"model": MODEL, "prompt": "x", "max_tokens": 9}
    reply = call(gateway.caller_address, "POST", "/v1/completions", body, bearer_headers())
    assert (reply.status, reply.run_state) == (503, "not-run")
