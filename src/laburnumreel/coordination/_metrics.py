"""The metrics of this package."""

from laburnumreel.core import define_counter, define_gauge

LEASE_HELD = define_gauge(
    "laburnumreel_lease_held", "1 while this process holds the lease", ["lease"]
)
LEASE_WRITES = define_counter(
    "laburnumreel_lease_writes_total", "lease transactions sent to the store", ["kind"]
)
ORDERS = define_counter(
    "laburnumreel_orders_total",
    "orders given, by what the receiver answered",
    ["action", "receipt"],
)
CONFIG_VERSION = define_gauge(
    "laburnumreel_config_version", "version of the configuration in force"
)
CONFIG_CHANGES = define_counter(
    "laburnumreel_config_changes_total",
    "configurations taken over, by where they came from",
    ("source",),
)
STORE_READ_FAILURES = define_counter(
    "laburnumreel_store_read_failures_total", "polls of the store that failed"
)
WITHDRAWN_KEYS = define_gauge("laburnumreel_withdrawn_keys", "withdrawn keys that are known")
EXCHANGES = define_counter(
    "laburnumreel_exchanges_total", "exchanges with peers, by result", ("result",)
)
EXCHANGES_ANSWERED = define_counter(
    "laburnumreel_exchanges_answered_total", "exchanges begun by peers"
)
USAGE_FLUSHES = define_counter(
    "laburnumreel_usage_flushes_total", "usage flushes sent to the store", ["outcome"]
)
USAGE_LATE_REQUESTS = define_counter(
    "laburnumreel_usage_late_requests_total",
    "requests whose usage was moved on because their window was closed",
)
USAGE_REPORTS = define_counter(
    "laburnumreel_usage_reports_total", "usage reports sent to the platform", ["outcome"]
)
USAGE_REPORT_DELAY = define_gauge(
    "laburnumreel_usage_report_delay_seconds", "time from a window's end to its last report"
)
USAGE_FORMAT_MISMATCH = define_gauge(
    "laburnumreel_usage_format_mismatch",
    "1 while [usage] window_s or shards differ from those in the store",
)
USAGE_DELTAS_DELETED = define_counter(
    "laburnumreel_usage_deltas_deleted_total", "usage deltas deleted after their retention time"
)
USAGE_UNCERTAIN_REQUESTS = define_counter(
    "laburnumreel_usage_uncertain_requests_total",
    "requests whose usage was dropped because it may have been counted already",
)
