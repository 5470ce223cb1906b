"""Metrics of the coordination layer."""

from laburnumreel.core import define_counter, define_gauge

CONFIG_VERSION = define_gauge("config_version", "version of the configuration in force")
CONFIG_CHANGES = define_counter(
    "config_changes_total", "configurations taken over, by where they came from", ("source",)
)
STORE_READ_FAILURES = define_counter("store_read_failures_total", "polls of the store that failed")
WITHDRAWN_KEYS = define_gauge("withdrawn_keys", "withdrawn keys that are known")
EXCHANGES = define_counter("exchanges_total", "exchanges with peers, by result", ("result",))
EXCHANGES_ANSWERED = define_counter("exchanges_answered_total", "exchanges begun by peers")
