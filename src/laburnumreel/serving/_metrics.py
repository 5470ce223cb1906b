"""The metrics of the gateway's request path."""

from laburnumreel.core import define_counter, define_gauge, define_histogram

REQUESTS = define_counter(
    "laburnumreel_requests_total", "Requests that were answered in full, by service.", ["service"]
)
RETRIES = define_counter(
    "laburnumreel_retries_total", "Requests sent to another back end, by reason.", ["reason"]
)
CANCELS = define_counter(
    "laburnumreel_cancels_total", "Requests cancelled at a back end, because nobody waits for them."
)
RUNNING = define_gauge("laburnumreel_running_requests", "Requests admitted or queued.")
FIRST_BYTE_S = define_histogram(
    "laburnumreel_first_byte_seconds",
    "Time from a request's arrival to the first byte of its answer, by service.",
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.31, 0.5, 1.0, 2.5, 5.0, 10.0],
    ["service"],
)
QUARANTINED = define_counter(
    "laburnumreel_quarantined_total", "Requests quarantined because back ends crashed on them."
)
HELD_PARTS = define_gauge(
    "laburnumreel_held_parts", "Parts of prompts that are held because they crash back ends."
)
PARTS_HELD = define_counter(
    "laburnumreel_parts_held_total",
    "Parts of prompts that were held, by source: crashes or a peer.",
    ["source"],
)
DRAIN_MARKS = define_counter(
    "laburnumreel_drain_marks_total", "Back ends that get no new work, by reason.", ["reason"]
)
STORED_ANSWER_BYTES = define_gauge(
    "laburnumreel_stored_answer_bytes", "Bytes of answers that are to be stored."
)
REPLAYS = define_counter(
    "laburnumreel_replays_total", "Requests answered with the stored answer of an earlier one."
)
