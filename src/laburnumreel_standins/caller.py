"""HTTP client of the gateway for tests and benchmarks: whole answers and streams."""

import http.client
import json
from collections import deque
from collections.abc import Iterator
from typing import Any, NamedTuple

KEY = "lr-test-key-of-hall-a"
MODEL = "small"
# Numbers of answers and of body bytes that the report of a failed test shows.
MAX_SHOWN_ANSWERS = 10
MAX_SHOWN_BODY_BYTES = 300

Address = tuple[str, int]

# Descriptions of the last answers of gateways and of failed connections.
last_answers: deque[str] = deque(maxlen=MAX_SHOWN_ANSWERS)


class Reply(NamedTuple):
    """Complete answer. The names of `headers` are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        return json.loads(self.body)

    @property
    def kind(self) -> str | None:
        return self.headers.get("x-error-kind")

    @property
    def run_state(self) -> str | None:
        return self.headers.get("x-run-state")

    def __repr__(self) -> str:
        """Return the cause of a failure first, as assertion messages truncate long texts."""
        return (
            f"<{self.status} kind {self.kind} state {self.run_state} request "
            f"{self.headers.get('x-request-id')} body {self.body[:MAX_SHOWN_BODY_BYTES]!r}>"
        )


def call(
    address: Address,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 40,
) -> Reply:
    """Send a request on a new connection and return the answer.

    A `body` that is not bytes or None is sent as JSON.
    """
    connection = http.client.HTTPConnection(*address, timeout=timeout_s)
    encoded = body if isinstance(body, bytes | None) else json.dumps(body).encode()
    try:
        connection.request(method, path, encoded, headers or {})
        answer = connection.getresponse()
        lower_headers = {name.lower(): value for name, value in answer.getheaders()}
        reply = Reply(answer.status, lower_headers, answer.read())
        if "x-request-id" in lower_headers:
            last_answers.append(f"{method} {path} at {address[0]}:{address[1]}: {reply}")
        return reply
    except (OSError, http.client.HTTPException) as error:
        last_answers.append(f"{method} {path} at {address[0]}:{address[1]}: {error!r}")
        raise
    finally:
        connection.close()


def bearer_headers(key: str = KEY, **headers: str) -> dict[str, str]:
    """Return headers with a customer's key; further names have `_` in place of `-`."""
    extra_headers = {name.replace("_", "-"): value for name, value in headers.items()}
    return {"Authorization": f"Bearer {key}", **extra_headers}


class Stream:
    """Streamed completion whose events the caller reads one by one."""

    def __init__(
        self, address: Address, body: dict[str, Any], headers: dict[str, str] | None = None
    ) -> None:
        self._connection = http.client.HTTPConnection(*address, timeout=40)
        path = "/v1/chat/completions" if "messages" in body else "/v1/completions"
        encoded = json.dumps({"model": MODEL, **body, "stream": True})
        self._connection.request("POST", path, encoded, headers or bearer_headers())
        self.answer = self._connection.getresponse()
        self.received = b""
        last_answers.append(
            f"POST {path} at {address[0]}:{address[1]}: stream, {self.head_summary}"
        )

    @property
    def head_summary(self) -> str:
        """The status, error kind and request id of the answer, for failure messages."""
        lower_headers = {name.lower(): value for name, value in self.answer.getheaders()}
        return (
            f"status {self.answer.status}, kind {lower_headers.get('x-error-kind')}, request "
            f"{lower_headers.get('x-request-id')}"
        )

    def payloads(self) -> Iterator[bytes]:
        """Yield the data of each event as it arrives, until the connection ends."""
        while True:
            line = self.answer.readline()
            if not line:
                return
            self.received += line
            if line.startswith(b"data: "):
                yield line[6:].strip()

    def next_text(self) -> str:
        """Return the text of the next event. Raises AssertionError if there is none."""
        payload = next(self.payloads(), None)
        if payload is None:
            raise AssertionError(
                f"no event; {self.head_summary}, answered {self.received[-2000:]!r}"
            )
        chunk = json.loads(payload)
        assert chunk.get("choices"), f"request {self.answer.getheader('X-Request-Id')}: {chunk}"
        return chunk["choices"][0]["text"]

    def finish(self) -> tuple[str, bool, str | None]:
        """Read the rest of the stream and close the connection.

        Return the remaining text, whether `[DONE]` was received, and the code of an error event
        or None.
        """
        text, done, error = "", False, None
        for payload in self.payloads():
            if payload == b"[DONE]":
                done = True
                continue
            chunk = json.loads(payload)
            if "error" in chunk:
                error = chunk["error"]["code"]
                last_answers.append(
                    f"stream ended by an error; {self.head_summary}: {chunk['error']}"
                )
            for choice in chunk.get("choices", ()):
                text += choice.get("text") or choice.get("delta", {}).get("content") or ""
        self.close()
        return text, done, error

    def close(self) -> None:
        self._connection.close()
