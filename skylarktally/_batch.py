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
# Without batch jobs and rows only those of other zones are left to clear.
_IDLE_INTERVAL = datetime.timedelta(seconds=30)
_STARTS_LIMIT = 16
_DRAIN_PATIENCE = datetime.timedelta(seconds=30)


class BatchRunner:
    """Batch runs of one controller.

    :param spawn: starts a function in a green thread of its own
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
        # Whether the last pass found jobs, or rows, perhaps of deleted jobs.
        self._is_busy = False
        # Request keys of the tasks that this process waits for.
        self._own: set[str] = set()
        # When a run without an owner was first seen, by request key.
        self._orphans: dict[str, datetime.timedelta] = {}

    def step(self) -> None:
        """Start, adopt and preempt runs on the instances held."""
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
        self._cancel([run for run in runs if run.job not in jobs])
        for run in runs:
            self._settle(run, jobs.get(run.job))
        self._place(jobs, runs)

    def count_awaited_tasks(self) -> int:
        """Return how many tasks this process waits for."""
        return len(self._own)

    def _find_held(self, name: str) -> _resources.Instance | None:
        """Return an instance of this zone whose shard is held."""
        resource = self._dependencies.fleet.find(Kind.INSTANCE, name)
        if resource is None:
            return None
        instance = _resources.decode_instance(resource)
        shard = _steps.find_shard(instance)
        here = instance.zone == self._dependencies.zone
        return (
            instance
            if here and self._dependencies.leases.holds(shard)
            else None
        )

    def _place(
        self, jobs: dict[str, _resources.Job], runs: list[_runs.Run]
    ) -> None:
        # All zones make the same plan, and each one carries out its part.
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
        self._explain(placements)
        for preemption in placements.preemptions:
            run = known[preemption.job, preemption.run]
            self._relieve(run, preemption.relief)
        starts = 0
        for assignment in placements.assignments:
            instance = self._find_held(assignment.instance)
            if instance is None or starts >= _STARTS_LIMIT:
                continue
            starts += 1
            old = known.get((assignment.job, assignment.run))
            self._start(jobs[assignment.job], assignment, instance, old)

    def _explain(self, placements: _placement.Placements) -> None:
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
                'urgent jobs first, deferrable ones in the gaps',
                'waits',
            )

    def _start(
        self,
        job: _resources.Job,
        assignment: _placement.Assignment,
        instance: _resources.Instance,
        old: _runs.Run | None,
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
            attempt=old.attempt + 1 if old else 1,
            version=old.version if old else 0,
        )
        fence = self._dependencies.leases.find_fencing_condition(shard)
        written = (
            self._runs.write(run, fence)
            if fence is not None and lease.slots >= job.slots
            else None
        )
        if not isinstance(written, result.Success):
            self._dependencies.workers.release_lease(
                instance.address, lease.lease_id
            )
            return
        self._own.add(run.request_key)
        self._spawn(
            self._run, job, written.unwrap(), lease, assignment.resumes
        )

    def _run(
        self,
        job: _resources.Job,
        run: _runs.Run,
        lease: _workers.SlotLease,
        resumes: bool,
    ) -> None:
        """Send the task, wait for its end and record that."""
        task = _runs.build_task(job, run, resumes)
        renewal = self._spawn(self._renew, run, lease)
        try:
            ended = self._dependencies.workers.run_task(
                run.address, lease.lease_id, task
            )
            if isinstance(ended, result.Success):
                self._record(job, run, ended.unwrap())
        finally:
            # Without an answer the run is settled like an orphan.
            self._own.discard(run.request_key)
            if renewal is not None:
                renewal.kill()
            self._dependencies.workers.release_lease(
                run.address, lease.lease_id
            )

    def _renew(self, run: _runs.Run, lease: _workers.SlotLease) -> None:
        while run.request_key in self._own:
            self._dependencies.clock.sleep(_runs.LEASE_TTL / 3)
            self._dependencies.workers.renew_lease(
                run.address, lease.lease_id, _runs.LEASE_TTL
            )

    def _record(
        self, job: _resources.Job, run: _runs.Run, end: _workers.TaskResult
    ) -> None:
        if not end.started:
            # Known not to have run, so that it may be placed anew.
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

    def _cancel(self, runs: list[_runs.Run]) -> None:
        """Stop the runs of deleted jobs and delete their rows.

        The cost is one call for each run that still runs, and one
        transaction for each hundred rows.
        """
        if not runs:
            return
        known = {(run.job, run.run): run for run in runs}
        reports = _placement.index_usage(map(_runs.build_report, runs))
        ended = []
        for cancelled in _placement.plan_cancellations(
            sorted(reports), reports
        ):
            run = known.pop((cancelled.job, cancelled.run))
            if self._find_held(run.instance) is None:
                continue
            # The row stays until the worker has been told: the next pass,
            # of whichever controller, tries again.
            stopped = self._dependencies.workers.control_task(
                run.address, run.request_key, 'stop'
            )
            if isinstance(stopped, result.Success):
                ended.append(run)
        self._metrics.batch_runs.labels('cancelled').inc(len(ended))
        if self._dependencies.leases.holds(_planning.ZONE_SHARD):
            ended += known.values()
        self._runs.delete_all(ended)

    def _settle(self, run: _runs.Run, job: _resources.Job | None) -> None:
        """Look after a run that no task of this process stands for."""
        if run.state in _runs.ACTIVE_STATES and (
            job is not None or self._find_held(run.instance) is None
        ):
            if run.request_key not in self._own:
                self._adopt(run)
            elif job is not None and job.idempotent:
                self._hurry(run)

    def _adopt(self, run: _runs.Run) -> None:
        """Learn from the worker what became of an orphan."""
        found = self._dependencies.fleet.find(Kind.INSTANCE, run.instance)
        if found is not None and self._find_held(run.instance) is None:
            return
        now = self._dependencies.clock.monotonic()
        since = self._orphans.setdefault(run.request_key, now)
        seen = self._dependencies.workers.find_task(
            run.address, run.request_key
        )
        known = seen.value_or(None)
        if known is not None and known.get('end') is None:
            # It runs; nothing is to be done before its end.
            self._orphans[run.request_key] = now
            return
        if known is None and now - since < _runs.ADOPT_AFTER:
            return
        ended = known is not None and not known.get('interrupted')
        state = State.FINISHED if ended else State.LOST
        written = self._runs.write(run._replace(state=state))
        if isinstance(written, result.Success):
            self._orphans.pop(run.request_key, None)
            self._metrics.batch_runs.labels(state.value).inc()
            log.info('run %s of job %s is %s', run.run, run.job, state.value)

    def _hurry(self, run: _runs.Run) -> None:
        """Checkpoint a run whose instance waits to be drained."""
        instance = self._find_held(run.instance)
        if instance is None or instance.phase is not Phase.DRAINING:
            return
        since = datetime.datetime.fromisoformat(instance.since)
        if self._dependencies.clock.now() - since >= _DRAIN_PATIENCE:
            self._relieve(run, _preemption.Relief.CHECKPOINT)

    def _relieve(self, run: _runs.Run, relief: _preemption.Relief) -> None:
        """Record what is asked of a run, then ask its worker."""
        if self._find_held(run.instance) is None:
            return
        throttle = relief is _preemption.Relief.THROTTLE
        state = State.THROTTLED if throttle else State.CHECKPOINTED
        written = self._runs.write(run._replace(state=state))
        if not isinstance(written, result.Success):
            return
        actions = ['throttle'] if throttle else ['checkpoint', 'stop']
        for action in actions:
            self._dependencies.workers.control_task(
                run.address, run.request_key, action
            )
        self._metrics.batch_runs.labels(relief.value).inc()
