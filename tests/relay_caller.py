"""A test client that calls a relay."""

import http.client
import itertools
import threading

from laburnumreel_standins.caller import MAX_SHOWN_BODY_BYTES, last_answers

_ids = itertools.count(1)


class Caller:
    """A caller with one connection to a relay. Keyword arguments are further headers."""

    def __init__(self, relay, timeout_s=8.0):
        self.connection = http.client.HTTPConnection(relay.host, relay.port, timeout=timeout_s)

    def ask(self, path, method="POST", body=b"{}", key="key-a", **headers):
        """Send a request and return status, headers by lower-case name, and body.

        The answer is recorded for the report of a failing test.
        """
        self.send(path, method, body, key, **headers)
        answer = self.connection.getresponse()
        answer_headers = {name.lower(): value for name, value in answer.getheaders()}
        summary = f"{method} {path}: {answer.status}, {answer_headers}"
        try:
            answer_body = answer.read()
        except http.client.HTTPException as error:
            last_answers.append(f"{summary}, {error!r}")
            raise
        last_answers.append(f"{summary}, {answer_body[:MAX_SHOWN_BODY_BYTES]!r}")
        return answer.status, answer_headers, answer_body

    def send(self, path, method="POST", body=b"{}", key="key-a", **headers):
        all_headers = {
            "Host": "shop.example",
            "Request-Id": f"req{next(_ids)}",
            "Deadline-Ms": "3000",
        }
        if key is not None:
            all_headers["Key"] = key
        all_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
        self.connection.request(method, path, body, all_headers)


class BackgroundRequest:
    """A request on a thread of its own. `outcome` is its status, or the error."""

    def __init__(self, relay, path, method="POST", **headers):
        self.outcome = None
        self.error_kind = None
        self._caller = Caller(relay, timeout_s=15)
        self._arguments = (path, method)
        self._headers = headers
        self._thread = threading.Thread(target=self._send)
        self._thread.start()

    def _send(self):
        try:
            self.outcome, headers, _ = self._caller.ask(*self._arguments, **self._headers)
            self.error_kind = headers.get("x-error-kind")
        except (OSError, http.client.HTTPException) as error:
            self.outcome = repr(error)

    def result(self):
        self._thread.join()
        return self.outcome


PROMPT_HEADERS = {"Model_Id": "m", "Token_Usage": "3000,50", "Prefix_Hash": "aa:2500,bb:500"}
