"""The metrics of the relay."""

from laburnumreel.core import define_counter, define_gauge, define_histogram

SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 1.5, 2.5, 5.0)

RELAY_REQUESTS = define_counter(
    "laburnumreel_relay_requests_total", "requests by route kind and outcome", ("kind", "outcome")
)
RELAY_FIRST_BYTE_S = define_histogram(
    "laburnumreel_relay_first_byte_seconds",
    "time from a request to the first byte of its answer",
    SECONDS,
    ("kind",),
)
RELAY_WAIT_S = define_histogram(
    "laburnumreel_relay_wait_seconds", "time that requests waited for a place", SECONDS
)
RELAY_ATTEMPTS = define_counter(
    "laburnumreel_relay_attempts_total", "sends to backend servers by outcome", ("outcome",)
)
RELAY_SILENCES = define_counter(
    "laburnumreel_relay_silences_total",
    "silent backend servers: requests sent beside them, left for another one, or waited for until"
    " they spoke",
    ("outcome",),
)
RELAY_CRASHES = define_counter(
    "laburnumreel_relay_crashes_total",
    "requests that were lost because a backend server's process ended, by whether their answer had"
    " begun",
    ("begun",),
)
RELAY_HELD_PARTS = define_gauge(
    "laburnumreel_relay_held_parts", "parts of prompts whose requests are refused"
)
RELAY_REPEATS = define_counter(
    "laburnumreel_relay_repeats_total",
    "sends beyond the first of a request: allowed or denied by the retry budget, and sent",
    ("outcome",),
)
RELAY_LIMITED = define_gauge(
    "laburnumreel_relay_limited_back_ends", "backend servers with a limit that they named"
)
RELAY_LIMITED_SENDS = define_counter(
    "laburnumreel_relay_limited_sends_total",
    "sends to backend servers with a limit: sent, requests refused, and other calls denied",
    ("outcome",),
)
RELAY_ANSWER_BYTES = define_gauge(
    "laburnumreel_relay_answer_bytes", "bytes that answers of backend servers hold"
)
RELAY_WAITING = define_gauge("laburnumreel_relay_waiting", "requests that wait for a place")
RELAY_PEERS = define_gauge("laburnumreel_relay_peers", "peers heard from lately")
RELAY_STREAMS_TOLD = define_counter(
    "laburnumreel_relay_streams_told_total",
    "streams whose software was told to other hosts, once for each of them",
)
RELAY_TAKE_UPS = define_counter(
    "laburnumreel_relay_take_ups_total",
    "streams that callers take up, by how the software that began them was found",
    ("source",),
)
RELAY_FORWARDED = define_counter(
    "laburnumreel_relay_forwarded_total",
    "requests passed on to other hosts, for want of links to servers, by outcome",
    ("outcome",),
)
RELAY_WINDOWS = define_counter(
    "laburnumreel_relay_windows_total", "usage windows by what became of them", ("outcome",)
)
