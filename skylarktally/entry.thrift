/** Messages between entries: calls on the jobs and workers of a pool. */
namespace py entry

struct JobCall {
  /** One of: submit, show, cancel, count. */
  1: string operation,
  2: string pool,
  3: string queue,
  /** Empty for count. */
  4: string job,
  /** What the caller sent, for submit. */
  5: binary body,
  6: i32 timeout_ms,
}

struct JobReply {
  /** Kind of the error; empty for a success. */
  1: string error,
  2: string message,
  3: i32 retry_after_ms,
  /** State of the job, for show and cancel. */
  4: string state,
  /** Number of jobs, for count. */
  5: i32 queued,
}

struct WorkerLoad {
  1: string worker,
  2: i32 runs,
  3: i32 long_runs,
  /** It is being emptied and takes no new work. */
  4: bool is_leaving,
}

/** Demand of a pool, in millicores where nothing else is said. */
struct PoolLoad {
  1: i32 lasting,
  2: i32 running,
  3: i32 waiting,
  /** Work of the tasks that wait, in milliseconds of one millicore. */
  4: i64 waiting_work_ms,
  /** Time that is left on average until this work has to be done. */
  5: i32 waiting_time_left_ms,
  6: i32 arriving,
  7: i32 reserve,
  8: i32 fewest_workers,
  9: list<WorkerLoad> workers,
  /** False when the pool is not owned by the entry that was asked. */
  10: bool is_owned,
}

/** A row of the table service; version 0 where there is none. */
struct StoredRow {
  1: string table,
  2: string partition,
  3: string key,
  4: binary value,
  5: i64 version,
  6: bool is_deleted,
}

/** A call to the table service that another entry is to make. */
struct StoreCall {
  /** One of: commit, read, list_partitions, follow. */
  1: string operation,
  2: list<StoredRow> expected,
  3: list<StoredRow> puts,
  4: list<StoredRow> removals,
  5: string table,
  6: string partition,
  /** Version after which changes are asked for. */
  7: i64 after,
  /** How long the answer may be kept back while nothing changes. */
  8: i32 wait_ms,
}

struct StoreReply {
  /** Kind of the error; empty for a success. */
  1: string error,
  2: string message,
  3: bool is_applied,
  4: i64 version,
  5: list<StoredRow> rows,
  6: bool is_truncated,
  7: list<string> partitions,
}

service Entry {
  JobReply handle(1: JobCall call),
  /** Empties a worker; tells whether its instance can go now. */
  bool vacate(1: string pool, 2: string worker),
  /** Tells whether the store answers the entry that is asked. */
  bool reaches_store(),
  /** Makes a call to the table service for an entry that cannot. */
  StoreReply carry(1: StoreCall call),
  /** Tells what the pool would use at once, and what its workers run. */
  PoolLoad measure(1: string pool, 2: i32 lendable_millicores),
}
