"""Tests of the gateway process with callers, back ends and the platform."""

import json

import openai
import pytest

from laburnumreel_standins._text import output_text
from laburnumreel_standins.caller import KEY, MODEL, Stream, bearer_headers, call
from laburnumreel_standins.deployment import CREDENTIAL, OTHER_KEY
from laburnumreel_standins.processes import wait_until

pytestmark = pytest.mark.processes


@pytest.fixture
def gateway(deployment):
    deployment.configure()
    deployment.add_engine()
    return deployment.start_gateway()


def make_client(gateway):
    host, port = gateway.caller_address
    return openai.OpenAI(base_url=f"http://{host}:{port}/v1", api_key=KEY, max_retries=0)


def expected_chat_text(content, tokens):
    return output_text(f"user\n{content}\n", tokens)


def test_openai_client_works_unchanged(deployment, gateway):
    """Guards against answers that the public OpenAI client library does not accept."""
    client = make_client(gateway)
    messages = [{"role": "user", "content": "quote 12 crates"}]
    wait_until(
        lambda: call(gateway.caller_address, "GET", "/v1/models", None, bearer_headers()).status
        == 200,
        "",
    )
    whole = client.chat.completions.create(model=MODEL, messages=messages, max_tokens=20)
    assert whole.choices[0].message.content == expected_chat_text("quote 12 crates", 20)
    assert whole.usage.completion_tokens == 20
    pieces = client.chat.completions.create(
        model=MODEL, messages=messages, max_tokens=20, stream=True
    )
    text = "".join(c.delta.content or "" for piece in pieces for c in piece.choices)
    assert text == expected_chat_text("quote 12 crates", 20)
    completion = client.completions.create(model=MODEL, prompt="an order", max_tokens=7)
    assert completion.choices[0].text == output_text("an order", 7)
    assert [model.id for model in client.models.list()] == [MODEL]
    assert client.models.retrieve(MODEL).id == MODEL
    with pytest.raises(openai.AuthenticationError) as caught:
        client.with_options(api_key="lr-unknown").models.list()
    assert caught.value.code == "unknown_key"
    wait_until(lambda: deployment.count_stored_requests() == 3, "usage")


def test_caller_key_never_reaches_a_back_end(deployment, gateway):
    """Guards against leaking a caller's key to a back end, which could misuse it."""
    plain = deployment.add_plain_server()
    headers = {
        "X-Api-Key": KEY,
        "Cookie": f"theme=dark; session={KEY}",
        "X-Custom": f"prefix {KEY}",
        "X-Kept": "yes",
    }
    path = f"/orders/list?token={KEY}&page=2"
    wait_until(
        lambda: call(gateway.caller_address, "GET", path, None, headers).status == 200,
        "the plain server",
    )
    method, target, seen, _ = plain.requests[-1]
    assert (method, target) == ("GET", "/orders/list?page=2")
    assert seen["x-kept"] == "yes" and seen["cookie"] == "theme=dark"
    assert seen["authorization"] == f"Bearer {CREDENTIAL}"
    body = {"model": MODEL, "prompt": "hello", "max_tokens": 3}
    assert (
        call(gateway.caller_address, "POST", "/v1/completions", body, bearer_headers()).status
        == 200
    )
    records = json.dumps([plain.requests[-1][:3], deployment.engine_state("engine-0")])
    assert KEY not in records and CREDENTIAL in records


def test_plain_answers_pass_through(deployment, gateway):
    """Guards against changes to the status, headers or body of a plain service's answer."""
    plain = deployment.add_plain_server()
    wait_until(
        lambda: call(gateway.caller_address, "GET", "/orders/ping").status == 200, "open route"
    )
    reply = call(
        gateway.caller_address, "POST", "/orders/new", b"12 crates", bearer_headers(OTHER_KEY)
    )
    assert reply.status == 201 and reply.headers["x-plain"] == "yes"
    assert reply.json["path"] == "/orders/new" and plain.requests[-1][3] == b"12 crates"
    assert call(gateway.caller_address, "GET", "/orders/new").kind == "missing_key"


def test_stream_passes_each_token_on(deployment, gateway):
    """Guards against tokens being buffered until the end of the answer."""
    stream = Stream(gateway.caller_address, {"prompt": "steady", "max_tokens": 12})
    assert stream.answer.status == 200 and stream.answer.getheader("X-Request-Id")
    assert stream.finish() == (output_text("steady", 12), True, None)
