/** Messages between entry instances. */
namespace py entry

struct JobCall {
  /** One of: submit, show, cancel, count. */
  1: string operation,
  2: string pool,
  /** Name of the queue; its id in an inquiry of another pool. */
  3: string queue,
  /** Empty for count. */
  4: string job,
  /**
   * Request body of the caller, for submit. In a show, the version of the
   * configuration by which another pool inquires; in a count, set if only the
   * called pool is to be counted.
   */
  5: binary body,
  6: i32 timeout_ms,
  /** How long ago the caller's request arrived; not sent by older versions. */
  7: optional i32 age_ms,
}

struct JobReply {
  /** Kind of the error; empty for a success. */
  1: string error,
  2: string message,
  3: i32 retry_after_ms,
  /** State of the job; set for show and cancel. */
  4: string state,
  /** Number of queued jobs; set for count. */
  5: i32 queued,
}

struct WorkerLoad {
  1: string worker,
  2: i32 runs,
  3: i32 long_runs,
  /** Whether the worker is evacuating or draining and gets no new runs. */
  4: bool is_leaving,
}

/** Demand of a pool; in millicores unless stated otherwise. */
struct PoolLoad {
  1: i32 lasting,
  2: i32 running,
  3: i32 waiting,
  /** Work of the waiting tasks, in milliseconds of one millicore. */
  4: i64 waiting_work_ms,
  /** Average time until this work is due. */
  5: i32 waiting_time_left_ms,
  6: i32 arriving,
  7: i32 reserve,
  8: i32 fewest_workers,
  9: list<WorkerLoad> workers,
  /** False if the called entry instance does not own the pool. */
  10: bool is_owned,
}

/** A row of the table service; version 0 means that it does not exist. */
struct StoredRow {
  1: string table,
  2: string partition,
  3: string key,
  4: binary value,
  5: i64 version,
  6: bool is_deleted,
}

/** A table service call to be made by another entry instance. */
struct StoreCall {
  /** One of: commit, read, list_partitions, follow. */
  1: string operation,
  2: list<StoredRow> expected,
  3: list<StoredRow> puts,
  4: list<StoredRow> removals,
  5: string table,
  6: string partition,
  /** Only changes after this version are returned, for follow. */
  7: i64 after,
  /** How long the answer may be held back while nothing changes. */
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
  /** Evacuates a worker; true once its instance may be taken away. */
  bool vacate(1: string pool, 2: string worker),
  /** Returns whether the store answers the called entry instance. */
  bool reaches_store(),
  /** Makes a table service call for an instance that cannot reach it. */
  StoreReply carry(1: StoreCall call),
  /** Returns the demand of the pool and the load of its workers. */
  PoolLoad measure(1: string pool, 2: i32 lendable_millicores),
}
