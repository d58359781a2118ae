/** Messages between routers, and between a controller and a router. */
namespace py peer

/** A process of the system as seen by its peers. */
struct Member {
  1: string name,
  2: string zone,
  /** Start time in nanoseconds since the epoch; changes with a restart. */
  3: i64 incarnation,
  4: string peer_address,
  5: string serving_address,
  /** Incremented by the member itself in each gossip period. */
  6: i64 heartbeat,
  /** True once the member has begun a graceful shutdown. */
  7: bool leaving,
}

/** One committed control transaction. */
struct LogEntry {
  1: i64 version,
  /** The row log/<version> as JSON. */
  2: string body,
}

struct SyncRequest {
  1: Member sender,
  2: list<Member> members,
  3: i64 log_version,
}

struct SyncReply {
  1: Member responder,
  2: list<Member> members,
  3: i64 log_version,
  4: list<LogEntry> entries,
}

struct Snapshot {
  1: i64 log_version,
  /** JSON list of resources. */
  2: string body,
}

struct Header {
  1: string name,
  2: string value,
}

struct Answer {
  /** One of: absent, running, recorded. */
  1: string state,
  2: i32 status,
  4: binary body,
  /** In the order of the recorded answer; names may be repeated. */
  5: list<Header> headers,
}

service Peer {
  SyncReply sync(1: SyncRequest request),
  /** Returns the log version of the receiver after the push. */
  i64 push_log(1: list<LogEntry> entries),
  Snapshot fetch_snapshot(),
  Answer find_answer(1: string request_key),
  /**
   * JSON object of observations by pool and by worker. Fields of a pool:
   * queue_length, arrival_rate, running, refused and load (slots that the
   * arriving work needs), each for both urgencies together, and the same
   * except refused for deferrable work alone, prefixed with deferrable_.
   */
  string get_observations(),
}
