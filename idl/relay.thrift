// What the relays of a deployment tell one another, one struct a datagram. Regenerate with:
//   thrift --gen py:package_prefix=laburnumreel.protocol.gen. -out src/laburnumreel/protocol/gen idl/relay.thrift

namespace py relay

// Work of the sender that a backend server has not finished.
struct Work {
  1: string back_end
  2: i32 requests
  3: i64 reading_tokens
  4: i32 streams
  5: i64 kv_tokens
}

// A belief that ends by itself.
struct Timed {
  1: string subject
  2: i32 remaining_ms
}

// Requests that began to run at the sender in a window, by customer.
struct WindowCounts {
  1: i64 window
  2: map<string, i32> counts
}

// Requests that began to run in a window at a process that has ended, by customer.
struct EndedCounts {
  1: string sender
  2: string boot
  3: i64 window
  4: map<string, i32> counts
}

// Parts of prompts that an engine has got since the sender's last news.
struct Kept {
  1: string back_end
  2: list<string> parts
}

// What a backend server said last of the requests a second that it takes from all hosts: none if unset.
struct Limit {
  1: string back_end
  2: i64 started_ms
  3: optional double per_s
  4: i32 age_ms
}

// A request that a backend server had not begun to answer when it crashed; the sender's own.
struct Broken {
  1: string request
  2: list<string> parts
  3: string digest
}

// What the sender saw of the crash of a backend server.
struct Crash {
  1: string back_end
  2: i32 age_ms
  3: list<Broken> requests
}

// A start of a back end that has ended, and the beat of its last writing that counted.
struct EndedStart {
  1: string back_end
  2: i64 started_ms
  3: i64 beat
}

struct News {
  1: string sender
  2: string boot
  3: string zone
  4: i64 sequence
  5: i64 config_version
  6: bool stopping
  7: list<Work> work
  8: list<Timed> avoided
  9: list<Timed> held_back
  10: list<string> leaving
  11: list<WindowCounts> usage
  12: list<Timed> crashes
  13: list<Kept> kept
  14: i64 duty_fence
  15: i64 listing_version
  // The sender's window as it told its counts; 0 where the news tells none.
  16: i64 usage_window
  // Counts of processes that have ended, as the sender heard them.
  17: list<EndedCounts> ended
  // The version of the store up to which the sender has seen the back ends' table, and whether it
  // can't look at it.
  18: i64 listing_seen
  19: bool listing_away
  // Back ends whose entries have gone lately.
  20: list<string> gone
  // When the back ends of `leaving` started, in its order; milliseconds of the Unix epoch, 0 if unknown.
  21: list<i64> leaving_started_ms
  // The store's era as the sender knows it.
  22: i32 store_era
  // Windows whose counts some holder of the duties has fixed.
  23: list<i64> fixed
  24: list<Limit> limits
  // Requests a second of the sender's callers, by service; only of services with limited servers.
  25: map<string, double> asked
  // The sender's sends to servers with a limit, since they have it.
  26: map<string, i32> limited_sends
  27: list<Crash> crash_reports
  // Parts of prompts that crashes speak against, and how long ago an answer with each last began.
  28: list<Timed> answered
  // Parts of prompts that are held.
  29: list<Timed> held_parts
  // Sent between two others because of what concerns crashes; everything else is as in the last one.
  30: bool only_crashes
  // Asks for an update about crashes at once, which has this number in `answers_holds`; 0 if it does not.
  31: i64 asks_holds
  32: i64 answers_holds
  // The store's clock when it answered the sender's last read of the table; milliseconds, 0 if there was none.
  33: i64 listing_read_ms
  // Sent between two others because the sender has read the table; everything else is as in the last one.
  34: bool only_listing
  // The port at which the sender takes requests that other hosts pass on; 0 if it takes none now.
  35: i32 forward_port
  // Starts that have ended, and whose entries were written again by a write that was performed late.
  36: list<EndedStart> ended_starts
}
