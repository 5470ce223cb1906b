"""What callers asked and servers held in a soak with silent servers, and what of it breaks a rule.

The rules are those of the platform: a request that was read whole ends with a complete answer unless its server
broke off, its time was over or its host was killed, however long a sound server is silent.
"""

import threading
from bisect import bisect_right
from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from platform_answers import event
from repeat_count import RetryCounter

# The times of the platform's rules: a request that was not passed on may end with its connection this
# soon; a final answer comes this late after the route's timeout at most; a configuration may be in
# force this long after the next one; a process is killed this long after SIGTERM, and requests sent
# this soon after it may run into its last sixth.
LOST_S, ANSWER_S, CONFIG_S, GRACE_S, STOP_SENT_S = 0.2, 0.5, 3.0, 8.0, 3.0
# What a caller's clock and the host's may differ in when a request's time is over.
EDGE_S = 0.05

PROMISES = (408, 421, 429, 503)
DENIALS = (400, 401, 403, 404, 413, 431)
# Kinds of routes that may run once at most, and those whose answers are streams.
ONCE, STREAMS = ("once", "ask"), ("ask", "talk")


class Finding(NamedTuple):
    kind: str
    request_id: str
    text: str


class Version(NamedTuple):
    """A configuration as it was written: the time, and each route's timeout, attempts and services."""

    at: float
    timeouts_s: dict[str, float]
    attempts: dict[str, int]
    services: dict[str, frozenset[str]]


@dataclass(eq=False)
class Held:
    """A send that reached a server. `end` is whole, left (by the relay), broke (by the server) or open.

    `silences` are the places in which the server stood still, with the times of it.
    """

    request_id: str
    server: str
    service: str
    only_read: bool
    arrived_at: float
    ran_at: float | None = None
    ended_at: float | None = None
    end: str = "open"
    silences: list[tuple[str, float, float]] = field(default_factory=list)
    # Writes that a server which stands still has made already.
    passes: int = 0


@dataclass
class Asked:
    """A request of a caller. `end` is whole, closed (without a head), cut, unanswered, unsent or left."""

    request_id: str
    path: str
    route: str
    kind: str
    relay: str
    kept: bool
    deadline_s: float
    wanted: bytes
    sent_at: float = 0.0
    status: int = 0
    own: bool = False
    signature: str | None = None
    first_at: float | None = None
    ended_at: float = 0.0
    end: str = "unsent"
    body: bytes = b""


class History:
    """Records of one seed; written by many threads."""

    def __init__(self, retry):
        self._lock = threading.Lock()
        self._retry = retry
        self.asked, self.versions = [], []
        self.held = {}
        self.repeats = {}
        # Hosts that were told to stop, and those that were killed without notice.
        self.stops, self.kills = {}, {}
        # Requests that met a server that was gone.
        self.met_gone = set()

    def arrived(self, request_id, server, service, only_read, at):
        held = Held(request_id, server, service, only_read, at)
        with self._lock:
            self.held.setdefault(request_id, []).append(held)
        self._repeats(service).arrived(request_id, at, only_read)
        return held

    def asks(self, asked):
        with self._lock:
            self.asked.append(asked)
        for service in self.services(asked):
            self._repeats(service).requested(asked.sent_at)

    def _repeats(self, service):
        with self._lock:
            return self.repeats.setdefault(service, RetryCounter(self._retry))

    def _in_force(self, asked):
        """Return the configurations that may have been in force when a request came."""
        newest = bisect_right([version.at for version in self.versions], asked.sent_at + EDGE_S)
        oldest = bisect_right([version.at for version in self.versions], asked.sent_at - CONFIG_S)
        return self.versions[max(0, oldest - 1) : newest]

    def services(self, asked):
        named = [version.services.get(asked.route, ()) for version in self._in_force(asked)]
        return frozenset(service for services in named for service in services)

    def timeouts_s(self, asked):
        named = [version.timeouts_s.get(asked.route) for version in self._in_force(asked)]
        return [timeout_s for timeout_s in named if timeout_s is not None] or [asked.deadline_s]

    def attempts(self, asked):
        return max(
            (version.attempts.get(asked.route, 1) for version in self._in_force(asked)), default=1
        )

    def holds(self, asked):
        return self.held.get(asked.request_id, [])

    def patience_s(self, asked):
        """Return the shortest time after which a request may be given up."""
        return min(asked.deadline_s, *self.timeouts_s(asked))

    def excuse(self, asked):
        """Return why a request may end without a complete answer, or nothing."""
        if asked.ended_at - asked.sent_at >= self.patience_s(asked) - EDGE_S:
            return "time"
        if any(
            held.end == "broke" and held.ended_at <= asked.ended_at + EDGE_S
            for held in self.holds(asked)
        ):
            return "broke"
        killed_at = self.kills.get(asked.relay)
        if killed_at is not None and asked.ended_at >= killed_at - EDGE_S:
            return "killed"
        stopped_at = self.stops.get(asked.relay, float("inf"))
        last_sixth = stopped_at + GRACE_S * 5 / 6
        if asked.sent_at <= stopped_at + STOP_SENT_S and asked.ended_at >= last_sixth:
            return "grace"
        if not self.holds(asked) and asked.ended_at - asked.sent_at <= LOST_S:
            return "crossed"
        return ""


