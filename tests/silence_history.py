"""The history of a soak with stalling servers, and the check of it against the platform's rules.

A request that was read completely gets a complete response unless its server broke off, its time
expired or its host was killed, no matter how long a healthy server is silent.
"""

import threading
from bisect import bisect_right
from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from platform_answers import event
from repeat_count import RetryCounter

# Times from the platform's rules, in order: until when a request that was not forwarded may end
# with its connection; how long after the route timeout a final response may arrive; how long a
# configuration may stay in force after the next one; the time from SIGTERM to the kill; until when
# after SIGTERM requests may be sent that run into the last sixth of that time.
MAX_UNFORWARDED_S, RESPONSE_MARGIN_S, CONFIG_OVERLAP_S, GRACE_S, STOP_ACCEPT_S = (
    0.2,
    0.5,
    3.0,
    8.0,
    3.0,
)
# Tolerance between the caller's and the host's view of when the time of a request expires.
CLOCK_TOLERANCE_S = 0.05

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
REJECTION_STATUSES = (400, 401, 403, 404, 413, 431)
# Kinds of routes whose requests may run at most once, and kinds whose responses are streams.
AT_MOST_ONCE_KINDS, STREAM_KINDS = ("once", "ask"), ("ask", "talk")


class Finding(NamedTuple):
    kind: str
    request_id: str
    text: str


class ConfigVersion(NamedTuple):
    """A configuration written at `at`: the timeout, attempts and services of each route."""

    at: float
    timeouts_s: dict[str, float]
    attempts: dict[str, int]
    services: dict[str, frozenset[str]]


@dataclass(eq=False)
class SendRecord:
    """A send that reached a server.

    `end` is whole, left (by the relay), broke (by the server) or open. `silences` are the places
    where the server stalled, each with begin and end.
    """

    request_id: str
    server: str
    service: str
    is_prefill: bool
    arrived_at: float
    ran_at: float | None = None
    ended_at: float | None = None
    end: str = "open"
    silences: list[tuple[str, float, float]] = field(default_factory=list)
    # Number of first writes that go through even while the server is stalled.
    unaffected_writes: int = 0


@dataclass
class RequestRecord:
    """A request of a caller.

    `end` is whole, closed (no response head), cut, unanswered, unsent or left (by the caller).
    """

    request_id: str
    path: str
    route: str
    kind: str
    relay: str
    is_reused: bool
    deadline_s: float
    expected_body: bytes
    sent_at: float = 0.0
    status: int = 0
    is_from_relay: bool = False
    signature: str | None = None
    first_byte_at: float | None = None
    ended_at: float = 0.0
    end: str = "unsent"
    body: bytes = b""


class History:
    """The records of one seed; safe for use by many threads."""

    def __init__(self, retry):
        self._lock = threading.Lock()
        self._retry = retry
        self.requests, self.versions = [], []
        self.sends = {}
        self.repeats = {}
        # Times by host name: of SIGTERM, and of kills without a preceding SIGTERM.
        self.stop_times, self.kill_times = {}, {}
        # IDs of requests that were sent to a dead server.
        self.dead_server_request_ids = set()

    def record_arrival(self, request_id, server, service, is_prefill, at):
        send = SendRecord(request_id, server, service, is_prefill, at)
        with self._lock:
            self.sends.setdefault(request_id, []).append(send)
        self._repeats(service).arrived(request_id, at, is_prefill)
        return send

    def record_request(self, record):
        with self._lock:
            self.requests.append(record)
        for service in self.services(record):
            self._repeats(service).requested(record.sent_at)

    def _repeats(self, service):
        with self._lock:
            return self.repeats.setdefault(service, RetryCounter(self._retry))

    def _configs_in_force(self, record):
        """Return the configurations that may have been in force when a request was sent."""
        newest = bisect_right(
            [version.at for version in self.versions], record.sent_at + CLOCK_TOLERANCE_S
        )
        oldest = bisect_right(
            [version.at for version in self.versions], record.sent_at - CONFIG_OVERLAP_S
        )
        return self.versions[max(0, oldest - 1) : newest]

    def services(self, record):
        per_version = [
            version.services.get(record.route, ()) for version in self._configs_in_force(record)
        ]
        return frozenset(service for services in per_version for service in services)

    def timeouts_s(self, record):
        per_version = [
            version.timeouts_s.get(record.route) for version in self._configs_in_force(record)
        ]
        return [timeout_s for timeout_s in per_version if timeout_s is not None] or [
            record.deadline_s
        ]

    def attempts(self, record):
        return max(
            (version.attempts.get(record.route, 1) for version in self._configs_in_force(record)),
            default=1,
        )

    def find_sends(self, record):
        return self.sends.get(record.request_id, [])

    def give_up_after_s(self, record):
        """Return the shortest time in seconds after which the relay may give up a request."""
        return min(record.deadline_s, *self.timeouts_s(record))

    def find_excuse(self, record):
        """Return why a request may end without a complete response, or an empty string."""
        if record.ended_at - record.sent_at >= self.give_up_after_s(record) - CLOCK_TOLERANCE_S:
            return "time"
        if any(
            send.end == "broke" and send.ended_at <= record.ended_at + CLOCK_TOLERANCE_S
            for send in self.find_sends(record)
        ):
            return "broke"
        killed_at = self.kill_times.get(record.relay)
        if killed_at is not None and record.ended_at >= killed_at - CLOCK_TOLERANCE_S:
            return "killed"
        stopped_at = self.stop_times.get(record.relay, float("inf"))
        last_sixth = stopped_at + GRACE_S * 5 / 6
        if record.sent_at <= stopped_at + STOP_ACCEPT_S and record.ended_at >= last_sixth:
            return "grace"
        if not self.find_sends(record) and record.ended_at - record.sent_at <= MAX_UNFORWARDED_S:
            return "crossed"
        return ""


