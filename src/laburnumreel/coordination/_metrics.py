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
