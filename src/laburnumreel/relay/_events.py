"""The log events of the relay."""

from laburnumreel.core import define_event

RELAY_STARTED = define_event(600, "relay_started", "the relay serves callers")
RELAY_STOPPING = define_event(601, "relay_stopping", "the relay is stopping")
RELAY_STOPPED = define_event(602, "relay_stopped", "the relay has stopped")
RELAY_STOP_INCOMPLETE = define_event(
    603, "relay_stop_incomplete", "requests were still running when the stop grace period ended"
)
SETTINGS_RELOADED = define_event(604, "relay_settings_reloaded", "the settings were reloaded")
SETTINGS_REJECTED = define_event(
    605, "relay_settings_rejected", "the changed settings are invalid; keeping the previous ones"
)
LISTEN_FAILED = define_event(607, "listen_failed", "the relay can't listen on an address")
RELAY_READY = define_event(606, "relay_ready", "the relay became ready or stopped being ready")

RELAY_CONFIGURED = define_event(610, "relay_configured", "a new configuration is in force")
CUSTOMERS_UNREADABLE = define_event(
    691,
    "customers_unreadable",
    "customers or keys of the configuration are malformed; requests with these keys are refused",
)
DIRECTORY_LOST = define_event(611, "directory_lost", "a table of the store can't be read")
DIRECTORY_BACK = define_event(612, "directory_back", "a table of the store can be read again")
DIRECTORY_REREAD = define_event(613, "directory_reread", "a table of the store is read in full")
DIRECTORY_RANKED = define_event(
    689, "directory_ranked", "this host's rank among those that read a table has changed"
)
DIRECTORY_POLLED = define_event(
    690, "directory_polled", "a host that reads a table seldom has polled it"
)
BACK_END_LISTED = define_event(614, "back_end_listed", "a backend server was listed or changed")
BACK_END_GONE = define_event(615, "back_end_gone", "a backend server is no longer listed")
BACK_END_IGNORED = define_event(
    700, "back_end_ignored", "an entry was written before what is known of its backend server"
)
LIST_READ_FAILED = define_event(
    701, "list_read_failed", "the table of backend servers could not be read for a stream"
)
PEER_HEARD = define_event(616, "relay_peer_heard", "a peer sent its first update")
PEER_SILENT = define_event(617, "relay_peer_silent", "a peer has sent no update for too long")
NEWS_UNREADABLE = define_event(618, "news_unreadable", "a datagram from a peer is malformed")
BACK_END_AVOIDED = define_event(
    619, "back_end_avoided", "a backend server is in backoff and gets no requests"
)
BACK_END_AVOIDED_BY_PEER = define_event(
    697, "back_end_avoided_by_peer", "a backend server gets no requests because a peer said so"
)
SERVERS_OUT_OF_REACH = define_event(
    698, "servers_out_of_reach", "this host reaches no backend server; its links are lost"
)
SERVERS_REACHED = define_event(699, "servers_reached", "this host reaches backend servers again")
MEMBERS_UNREADABLE = define_event(620, "members_unreadable", "the list of hosts can't be read")
TRUE_TIME_AGREED = define_event(622, "true_time_agreed", "the hosts agreed on the time of day")
MEMBER_ROW_MISSING = define_event(
    623, "member_row_missing", "this host's row was removed from the store; writing it again"
)
BACK_END_LEAVING = define_event(
    624, "back_end_leaving", "a backend server reported in an answer that it is leaving"
)
BACK_END_FULL = define_event(
    625, "back_end_full", "a backend server accepts no requests from this host for some time"
)
STORE_ERA_ENTERED = define_event(
    626, "store_era_entered", "the store was restored from an older copy"
)

BACK_END_LIMITED = define_event(
    627,
    "back_end_limited",
    "a backend server reported its rate limit for requests from all hosts",
)
BACK_END_LIMIT_ENDED = define_event(
    628, "back_end_limit_ended", "a backend server has no rate limit any more"
)
HEADER_UNKNOWN = define_event(
    629, "header_unknown", "a backend server's answer has an unknown header"
)
BACK_END_LIMIT_UNREADABLE = define_event(
    644, "back_end_limit_unreadable", "a backend server reported a rate limit that is not a number"
)

