"""Tests of extracting and removing keys, and of header forwarding."""

from urllib.parse import quote, unquote

from hypothesis import given
from hypothesis import strategies as st

from laburnumreel.protocol import (
    answer_headers,
    find_key,
    forwarded_headers,
    is_safe_target,
    strip_key_from_query,
)

KEY = "lr-Abc_def-0123456789"
names = st.text("abcdefghijklmnopqrstuvwxyz-", min_size=1, max_size=12)
fillers = st.text(st.characters(max_codepoint=0xFF), max_size=12)


def encodings(key):
    """Return encodings of the key that a back end could decode."""
    escaped = "".join(f"%{ord(char):02X}" for char in key)
    return [key, escaped, quote(escaped, safe=""), escaped[:6] + key[2:]]


@st.composite
def texts_with_key(draw):
    return draw(fillers) + draw(st.sampled_from(encodings(KEY))) + draw(fillers)


def decoded_forms(text):
    return {text, unquote(text), unquote(unquote(text))}


@given(st.dictionaries(names, st.one_of(texts_with_key(), fillers), max_size=8), texts_with_key())
def test_no_forwarded_header_holds_the_key(headers, cookie):
    """Guards against forwarding the caller's key to a back end in any header or cookie."""
    headers = {**headers, "cookie": f"a=1; {cookie}; b=2", "authorization": f"Bearer {KEY}"}
    passed = forwarded_headers(headers, KEY)
    assert not [value for _, value in passed for text in decoded_forms(value) if KEY in text]
    assert not {name for name, _ in passed} & {"authorization", "x-api-key"}
    for name, value in passed:
        assert not set(name + value) & {"\r", "\n", "\0"}


@given(st.lists(st.one_of(texts_with_key(), fillers), max_size=6))
def test_no_query_parameter_holds_the_key(parts):
    """Guards against forwarding the key in the query, plain or percent-encoded."""
    query = "&".join(parts)
    stripped = strip_key_from_query(query, KEY)
    assert not [text for text in decoded_forms(stripped) if KEY in text]
    if not [text for text in decoded_forms(query) if KEY in text]:
        assert stripped == query


def test_hop_by_hop_headers_are_not_forwarded():
    """Guards against forwarding hop-by-hop headers and headers that Connection names."""
    headers = {"connection": "close, X-Hop", "x-hop": "1", "te": "trailers", "x-kept": "1"}
    headers |= {"x-resume-from": "5", "x-priority": "9", "idempotency-key": "k"}
    assert dict(forwarded_headers(headers, None)) == {"x-kept": "1", "idempotency-key": "k"}
    answered = [("Connection", "X-Hop"), ("X-Hop", "1"), ("X-Run-State", "not-run"), ("A", "b")]
    assert answer_headers(answered) == [("A", "b")]


@given(st.dictionaries(names, fillers, max_size=4), fillers, fillers)
def test_key_extraction_never_raises(headers, authorization, api_key):
    """Guards against an exception for malformed credentials."""
    found = find_key({**headers, "authorization": authorization, "x-api-key": api_key})
    assert found.is_error() or found.ok is None or found.ok.strip() == found.ok


def test_two_different_keys_are_refused():
    """Guards against checking a request with one key but removing the other."""
    assert find_key({"authorization": "Bearer a", "x-api-key": "b"}).is_error()
    assert find_key({"authorization": "bearer a", "x-api-key": "a"}).ok == "a"


def test_ambiguous_targets_are_unsafe():
    """Guards against bypassing the route check where a back end decodes the path differently."""
    for path in ("/a/../b", "/a//b", "/a/./b", "/a\\b", "/a b", "a", "/a/.."):
        assert not is_safe_target(path, path)
    assert not is_safe_target("/a/b", "/a%2Fb")
    assert not is_safe_target("/a/../b", "/a/%2e%2e/b")
    assert is_safe_target("/orders/12-a", "/orders/12%2Da")
