"""Servers of several software versions, and callers that take up streams, for tests."""

import http.client
import re
import time

from platform_answers import begin_stream, chunk, close_unanswered, engine
from relay_caller import PROMPT_HEADERS, Caller

EVENTS = 5
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")


class VersionedStream:
    """A server's answer to each request: a stream whose events name the server's version.

    The first `breaks` answers that would send event `break_after` + 1 break off before it, or fall
    silent for `silent_s` if that is given. With `breaks_resumed`, so do those that send no event
    before it.
    """

    def __init__(self, software, breaks=0, break_after=2, silent_s=None):
        self.software = software
        self.breaks = breaks
        self.break_after = break_after
        self.breaks_resumed = False
        self.silent_s = silent_s

    def __call__(self, handler):
        if handler.headers.get("Serving-Stage") == "prefill" or handler.command == "DELETE":
            engine(handler)
            return
        last = int(handler.headers.get("Last-Event-Id") or 0)
        may_break = self.breaks_resumed or last < self.break_after
        begin_stream(handler)
        for number in range(last + 1, EVENTS + 1):
            if self.breaks and may_break and number > self.break_after:
                self.breaks -= 1
                time.sleep(self.silent_s or 0.0)
                close_unanswered(handler)
                return
            chunk(handler, f"id: {number}\ndata: {self.software}\n\n".encode())
        handler.wfile.write(b"0\r\n\r\n")


class Stream:
    """A stream as its caller sees it over all its tries: the events that it has got."""

    def __init__(self, request_id, path="/talk/x", deadline_ms=3000):
        self.request_id = request_id
        self.path = path
        self.deadline_ms = deadline_ms
        self.events = []
        self.tries = 0
        self.is_complete = False
        # Status, headers and duration in seconds of the last try.
        self.status, self.headers, self.took_s = 0, {}, 0.0

    @property
    def versions(self):
        """The versions of the servers that wrote the events."""
        return {version for _, version in self.events}

    def ask(self, relay):
        """Try once at a relay, as a new stream or a take-up, and return whether it is complete."""
        headers = dict(PROMPT_HEADERS, Deadline_Ms=str(self.deadline_ms))
        if self.events:
            headers |= {"Resumes": self.request_id, "Last_Event_Id": str(self.events[-1][0])}
        suffix = f"-{self.tries}" if self.tries else ""
        self.tries += 1
        caller = Caller(relay)
        began = time.monotonic()
        try:
            caller.send(self.path, Request_Id=self.request_id + suffix, **headers)
            answer = caller.connection.getresponse()
            self.status = answer.status
            self.headers = {name.lower(): value for name, value in answer.getheaders()}
            body = self._read(answer)
        finally:
            caller.connection.close()
            self.took_s = time.monotonic() - began
        if self.status == 200:
            self.events += [
                (int(number), version.decode()) for number, version in _EVENT.findall(body)
            ]
        return self.is_complete

    def _read(self, answer):
        try:
            body = answer.read()
        except http.client.IncompleteRead as error:
            return error.partial
        self.is_complete = answer.status == 200
        return body
