"""The log events of this package."""

from laburnumreel.core import define_event

LEASE_ACQUIRED = define_event(440, "lease_acquired", "lease acquired")
LEASE_RELEASED = define_event(441, "lease_released", "lease released")
LEASE_GIVEN_UP = define_event(
    442, "lease_given_up", "lease released before it expired because it could not be renewed"
)
LEASE_LOST = define_event(443, "lease_lost", "lease taken by another process")
LEASE_RELEASE_FAILED = define_event(
    444,
    "lease_release_failed",
    "lease could not be released; a successor must wait until it expires",
)
LEASES_UNREACHABLE = define_event(445, "leases_unreachable", "leases could not be read or written")
JOURNAL_UNREADABLE = define_event(446, "journal_unreadable", "order journal could not be read")
ORDER_GIVEN = define_event(447, "order_given", "order issued")
ORDER_SETTLED = define_event(448, "order_settled", "order settled")
ORDER_UNCERTAIN = define_event(
    449, "order_uncertain", "response to an order was lost; the receiver's list will be read"
)
HOSTS_UNREADABLE = define_event(
    450, "planner_hosts_unreadable", "planner could not read the host list"
)
SNAPSHOT_WRITTEN = define_event(451, "snapshot_written", "configuration snapshot written")
USAGE_LOST = define_event(
    459, "usage_lost", "a gateway stops with usage that it could not write to the store"
)
CONFIG_CHANGED = define_event(460, "config_changed", "configuration changed")
CONFIG_REFUSED = define_event(
    461, "config_refused", "changes from a peer could not be fetched or applied"
)
CONFIG_CONFLICT = define_event(
    462, "config_conflict", "peer has a different configuration with the same version"
)
STORE_READ_FAILED = define_event(463, "store_read_failed", "store could not be read")
STORE_READ_AGAIN = define_event(464, "store_read_again", "store can be read again")
KEYS_WITHDRAWN = define_event(465, "keys_withdrawn", "set of withdrawn keys has grown")
CONFIG_READY = define_event(466, "config_ready", "first configuration was read")
WITHDRAWALS_NOT_STORED = define_event(
    467,
    "withdrawals_not_stored",
    "a gateway stops with withdrawn keys that are not in the store; they must be withdrawn again if"
    " all gateways stop",
)
PEER_LOST = define_event(470, "peer_lost", "exchange with a peer failed")
PEER_HEARD = define_event(471, "peer_heard", "peer can be reached again")
USAGE_FLUSH_FAILED = define_event(
    452, "usage_flush_failed", "usage could not be written to the store; it will be retried"
)
USAGE_CLOSED_WINDOW = define_event(
    453, "usage_closed_window", "usage arrived after its window was closed and is counted as late"
)
USAGE_WINDOW_REPORTED = define_event(454, "usage_window_reported", "usage window reported")
USAGE_REPORT_FAILED = define_event(
    455, "usage_report_failed", "usage report failed and will be retried"
)
USAGE_DIFFERS = define_event(
    456, "usage_differs", "platform has different usage figures for this window"
)
USAGE_FORMAT_DIFFERS = define_event(
    457,
    "usage_format_differs",
    "usage settings differ from those in the store; no usage is written",
)
USAGE_OUTCOME_UNKNOWN = define_event(
    458,
    "usage_outcome_unknown",
    "usage of a flush without a response is dropped because its rows may have been deleted",
)
