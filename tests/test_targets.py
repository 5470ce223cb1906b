"""Tests of request targets: the route and the bytes that are sent on agree for any target."""

import io
import socket
import string

import pytest
from hypothesis import given
from hypothesis import strategies as st
from laburnumreel_platform._callers import CallerProtocol
from platform_answers import send_whole
from relay_caller import Caller

from laburnumreel.protocol import parse_target

VISIBLE = "".join(sorted(set(string.printable) - set(string.whitespace) - {"#"}))
# Pieces that parsers of URLs treat in their own ways.
PIECES = ["http://", "://", "//", "/..", "/.", "%2f", "%2e%2e", "?", "@", ":", "*", "\\", ";", "/"]
text = st.lists(st.sampled_from(PIECES) | st.text(VISIBLE, max_size=4), max_size=8).map("".join)


def read_request(target, host="shop.example", method="GET"):
    environ = {
        "REQUEST_URI": target,
        "REQUEST_METHOD": method,
        "HTTP_HOST": host,
        "wsgi.input": io.BytesIO(),
    }
    return CallerProtocol().request(environ, 0.0)


@given(text)
def test_path_is_sent_on_as_the_caller_wrote_it(rest):
    """Guards against a URL in a path or query that chooses another route (issue 48, review/4)."""
    target = f"/{rest}"
    request = read_request(target).ok
    assert request.target == target
    assert request.path == target.split("?", 1)[0]
    assert request.host == "shop.example"


@given(text, text)
def test_absolute_target_is_sent_on_as_its_path(path, query):
    """A query with a slash after a host without a path was taken for the path."""
    path, query = path.replace("?", ""), f"?{query}" if query else ""
    path = f"/{path}" if path else ""
    request = read_request(f"http://shop.example{path}{query}").ok
    assert request.path == (path or "/")
    assert request.target == (path or "/") + query


@given(st.text(st.characters(max_codepoint=255), max_size=20))
def test_any_target_is_refused_or_sent_on_as_its_last_bytes(target):
    parsed = parse_target(target)
    if parsed.is_ok():
        assert parsed.ok.path.startswith("/")
        assert target.endswith(parsed.ok.origin_form) or parsed.ok.path == "/"
        assert parsed.ok.origin_form.isascii() and parsed.ok.origin_form.isprintable()


@pytest.mark.parametrize(
    "target",
    [
        "",
        "*",
        "shop.example:80",
        "look/x",
        "ftp://shop.example/x",
        "http://",
        "http:///x",
        "http://user@shop.example/x",
        "javascript://x/look/",
        "/look/x#y",
        "/look/\x00",
        "/look/\x7f",
        "/look/\xe9",
        "/look /x",
    ],
)
def test_other_targets_are_refused(target):
    assert read_request(target).is_error()


def test_request_for_two_hosts_is_refused():
    assert read_request("http://other.example/x").is_error()
    assert read_request("/x", host="shop.example, other.example").is_error()
    assert read_request("http://SHOP.example/x").is_ok()


@pytest.mark.processes
def test_url_in_a_path_does_not_choose_the_route(world):
    """A GET to an idempotent route ran as another path at the service of another route."""
    quotes = world.worker("e1", "quotes", default_answer=send_whole)
    orders = world.worker("w1")
    relay = world.start_relay()
    caller = Caller(relay)
    for target in ("/safe/http://shop.example/ask/x", "/safe/x?of=http://shop.example/ask/x"):
        for method in ("GET", "POST"):
            assert caller.ask(target, method)[0] == 200
            assert orders.seen[-1][:2] == (method, target)
    assert not [seen for seen in quotes.seen if seen[1].startswith(("/ask", "/safe"))]


@pytest.mark.processes
@pytest.mark.parametrize("target", ["http://[", "http://[x]y/safe/x", "/safe/x#y"])
def test_malformed_target_is_answered(world, target):
    """A bracket that is not closed made the relay close the connection without an answer."""
    world.worker("w1")
    relay = world.start_relay()
    with socket.create_connection((relay.host, relay.port), 8) as connection:
        head = f"GET {target} HTTP/1.1\r\nHost: shop.example\r\nKey: key-a\r\n\r\n"
        connection.sendall(head.encode())
        assert connection.recv(65536).startswith(b"HTTP/1.1 400 ")
