"""Engines whose reports and answers are odd: one costs itself and a log line, and nothing else."""

import json

import pytest
from scripted_engine import REPORT
from test_gateway_broken_streams import REST, START, go_on, play

from laburnumreel.coordination import LoadReport
from laburnumreel_standins.caller import MODEL, bearer, call
from laburnumreel_standins.processes import wait_until

DEEP = b'{"at": ' + b"[" * 200_000
ODD_FIELDS = [
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
ODD_EVENTS = [
    {"events": [{"kind": "stored", "prefix": ["a"]}], "next": 1, "gap": False},
    {"events": [{"kind": "moved", "prefix": "a"}], "next": 1, "gap": False},
    {"events": 5, "next": 1, "gap": False},
    {"events": [], "next": "x", "gap": False},
    {"events": [], "next": 1.5e308, "gap": "yes"},
]


@pytest.mark.parametrize("name, value", ODD_FIELDS)
def test_odd_field_makes_no_report(name, value):
    """The dispatcher raised at each look at the engine, for all services and requests."""
    with pytest.raises((ValueError, TypeError)):
        LoadReport.from_value({**REPORT, name: value})


def test_sound_report_is_read():
    assert LoadReport.from_value(REPORT).models == (MODEL,)
    assert LoadReport.from_value({**REPORT, "max_streams": 64.0}).max_streams == 64


@pytest.mark.processes
def test_odd_reports_cost_only_their_engines(deployment, start_scripted_server):
    """One engine's report stopped the admission of all requests."""
    deployment.configure()
    reports = [json.dumps({**REPORT, name: value}).encode() for name, value in ODD_FIELDS]
    events = [json.dumps(value).encode() for value in ODD_EVENTS]
    sound = json.dumps(REPORT).encode()
    for report, event in [(each, None) for each in (*reports, DEEP)] + [
        (sound, each) for each in (*events, DEEP)
    ]:
        server = start_scripted_server(go_on)
        server.report, server.events = report, event or server.events
        server.list_in(deployment)
    deployment.add_engine()
    gateway = deployment.start_gateway()
    body = {"model": MODEL, "prompt": "x", "max_tokens": 2}
    for _ in range(10):
        reply = call(gateway.callers, "POST", "/v1/completions", body, bearer())
        assert reply.status == 200, reply
    wait_until(lambda: "report_unreadable" in gateway.process.output, "a log line")
    assert "task_failed" not in gateway.process.output


ODD_CHUNKS = [
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
@pytest.mark.parametrize("chunk", ODD_CHUNKS, ids=str)
@pytest.mark.parametrize("stream", [True, False])
def test_odd_chunk_is_a_failure_of_its_engine(deployment, start_scripted_server, chunk, stream):
    """The request ended with an internal error, or the stream without any, though others could serve it."""

    def odd(exchange):
        exchange.begin_stream()
        exchange.event(chunk)
        exchange.end_stream()

    gateway, _ = play(deployment, start_scripted_server, odd, go_on)
    body = {"model": MODEL, "prompt": "x", "max_tokens": 9, "stream": stream}
    reply = call(gateway.callers, "POST", "/v1/completions", body, bearer())
    assert reply.status == 200 and START[0].encode() in reply.body, reply
    assert (b"[DONE]" in reply.body) == stream and REST[-1].encode() in reply.body


@pytest.mark.processes
def test_figures_that_no_request_has_are_not_charged(deployment, start_scripted_server):
    """A customer was over its rate for ages, at all gateways, by one engine's figure."""

    def huge(exchange):
        exchange.begin_stream()
        exchange.token("one")
        usage = {"prompt_tokens": 10**15, "completion_tokens": 2**63 - 1}
        exchange.event({"choices": [], "usage": usage})
        exchange.end_stream()

    deployment.configure(**{"customer/hall-a": {"tokens_per_s": 1000.0}})
    start_scripted_server(huge).list_in(deployment)
    gateway = deployment.start_gateway()
    body = {"model": MODEL, "prompt": "x", "max_tokens": 9}
    replies = [
        call(gateway.callers, "POST", "/v1/completions", body, bearer()).status for _ in range(3)
    ]
    assert replies == [200] * 3


@pytest.mark.processes
@pytest.mark.parametrize("retry_after", ["9" * 400, "²"])
def test_odd_time_to_come_back_is_none(deployment, start_scripted_server, retry_after):
    """The request ended with an internal error."""

    def refusal(exchange):
        head = f"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\nRetry-After: {retry_after}\r\n\r\n{{}}"
        exchange.wfile.write(head.encode("latin-1"))

    deployment.configure()
    start_scripted_server(refusal).list_in(deployment)
    gateway = deployment.start_gateway()
    body = {"model": MODEL, "prompt": "x", "max_tokens": 9}
    reply = call(gateway.callers, "POST", "/v1/completions", body, bearer())
    assert (reply.status, reply.run_state) == (503, "not-run")
