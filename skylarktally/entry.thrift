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

service Entry {
  JobReply handle(1: JobCall call),
  /** Empties a worker; tells whether its instance can go now. */
  bool vacate(1: string pool, 2: string worker),
  /** Tells whether the store answers the entry that is asked. */
  bool reaches_store(),
  /** Tells what the pool would use at once, and what its workers run. */
  PoolLoad measure(1: string pool, 2: i32 lendable_millicores),
}
