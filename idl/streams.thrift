// What the relays of a deployment tell one another of the streams that they have begun. Regenerate with:
//   thrift --gen py:package_prefix=laburnumreel.protocol.gen. -out src/laburnumreel/protocol/gen idl/streams.thrift

namespace py streams

// A stream that a backend server with this software has begun, and for how long it may be taken up.
struct BegunStream {
  1: binary stream
  2: string software
  3: i32 remaining_ms
}

struct StreamQuery {
  1: binary stream
  2: string of_service
}

struct StreamMessage {
  1: list<BegunStream> begun
  2: list<StreamQuery> queries
  // Streams that were asked for and that the sender does not know.
  3: list<binary> unknown
}
