"""The metrics of servers and connections."""

from laburnumreel.core import define_counter

STALLED_READERS = define_counter(
    "laburnumreel_stalled_readers_total",
    "Callers disconnected because they read no byte while output was pending.",
)
BACK_END_CONNECTIONS = define_counter(
    "laburnumreel_back_end_connections_total", "Connections opened to back ends."
)
SILENT_CONNECTIONS = define_counter(
    "laburnumreel_silent_connections_total",
    "Back-end connections on which no byte was received in time.",
)
RATE_LIMITED_CALLS = define_counter(
    "laburnumreel_store_calls_held_total",
    "Calls to the store that exceeded this host's share of the call rate.",
    ("kind", "outcome"),
)
