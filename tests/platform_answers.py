"""Scripted responses of backend servers in the stand-in of the users' platform."""

import json
import socket
import time

# A response that belongs to no request of a test.
OTHER_ANSWER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: s.other\r\n"
    b"Content-Length: 5\r\n\r\nother"
)


def echo(handler):
    request_id = handler.headers.get("Request-Id")
    return [("Request-Id", request_id)] if request_id else []


def send_whole(handler, status=200, body=b"done"):
    signature = [("Response-Signature", f"s.{handler.headers.get('Request-Id')}")]
    handler.respond(status, body, [*echo(handler), *signature])


def send_refusal(handler):
    handler.respond(503, headers=[("Not-Executed", "1"), *echo(handler)])


def close_unanswered(handler):
    """Close the connection without a response."""
    handler.close_connection = True
    handler.connection.shutdown(socket.SHUT_RDWR)


def send_truncated(handler):
    handler.wfile.write(
        b"HTTP/1.1 200 OK\r\nRequest-Id: "
        + handler.headers["Request-Id"].encode()
        + b"\r\nResponse-Signature: s\r\nContent-Length: 100\r\n\r\nhalf"
    )
    handler.wfile.flush()
    close_unanswered(handler)


def send_cut_head(handler):
    """Close the connection within the response head, before the `Content-Length` header."""
    handler.wfile.write(
        b"HTTP/1.1 200 OK\r\nRequest-Id: "
        + handler.headers["Request-Id"].encode()
        + b"\r\nResponse-Signature: s\r\nContent-"
    )
    handler.wfile.flush()
    close_unanswered(handler)


def send_cut_head_before_other_answer(handler):
    """Send a response head that is cut in a value, and a response that belongs to another request."""
    handler.wfile.write(
        b"HTTP/1.1 200 OK\r\nRequest-Id: "
        + handler.headers["Request-Id"].encode()
        + b"\r\nResponse-Signature: s\r\nContent-Type: te"
        + OTHER_ANSWER
    )
    handler.wfile.flush()
    close_unanswered(handler)


def send_with_extra_answer(handler):
    """Send a complete response, followed by a response that belongs to no request."""
    send_whole(handler)
    handler.wfile.write(OTHER_ANSWER)


def begin_stream(handler):
    """Send the head of an event stream."""
    handler.send_response_only(200)
    for name, value in echo(handler):
        handler.send_header(name, value)
    handler.send_header("Response-Signature", f"s.{handler.headers.get('Request-Id')}")
    handler.send_header("Content-Type", "text/event-stream")
    handler.send_header("Transfer-Encoding", "chunked")
    handler.end_headers()


def event(number):
    return f"id: {number}\ndata: token{number}\n\n".encode()


def stream(count=5, break_after=None, gap_s=0.0, torn=False):
    """Return a handler that sends an event stream.

    The stream resumes after `Last-Event-Id`. It is closed after event `break_after` if given, with
    the next event cut short if `torn`.
    """

    def answer(handler):
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        begin_stream(handler)
        for number in range(first, count + 1):
            if break_after is not None and number > break_after:
                if torn:
                    chunk(handler, event(number)[:7])
                close_unanswered(handler)
                return
            chunk(handler, event(number))
            time.sleep(gap_s)
        handler.wfile.write(b"0\r\n\r\n")

    return answer


def drip_stream(handler):
    """Send one event, then one byte of the following events every 0.3 s."""
    begin_stream(handler)
    chunk(handler, event(1))
    for byte in event(2) * 5:
        time.sleep(0.3)
        chunk(handler, bytes([byte]))


def chunk(handler, data):
    handler.wfile.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
    handler.wfile.flush()


def engine(handler):
    """Respond like an engine: a prompt copy for the prefill stage, an event stream otherwise."""
    if handler.headers.get("Serving-Stage") == "prefill":
        body = json.dumps({"Handle": "h1", "Tokens": 10, "Version": 1}).encode()
        handler.respond(200, body, [*echo(handler), ("Content-Type", "application/json")])
    elif handler.command == "DELETE":
        handler.respond(200)
    else:
        stream()(handler)