def check(history):
    """Return the findings of a history."""
    found = []
    for asked in history.asked:
        found += [
            Finding(kind, asked.request_id, text) for kind, text in _judge(history, asked) if text
        ]
    for service, count in history.repeats.items():
        excess = count.worst_excess()
        if excess > 0:
            text = f"{service}: {excess:.1f} repeated sends beyond the budget"
            found.append(Finding("budget", "", text))
    if not any(asked.end == "whole" and asked.status == 200 for asked in history.asked):
        found.append(Finding("served", "", "nothing was served"))
    return found


def _judge(history, asked):
    holds = history.holds(asked)
    ran = [held for held in holds if held.ran_at is not None and not held.only_read]
    if asked.kind in ONCE and len(ran) > 1:
        yield "twice", f"ran {len(ran)} times"
    lasting = {held.server for held in ran if held.end != "broke"}
    if len(lasting) > history.attempts(asked):
        yield "attempts", f"ran on {len(lasting)} servers, {history.attempts(asked)} are allowed"
    if asked.end in ("unsent", "left"):
        return
    took_s = asked.ended_at - asked.sent_at
    if took_s > max(history.timeouts_s(asked)) + ANSWER_S:
        yield "late", f"ended {took_s:.3f} s after it was sent, with {asked.end}"
    if asked.end != "whole" and not history.excuse(asked):
        yield asked.end, f"after {took_s:.3f} of {history.patience_s(asked):.1f} s"
    if asked.end == "whole" and asked.status in PROMISES and ran:
        yield "promise", f"{asked.status}, and it ran"
    if asked.status in (*DENIALS, 500) and asked.route in ("safe", "once", "ask", "talk"):
        yield "denied", f"{asked.status} for a proper request"
    if asked.status == 200:
        yield "body", _body_fault(asked)
        if asked.signature != f"s.{asked.request_id}":
            yield "body", f"signature {asked.signature}"


def _body_fault(asked):
    """Return what is wrong with the body of a success; a cut one may lack its end."""
    if asked.end == "whole":
        if asked.body != asked.wanted:
            return f"complete with {len(asked.body)} of {len(asked.wanted)} bytes, or other bytes"
        return ""
    return "" if asked.wanted.startswith(asked.body) else "pieces missing, twice or out of order"


def wanted_stream(count):
    return b"".join(event(number) for number in range(1, count + 1))


def wanted_body(request_id, size):
    return f"for {request_id} ".encode().ljust(size, b".")


def outcomes(history):
    """Return counts of how requests ended; those without a complete answer by what excuses them."""
    counts = Counter()
    for asked in history.asked:
        if asked.end in ("whole", "left", "unsent"):
            counts[str(asked.status) if asked.end == "whole" else asked.end] += 1
        else:
            counts[f"{asked.end}-{history.excuse(asked) or 'FOUND'}"] += 1
    return dict(sorted(counts.items()))


def given_up_early(history):
    """Return requests that a relay failed itself before their time, though no server broke off."""
    return [
        asked
        for asked in history.asked
        if asked.end == "whole"
        and asked.own
        and asked.status in (502, 504)
        and not any(held.end == "broke" for held in history.holds(asked))
        and asked.ended_at - asked.sent_at < history.patience_s(asked) - EDGE_S
    ]


class Met(NamedTuple):
    """Requests that may go elsewhere and met a server that was gone; times to the first byte of those served."""

    count: int
    first_ms: list[float]


def met_gone(history):
    met = [
        asked
        for asked in history.asked
        if asked.request_id in history.met_gone and asked.kind not in ONCE and asked.end != "left"
    ]
    served = [asked for asked in met if asked.status == 200 and asked.end == "whole"]
    return Met(len(met), [1000 * (asked.first_at - asked.sent_at) for asked in served])


def silences(history):
    """Return how often servers that are sound stood still in each place, and were left there."""
    counts = Counter()
    for held in (held for holds in list(history.held.values()) for held in holds):
        for place, _, end in held.silences if held.end != "broke" else ():
            where = place.partition(" (")[0]
            counts[where] += 1
            counts[f"{where}, left"] += held.end == "left" and end >= held.ended_at - EDGE_S
    return dict(sorted(counts.items()))
