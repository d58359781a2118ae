"""Places batch jobs and runs them on the workers of the zone."""

from collections.abc import Callable
import datetime
import logging
from typing import Any
import uuid

from returns import result

from skylarktally import _controller_metrics
from skylarktally import _placement
from skylarktally import _planning
from skylarktally import _preemption
from skylarktally import _resources
from skylarktally import _runs
from skylarktally import _steps
from skylarktally import _workers

log = logging.getLogger(__name__)

Kind = _resources.Kind
Phase = _resources.Phase
State = _runs.State

_INTERVAL = datetime.timedelta(seconds=2)
# Interval if the last pass found neither batch jobs nor rows of runs. Only
# rows that other zones have written since then may have to be deleted.
_IDLE_INTERVAL = datetime.timedelta(seconds=30)
_MAX_STARTS_PER_PASS = 16
_DRAIN_GRACE_PERIOD = datetime.timedelta(seconds=30)


class BatchRunner:
    """Starts, watches and stops the batch runs of one controller.

    :param spawn: starts a function in a new green thread
    """

    def __init__(
        self,
        dependencies: _steps.Dependencies,
        runs: _runs.RunTable,
        metrics: _controller_metrics.ControllerMetrics,
        holder: str,
        spawn: Callable[..., Any],
    ) -> None:
        self._dependencies = dependencies
        self._runs = runs
        self._metrics = metrics
        self._holder = holder
        self._spawn = spawn
        self._stepped_at: datetime.timedelta | None = None
        # Whether the last pass found batch jobs, or rows of runs, whose jobs
        # may have been deleted.
        self._is_busy = False
        # Request keys of the tasks whose end this process waits for.
        self._awaited_keys: set[str] = set()
        # When a run that no task of this process waits for was first seen, or
        # its task last seen running, by request key. Monotonic.
        self._unowned_since: dict[str, datetime.timedelta] = {}

    def step(self) -> None:
        """Start, check, preempt and cancel runs on the instances held.

        Instances are held through the lease of their shard.
        """
        now = self._dependencies.clock.monotonic()
        jobs = {
            job.name: job
            for job in _planning.read_jobs(self._dependencies.fleet, 'batch')
        }
        interval = _INTERVAL if jobs or self._is_busy else _IDLE_INTERVAL
        last = self._stepped_at
        if last is not None and now - last < interval:
            return
        self._stepped_at = now
        listed = self._runs.list()
        if not isinstance(listed, result.Success):
            return
        runs = listed.unwrap()
        self._is_busy = bool(jobs or runs)
        self._cancel_runs([run for run in runs if run.job not in jobs])
        for run in runs:
            self._handle_active_run(run, jobs.get(run.job))
        self._place_runs(jobs, runs)

    def count_awaited_tasks(self) -> int:
        """Return the number of tasks whose end this process waits for."""
        return len(self._awaited_keys)

    def _find_held_instance(self, name: str) -> _resources.Instance | None:
        """Return an instance if its shard in this zone is held, else None."""
        resource = self._dependencies.fleet.find(Kind.INSTANCE, name)
        if resource is None:
            return None
        instance = _resources.decode_instance(resource)
        shard = _steps.find_shard(instance)
        in_zone = instance.zone == self._dependencies.zone
        return (
            instance
            if in_zone and self._dependencies.leases.holds(shard)
            else None
        )

    def _place_runs(
        self, jobs: dict[str, _resources.Job], runs: list[_runs.Run]
    ) -> None:
        # All zones make the same plan, and each carries out its own part.
        pools = sorted({job.pool for job in jobs.values()})
        instances = [
            i
            for pool in pools
            for i in self._dependencies.fleet.find_instances(pool)
        ]
        known = {(run.job, run.run): run for run in runs}
        placements = _placement.place_jobs(
            jobs.values(),
            instances,
            [_runs.build_report(run) for run in runs if run.job in jobs],
            self._dependencies.clock.now(),
            lambda: self._dependencies.clock.sleep(datetime.timedelta(0)),
        )
        self._record_explanations(placements)
        for preemption in placements.preemptions:
            run = known[preemption.job, preemption.run]
            self._preempt(run, preemption.method)
        start_count = 0
        for assignment in placements.assignments:
            instance = self._find_held_instance(assignment.instance)
            if instance is None or start_count >= _MAX_STARTS_PER_PASS:
                continue
            start_count += 1
            previous = known.get((assignment.job, assignment.run))
            self._start(jobs[assignment.job], assignment, instance, previous)

    def _record_explanations(self, placements: _placement.Placements) -> None:
        self._metrics.unschedulable_jobs.set(len(placements.unschedulable))
        for item in placements.unschedulable:
            _steps.record_explanation(
                self._dependencies,
                'job',
                item.job,
                f'{item.needed:g} {item.resource} needed, at most '
                f'{item.available:g} on any instance of the pool',
                'a job that fits no empty instance is not placed',
                'unschedulable',
            )
        for job, (count, cause) in placements.waiting.items():
            _steps.record_explanation(
                self._dependencies,
                'job',
                job,
                f'{count} runs wait: {cause}',
                'urgent jobs first, deferrable ones in the remaining capacity',
                'waits',
            )

    def _start(
        self,
        job: _resources.Job,
        assignment: _placement.Assignment,
        instance: _resources.Instance,
        previous: _runs.Run | None,
    ) -> None:
        shard = _steps.find_shard(instance)
        leased = self._dependencies.workers.acquire_lease(
            instance.address,
            self._holder,
            instance.epoch,
            instance.pool,
            job.slots,
            _runs.LEASE_TTL,
        )
        if not isinstance(leased, result.Success):
            return
        lease = leased.unwrap()
        run = _runs.Run(
            job=job.name,
            run=assignment.run,
            state=State.RUNNING,
            instance=instance.name,
            address=instance.address,
            request_key=f'run-{uuid.uuid4().hex}',
            holder=self._holder,
            started_at=self._dependencies.clock.now().isoformat(),
            attempt=previous.attempt + 1 if previous else 1,
            version=previous.version if previous else 0,
        )
        lease_condition = self._dependencies.leases.find_fencing_condition(
            shard
        )
        written = (
            self._runs.write(run, lease_condition)
            if lease_condition is not None and lease.slots >= job.slots
            else None
        )
        if not isinstance(written, result.Success):
            self._dependencies.workers.release_lease(
                instance.address, lease.lease_id
            )
            return
        self._awaited_keys.add(run.request_key)
        self._spawn(
            self._run_task, job, written.unwrap(), lease, assignment.resumes
        )

    def _run_task(
        self,
        job: _resources.Job,
        run: _runs.Run,
        lease: _workers.SlotLease,
        resumes: bool,
    ) -> None:
        """Send the task of a run, wait for its end and record it."""
        task = _runs.build_task(job, run, resumes)
        renewal = self._spawn(self._renew_lease, run, lease)
        try:
            ended = self._dependencies.workers.run_task(
                run.address, lease.lease_id, task
            )
            if isinstance(ended, result.Success):
                self._record_end(job, run, ended.unwrap())
        finally:
            # If no response came, _check_unowned_run settles the run later.
            self._awaited_keys.discard(run.request_key)
            if renewal is not None:
                renewal.kill()
            self._dependencies.workers.release_lease(
                run.address, lease.lease_id
            )

    def _renew_lease(self, run: _runs.Run, lease: _workers.SlotLease) -> None:
        while run.request_key in self._awaited_keys:
            self._dependencies.clock.sleep(_runs.LEASE_TTL / 3)
            self._dependencies.workers.renew_lease(
                run.address, lease.lease_id, _runs.LEASE_TTL
            )

    def _record_end(
        self, job: _resources.Job, run: _runs.Run, end: _workers.TaskResult
    ) -> None:
        if not end.started:
            # The worker refused the task, so that the run can be placed again.
            if run.attempt == 1:
                self._runs.delete(run)
            elif job.idempotent:
                self._runs.write(run._replace(state=State.LOST))
            self._metrics.batch_runs.labels('refused').inc()
            return
        state = State.FINISHED
        retry = job.idempotent and run.attempt < _runs.ATTEMPTS_LIMIT
        if end.status >= 500 and retry:
            state = State.LOST
        self._runs.write(run._replace(state=state, status=end.status))
        self._metrics.batch_runs.labels(
            'finished' if end.status < 500 else 'failed'
        ).inc()

    def _cancel_runs(self, runs: list[_runs.Run]) -> None:
        """Stop the runs of deleted jobs and delete their rows.

        This costs one call for each active run, and one transaction for each
        hundred rows.
        """
        if not runs:
            return
        remaining = {(run.job, run.run): run for run in runs}
        reports = _placement.index_reports(map(_runs.build_report, runs))
        deletable = []
        for cancelled in _placement.plan_cancellations(
            sorted(reports), reports
        ):
            run = remaining.pop((cancelled.job, cancelled.run))
            if self._find_held_instance(run.instance) is None:
                continue
            # The row stays until the worker has confirmed the stop, so that
            # the next pass of any controller retries it.
            stopped = self._dependencies.workers.control_task(
                run.address, run.request_key, 'stop'
            )
            if isinstance(stopped, result.Success):
                deletable.append(run)
        self._metrics.batch_runs.labels('cancelled').inc(len(deletable))
        if self._dependencies.leases.holds(_planning.ZONE_SHARD):
            deletable += remaining.values()
        self._runs.delete_all(deletable)

    def _handle_active_run(
        self, run: _runs.Run, job: _resources.Job | None
    ) -> None:
        """Check an unowned run, or evacuate a run from a draining instance.

        Active runs of deleted jobs on instances held here are left to
        _cancel_runs.
        """
        if run.state in _runs.ACTIVE_STATES and (
            job is not None or self._find_held_instance(run.instance) is None
        ):
            if run.request_key not in self._awaited_keys:
                self._check_unowned_run(run)
            elif job is not None and job.idempotent:
                self._checkpoint_if_draining(run)

    def _check_unowned_run(self, run: _runs.Run) -> None:
        """Ask the worker how a run ended that no task here waits for."""
        resource = self._dependencies.fleet.find(Kind.INSTANCE, run.instance)
        if (
            resource is not None
            and self._find_held_instance(run.instance) is None
        ):
            return
        now = self._dependencies.clock.monotonic()
        since = self._unowned_since.setdefault(run.request_key, now)
        response = self._dependencies.workers.find_task(
            run.address, run.request_key
        )
        task = response.value_or(None)
        if task is not None and task.get('end') is None:
            # The task is still running: check again later.
            self._unowned_since[run.request_key] = now
            return
        if task is None and now - since < _runs.LOST_AFTER:
            return
        has_ended = task is not None and not task.get('interrupted')
        state = State.FINISHED if has_ended else State.LOST
        written = self._runs.write(run._replace(state=state))
        if isinstance(written, result.Success):
            self._unowned_since.pop(run.request_key, None)
            self._metrics.batch_runs.labels(state.value).inc()
            log.info('run %s of job %s is %s', run.run, run.job, state.value)

    def _checkpoint_if_draining(self, run: _runs.Run) -> None:
        """Checkpoint a run that has delayed a drain for too long."""
        instance = self._find_held_instance(run.instance)
        if instance is None or instance.phase is not Phase.DRAINING:
            return
        since = datetime.datetime.fromisoformat(instance.since)
        if self._dependencies.clock.now() - since >= _DRAIN_GRACE_PERIOD:
            self._preempt(run, _preemption.PreemptionMethod.CHECKPOINT)

    def _preempt(
        self, run: _runs.Run, method: _preemption.PreemptionMethod
    ) -> None:
        """Record that a run is throttled or checkpointed, then do it."""
        if self._find_held_instance(run.instance) is None:
            return
        is_throttling = method is _preemption.PreemptionMethod.THROTTLE
        state = State.THROTTLED if is_throttling else State.CHECKPOINTED
        written = self._runs.write(run._replace(state=state))
        if not isinstance(written, result.Success):
            return
        actions = ['throttle'] if is_throttling else ['checkpoint', 'stop']
        for action in actions:
            self._dependencies.workers.control_task(
                run.address, run.request_key, action
            )
        self._metrics.batch_runs.labels(method.value).inc()
