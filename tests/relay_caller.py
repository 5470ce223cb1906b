"""A caller of a relay, for tests."""

import http.client
import itertools

from laburnumreel_standins.caller import BODY_BYTES_SHOWN, last_answers

_ids = itertools.count(1)


class Caller:
    """A caller's connection."""

    def __init__(self, relay, timeout_s=8.0):
        self.connection = http.client.HTTPConnection(relay.host, relay.port, timeout=timeout_s)

    def ask(self, path, method="POST", body=b"{}", key="key-a", **headers):
        """Return status, headers by lower-case name, and body."""
        self.send(path, method, body, key, **headers)
        answer = self.connection.getresponse()
        found = {name.lower(): value for name, value in answer.getheaders()}
        text = f"{method} {path}: {answer.status}, {found}"
        try:
            whole = answer.read()
        except http.client.HTTPException as error:
            last_answers.append(f"{text}, {error!r}")
            raise
        last_answers.append(f"{text}, {whole[:BODY_BYTES_SHOWN]!r}")
        return answer.status, found, whole

    def send(self, path, method="POST", body=b"{}", key="key-a", **headers):
        sent = {"Host": "shop.example", "Request-Id": f"req{next(_ids)}", "Deadline-Ms": "3000"}
        if key is not None:
            sent["Key"] = key
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        self.connection.request(method, path, body, sent)


PROMPT = {"Model_Id": "m", "Token_Usage": "3000,50", "Prefix_Hash": "aa:2500,bb:500"}
