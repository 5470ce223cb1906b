"""Tests of request bodies and server-sent events."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from laburnumreel.protocol import AnswerBuilder, SseParser, parse_model_request, sse_event

CHAT = {"model": "m", "messages": [{"role": "user", "content": "hello"}]}
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda children: st.lists(children, max_size=3)
    | st.dictionaries(st.text(max_size=5), children, max_size=3),
    max_leaves=6,
)
lines = st.text(st.characters(codec="utf-8", exclude_characters="\r\n"), max_size=20)


@given(
    st.lists(st.lists(lines, min_size=1, max_size=3), max_size=8),
    st.sampled_from(["\n", "\r\n", "\r"]),
    st.lists(st.integers(0, 400), max_size=20),
)
def test_events_do_not_depend_on_read_boundaries(events, end, cuts):
    """Guards against an event that is lost, merged or split at a read boundary."""
    raw = b""
    for event in events:
        raw += f": comment{end}event: x{end}".encode()
        raw += "".join(f"data: {line}{end}" for line in event).encode() + end.encode()
    parser, found, start = SseParser(), [], 0
    for cut in sorted(cut for cut in cuts if cut < len(raw)) + [len(raw)]:
        found += parser.feed(raw[start:cut])
        start = cut
    assert found == ["\n".join(event).encode() for event in events]


@given(lines)
def test_written_events_are_read_back(payload):
    """Guards against an event that clients parse differently from what was written."""
    assert SseParser().feed(sse_event(payload.encode())) == [payload.encode()]


@given(
    st.dictionaries(st.sampled_from([*CHAT, "prompt", "n", "stream", "max_tokens"]), json_values)
)
def test_any_body_is_accepted_or_refused(fields):
    """Guards against an exception for a body with values of unexpected types."""
    for chat in (True, False):
        parsed = parse_model_request(json.dumps({**CHAT, **fields}).encode(), chat)
        if parsed.is_ok():
            assert parsed.ok.output_tokens >= 1 and parsed.ok.prompt_tokens >= 1
        else:
            assert parsed.error.detail


@given(st.binary(max_size=30))
def test_any_bytes_are_accepted_or_refused(raw):
    """Guards against an exception for a body that is not JSON."""
    assert parse_model_request(raw, True).is_error()


@pytest.mark.parametrize(
    "fields",
    [
        {"max_tokens": -1},
        {"max_tokens": 0},
        {"max_tokens": 1.5},
        {"max_tokens": True},
        {"max_completion_tokens": "9"},
        {"messages": []},
        {"messages": "hello"},
        {"messages": [{"content": "x"}]},
        {"messages": [{"role": "user"}]},
        {"model": 3},
        {"stream": "yes"},
        {"n": 0},
        {"n": 10**9},
        {"temperature": -1},
        {"top_p": "high"},
    ],
)
def test_bad_fields_are_named(fields):
    """Guards against a refusal that does not name the invalid field."""
    refusal = parse_model_request(json.dumps({**CHAT, **fields}).encode(), True).error
    assert next(iter(fields)).split("[")[0] in refusal.detail


def test_builder_joins_text_and_tool_calls():
    """Guards against losing parts of an answer when a stream is joined into one body."""
    builder = AnswerBuilder(chat=True)
    call = {"index": 0, "id": "c", "type": "function", "function": {"name": "f", "arguments": "{"}}
    more = {"index": 0, "function": {"arguments": "}"}}
    for delta, reason in (
        ({"role": "assistant", "content": ""}, None),
        ({"content": "a"}, None),
        ({"content": "b", "tool_calls": [call]}, None),
        ({"tool_calls": [more]}, None),
        ({}, "tool_calls"),
    ):
        choices = [{"index": 0, "delta": delta, "finish_reason": reason}]
        builder.add({"id": "r", "created": 1, "model": "m", "choices": choices})
    builder.add({"id": "r", "choices": [], "usage": {"completion_tokens": 4}})
    answer = builder.answer()
    message = answer["choices"][0]["message"]
    assert message["content"] == "ab" and answer["usage"] == {"completion_tokens": 4}
    assert answer["choices"][0]["finish_reason"] == "tool_calls"
    assert message["tool_calls"] == [
        {"id": "c", "type": "function", "function": {"name": "f", "arguments": "{}"}}
    ]
