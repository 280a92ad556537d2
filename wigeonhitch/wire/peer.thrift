// Messages between daemons. One frame on the wire is a four-byte length and
// one Envelope in the compact protocol. Regenerate with wire/README.md.
namespace py peer

// What one daemon says, or passes on, about one member.
struct Member {
  1: string daemon
  2: i64 beat
  3: i32 age_ms
}

// A message of the configuration slice, in its own encoding.
struct Configuration {
  1: binary data
}

struct Heartbeat {
  1: string daemon
  2: i64 beat
  3: i32 store_age_ms
  4: i64 fleet_revision
  5: list<string> unusable
  6: i64 drain
  7: list<string> busy
  8: list<Member> members
  9: i64 echo
  10: string address
  11: string vm
  12: string data_centre
}

// Messages about the slots of one pool; times are seconds.
struct Ask {
  1: string pool
  2: i64 ask
  3: i32 rank
  4: string team
  5: double age
  6: double left
  7: double lasts
  8: bool again
}

struct Grant {
  1: string pool
  2: i64 ask
  3: string vm
}

struct Deny {
  1: string pool
  2: i64 ask
  3: string reason
  4: double retry_after
}

struct Return {
  1: string pool
  2: i64 ask
  3: i32 outcome
  4: double seconds
  5: i64 reused
}

struct Cancel {
  1: string pool
  2: i64 ask
}

struct Held {
  1: i64 ask
  2: string vm
  3: double lasts
}

struct Report {
  1: string pool
  2: list<Held> held
  3: bool join
}

struct Welcome {
  1: string pool
}

struct Head {
  1: i32 rank
  2: string team
  3: double age
}

struct Pulse {
  1: string pool
  2: list<Head> heads
}

struct Leave {
  1: string pool
}

struct SlotMessage {
  1: optional Ask ask
  2: optional Grant grant
  3: optional Deny deny
  4: optional Return return_
  5: optional Cancel cancel
  6: optional Report report
  7: optional Welcome welcome
  8: optional Pulse pulse
  9: optional Leave leave
}

struct Slots {
  1: list<SlotMessage> messages
  2: list<string> traces
}

struct Envelope {
  1: string sender
  2: optional Heartbeat heartbeat
  3: optional Configuration configuration
  4: optional Slots slots
}