def check(history):
    """Check a history and return its findings."""
    findings = []
    for record in history.requests:
        findings += [
            Finding(kind, record.request_id, text)
            for kind, text in _check_request(history, record)
            if text
        ]
    for service, count in history.repeats.items():
        excess = count.worst_excess()
        if excess > 0:
            text = f"{service}: {excess:.1f} repeated sends beyond the retry budget"
            findings.append(Finding("budget", "", text))
    if not any(record.end == "whole" and record.status == 200 for record in history.requests):
        findings.append(Finding("served", "", "nothing was served"))
    return findings


def _check_request(history, record):
    sends = history.find_sends(record)
    ran = [send for send in sends if send.ran_at is not None and not send.is_prefill]
    if record.kind in AT_MOST_ONCE_KINDS and len(ran) > 1:
        yield "twice", f"ran {len(ran)} times"
    unbroken_servers = {send.server for send in ran if send.end != "broke"}
    if len(unbroken_servers) > history.attempts(record):
        yield "attempts", f"ran on {len(unbroken_servers)} servers, {history.attempts(record)} allowed"
    if record.end in ("unsent", "left"):
        return
    took_s = record.ended_at - record.sent_at
    if took_s > max(history.timeouts_s(record)) + RESPONSE_MARGIN_S:
        yield "late", f"ended {took_s:.3f} s after it was sent, as {record.end}"
    if record.end != "whole" and not history.find_excuse(record):
        yield record.end, f"after {took_s:.3f} of {history.give_up_after_s(record):.1f} s"
    if record.end == "whole" and record.status in NOT_EXECUTED_STATUSES and ran:
        yield "promise", f"{record.status}, but it ran"
    if record.status in (*REJECTION_STATUSES, 500) and record.route in (
        "safe",
        "once",
        "ask",
        "talk",
    ):
        yield "denied", f"{record.status} for a valid request"
    if record.status == 200:
        yield "body", _body_fault(record)
        if record.signature != f"s.{record.request_id}":
            yield "body", f"signature {record.signature}"


def _body_fault(record):
    """Return what is wrong with the body of a 200 response; a cut one may lack its end."""
    if record.end == "whole":
        if record.body != record.expected_body:
            return f"complete with {len(record.body)} of {len(record.expected_body)} bytes, or other bytes"
        return ""
    return (
        ""
        if record.expected_body.startswith(record.body)
        else "pieces missing, repeated or out of order"
    )


def make_stream(count):
    return b"".join(event(number) for number in range(1, count + 1))


def make_body(request_id, size):
    return f"for {request_id} ".encode().ljust(size, b".")


def count_outcomes(history):
    """Return counts of how requests ended; incomplete responses are counted by their excuse."""
    counts = Counter()
    for record in history.requests:
        if record.end in ("whole", "left", "unsent"):
            counts[str(record.status) if record.end == "whole" else record.end] += 1
        else:
            counts[f"{record.end}-{history.find_excuse(record) or 'FOUND'}"] += 1
    return dict(sorted(counts.items()))


def find_early_failures(history):
    """Return requests that a relay itself failed before they expired though no server broke off."""
    return [
        record
        for record in history.requests
        if record.end == "whole"
        and record.is_from_relay
        and record.status in (502, 504)
        and not any(send.end == "broke" for send in history.find_sends(record))
        and record.ended_at - record.sent_at < history.give_up_after_s(record) - CLOCK_TOLERANCE_S
    ]


class DeadServerStats(NamedTuple):
    """Requests with failover that met a dead server, and times to first byte of those served."""

    count: int
    first_byte_ms: list[float]


def get_dead_server_stats(history):
    affected = [
        record
        for record in history.requests
        if record.request_id in history.dead_server_request_ids
        and record.kind not in AT_MOST_ONCE_KINDS
        and record.end != "left"
    ]
    served = [record for record in affected if record.status == 200 and record.end == "whole"]
    return DeadServerStats(
        len(affected), [1000 * (record.first_byte_at - record.sent_at) for record in served]
    )


def count_silences(history):
    """Return how often healthy servers stalled in each place, and how often relays left them."""
    counts = Counter()
    for send in (send for sends in list(history.sends.values()) for send in sends):
        for place, _, end in send.silences if send.end != "broke" else ():
            where = place.partition(" (")[0]
            counts[where] += 1
            counts[f"{where}, left"] += (
                send.end == "left" and end >= send.ended_at - CLOCK_TOLERANCE_S
            )
    return dict(sorted(counts.items()))
