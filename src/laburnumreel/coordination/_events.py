"""Log events of the coordination layer."""

from laburnumreel.core import define_event

CONFIG_CHANGED = define_event(460, "config_changed", "a new configuration is in force")
CONFIG_REFUSED = define_event(
    461, "config_refused", "changes from the store or a peer do not fit and are reread whole"
)
CONFIG_CONFLICT = define_event(
    462, "config_conflict", "a peer holds another configuration of the same version"
)
STORE_READ_FAILED = define_event(463, "store_read_failed", "the store could not be read")
STORE_READ_AGAIN = define_event(464, "store_read_again", "the store can be read again")
KEYS_WITHDRAWN = define_event(465, "keys_withdrawn", "withdrawn keys were learned")
CONFIG_READY = define_event(466, "config_ready", "the first configuration was read")
PEER_LOST = define_event(470, "peer_lost", "an exchange with a peer failed")
PEER_HEARD = define_event(471, "peer_heard", "a peer answers again")
