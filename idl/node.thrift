// Calls between the system's own processes. Regenerate with:
//   thrift --gen py:package_prefix=laburnumreel.protocol.gen. -out src/laburnumreel/protocol/gen idl/node.thrift

namespace py node

struct BackEndWork {
  1: string back_end
  2: i32 requests
  3: i64 prefill_tokens
}

struct ServiceReceived {
  1: string customer
  2: i64 tokens
  3: i32 requests
}

struct DrainMark {
  1: string target
  2: string reason
  3: i32 remaining_ms
}

struct QuarantineEntry {
  1: string digest
  2: i32 remaining_ms
}

// A part of prompts that is held, or was answered. Parts and requests are digests of eight bytes.
struct PartTime {
  1: binary part
  2: i32 ms
}

struct BrokenRequest {
  1: binary request
  // The digests of its parts in a row.
  2: binary parts
}

// What the sender saw of the crash of a back end.
struct CrashReport {
  1: string back_end
  2: i32 age_ms
  3: list<BrokenRequest> requests
}

struct Exchange {
  1: string sender
  2: string role
  3: string boot
  4: string address
  5: i64 config_version
  6: string config_digest
  7: list<string> withdrawn
  8: i64 withdrawn_count
  9: string withdrawn_digest
  10: list<DrainMark> drains
  11: list<QuarantineEntry> quarantines
  12: list<BackEndWork> in_flight
  13: list<ServiceReceived> received
  14: bool wants_all_withdrawn
  15: bool stopping
  // Ages of two bytes each, and the digest of the list of gateways that they are for.
  16: binary ages
  17: binary gateways_digest
  // The time that remains of each held part, and the time since suspected ones were answered.
  18: list<PartTime> held_parts
  19: list<PartTime> answered_parts
  20: list<CrashReport> crash_reports
}

struct Change {
  1: i64 version
  2: binary body
}

struct Snapshot {
  1: i64 version
  2: binary body
}

struct NodeStatus {
  1: string name
  2: string role
  3: string zone
  4: string boot
  5: bool ready
  6: bool stopping
  7: i64 config_version
  8: string config_digest
  9: i32 running
  10: bool store_reachable
  11: list<string> leases
}

struct ClaimState {
  1: string boot
  2: bool running
}

// A part of prompts that a gateway holds; without back ends if a peer has told it.
struct HeldPart {
  1: binary part
  2: i32 held_ms
  3: i32 remaining_ms
  4: list<string> back_ends
  5: i32 requests
}

service Node {
  Exchange exchange(1: Exchange ours)
  list<Change> fetch_changes(1: i64 after_version, 2: i32 limit)
  Snapshot fetch_snapshot()
  i64 withdraw_key(1: string key_digest)
  NodeStatus status()
  ClaimState claim_state(1: string claim_key)
  list<HeldPart> held_parts()
  bool release_part(1: binary part)
}