REQUEST_PLACED = define_event(630, "request_placed", "a request was assigned to backend servers")
REQUEST_REFUSED = define_event(631, "request_refused", "a request was refused without running")
ATTEMPT_FAILED = define_event(632, "attempt_failed", "a send to a backend server failed")
REQUEST_SERVED = define_event(633, "request_served", "a request was answered")
REQUEST_LOST = define_event(634, "request_lost", "a request ended without a complete answer")
REQUEST_RESUMED = define_event(635, "request_resumed", "a stream resumes at another backend server")
REQUEST_HELD_BACK = define_event(
    636, "request_held_back", "a request crashed backend servers and is refused for some time"
)
SERVER_CRASHED = define_event(
    680, "server_crashed", "a backend server's process ended while it had a request of this host"
)
PART_HELD = define_event(
    681,
    "relay_part_held",
    "a part of prompts crashed backend servers; requests with it are refused",
)
PART_HELD_BY_PEER = define_event(
    682, "relay_part_held_by_peer", "a peer found a part of prompts that crashes backend servers"
)
REQUEST_RELEASED = define_event(
    685,
    "request_released",
    "a request that was held back had only been beside a part that crashes servers",
)
PART_TRIED = define_event(
    684,
    "relay_part_tried",
    "a single request is sent with a held part, which ends the hold if answered",
)
PART_RELEASED = define_event(
    683, "relay_part_released", "requests with a held part are admitted again"
)
HELD_REQUEST_ENDED = define_event(
    688, "relay_held_request_ended", "a request was ended because a part of its prompt got held"
)
HOLDS_AWAITED = define_event(
    686,
    "relay_holds_awaited",
    "requests with prompt parts wait until a peer has told which parts are held",
)
HOLDS_HEARD = define_event(
    687, "relay_holds_heard", "a peer told which parts are held, or none did in time"
)
COPY_RELEASED = define_event(637, "copy_released", "releasing an unused copy of a prompt")
RELAY_REQUEST_FAILED = define_event(638, "relay_request_failed", "a request hit an internal error")
PROMPT_READ = define_event(639, "prompt_read", "an engine has read a prompt for another one")
REPEAT_DECIDED = define_event(
    640, "repeat_decided", "the retry budget allowed or denied another send of a request"
)
REQUEST_REPEATED = define_event(641, "request_repeated", "a request was sent again")
LIMITED_SEND = define_event(
    642, "limited_send", "a request uses this host's share of a backend server's rate limit"
)
LIMITED_SEND_DENIED = define_event(
    643, "limited_send_denied", "a backend server's rate limit denied a call of the relay's own"
)
ANSWER_SKIPPED = define_event(
    648, "answer_skipped", "skipped an answer that may belong to an earlier request"
)

SILENT_SERVER_STAYS = define_event(
    645,
    "silent_server_stays",
    "a backend server is silent; its request stays there until a replacement is reserved",
)
SILENT_SERVER_LEFT = define_event(
    646, "silent_server_left", "a request leaves a silent backend server for its replacement"
)
SILENT_SERVER_SPOKE = define_event(
    647, "silent_server_spoke", "a backend server that was silent has resumed"
)

SENT_BESIDE = define_event(
    649,
    "sent_beside",
    "sending a hedged request to another backend server while the first one is silent",
)
SECOND_SEND_ENDED = define_event(
    663, "second_send_ended", "a hedged request ended while the first send was awaited"
)

SOFTWARE_CHANGED = define_event(
    692,
    "software_changed",
    "the versions of software that may have begun the streams of a service have changed",
)
STREAM_LOOKED_UP = define_event(
    693, "stream_looked_up", "a caller takes up a stream; which software began it was looked up"
)
STREAM_MESSAGE_UNREADABLE = define_event(
    694, "stream_message_unreadable", "a datagram about streams is malformed or could not be sent"
)

SOFTWARE_STORED = define_event(
    695, "software_stored", "the versions that may have begun a service's streams were stored"
)
SOFTWARE_UNREADABLE = define_event(
    696, "software_unreadable", "the stored versions of services could not be read or written"
)

REQUEST_FORWARDED = define_event(
    667, "request_forwarded", "a host without links to servers passed a request on to another host"
)
FORWARD_FAILED = define_event(
    668, "forward_failed", "a request could not be passed on to another host"
)

WINDOW_SEALED = define_event(650, "window_sealed", "the usage of a window was sealed")
WINDOW_REPORTED = define_event(651, "window_reported", "the usage of a window was reported")
REPORT_FAILED = define_event(652, "report_failed", "the usage of a window could not be reported")
SEAL_FAILED = define_event(653, "seal_failed", "the usage of a window could not be sealed")
CAPACITY_ORDERED = define_event(654, "capacity_ordered", "backend servers were ordered")
CAPACITY_REFUSED = define_event(655, "capacity_refused", "an order for backend servers failed")
ROLE_ORDERED = define_event(656, "role_ordered", "an engine was ordered to change its role")
ROLE_REFUSED = define_event(657, "role_refused", "an order to an engine to change its role failed")
ROWS_REMOVED = define_event(658, "rows_removed", "unused rows were removed from the store")
ROWS_UNREADABLE = define_event(659, "rows_unreadable", "rows could not be scanned for cleanup")
WINDOW_INCOMPLETE = define_event(
    660, "window_incomplete", "a window is sealed without the counts of some hosts"
)
WINDOW_FORGOTTEN = define_event(
    662,
    "window_forgotten",
    "the store may have lost the row of a window that another host sealed; it is not reported",
)
ERA_START_STORED = define_event(
    702, "era_start_stored", "the start of the store's era was stored for later usage reports"
)
ERA_START_UNKNOWN = define_event(
    703,
    "era_start_unknown",
    "the start of the store's era could not be read or stored; usage is not reported until then",
)
USAGE_NOT_TOLD = define_event(
    661,
    "usage_not_told",
    "counts of ended processes exceed the limit of a peer update, or of what is stored",
)
USAGE_STORED = define_event(
    664, "usage_stored", "a process that stops wrote its counts of open windows to the store"
)
USAGE_NOT_STORED = define_event(
    665, "usage_not_stored", "the counts of open windows could not be written to the store"
)
USAGE_UNREADABLE = define_event(
    666, "usage_unreadable", "the stored counts of a window can't be read; it is sealed later"
)
