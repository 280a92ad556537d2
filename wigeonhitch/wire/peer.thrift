// Messages between daemons. One frame on the wire is a four-byte length and
// one Envelope in the compact protocol. Regenerate with wire/README.md.
namespace py peer

// What one daemon says, or passes on, about one member.
struct Member {
  1: string daemon
  2: i64 beat
  3: i32 age_ms
}

struct Document {
  1: i64 version
  2: string hash
  3: optional string body
}

struct Heartbeat {
  1: string daemon
  2: i64 beat
  3: i32 store_age_ms
  4: i64 configuration_version
  5: string configuration_hash
  6: i64 fleet_revision
  7: list<string> unusable
  8: i64 drain
  9: list<string> busy
  10: list<Member> members
  11: i64 echo
  12: string address
  13: string vm
  14: string data_centre
}

struct DocumentRequest {
  1: i64 version
  2: string hash
}

struct Envelope {
  1: string sender
  2: optional Heartbeat heartbeat
  3: optional DocumentRequest document_request
  4: optional Document document
}
