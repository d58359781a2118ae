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

service Entry {
  JobReply handle(1: JobCall call),
  /** Empties a worker; tells whether its instance can go now. */
  bool vacate(1: string pool, 2: string worker),
}
