"""Filters select and dispatch: a slot, attempts, and retries."""

from collections.abc import Iterator
from returns import result

from skylarktally import _admission
from skylarktally import _clock
from skylarktally import _errors
from skylarktally import _exchange
from skylarktally import _limits
from skylarktally import _metrics
from skylarktally import _pools
from skylarktally import _relay
from skylarktally import _responses
from skylarktally import _retries
from skylarktally import _selection
from skylarktally import _slots
from skylarktally import _worker_client


class Grant:
    """A worker, a lease on one of its slots, and their return."""

    def __init__(
        self,
        pool: _pools.PoolState,
        worker: _selection.Worker,
        lease: _slots.Lease,
        slots: _slots.SlotLeases,
        clock: _clock.Clock,
        rank: int,
    ) -> None:
        self.worker = worker
        self.lease = lease
        self._rank = rank
        self._pool = pool
        self._slots = slots
        self._clock = clock
        self.start = clock.monotonic()
        self._returned = False
        pool.queue.note_start(rank)

    def give_back(self, reusable: bool = True) -> None:
        """Free the slot, once.

        :param reusable: False when the task may still run under the
            lease, or when the worker has refused the lease
        """
        if self._returned:
            return
        self._returned = True
        yielded = self._slots.release(self.lease, reusable)
        self._pool.selection.note_end(self.worker, self.lease.slots)
        if yielded:
            self._pool.selection.note_yield(self.worker)
        held = self._clock.monotonic() - self.start
        self._pool.queue.note_end(self._rank, held)


class Delivery:
    """A worker's answer on its way to the caller."""

    def __init__(
        self,
        answer: _responses.RelayedResponse,
        grant: Grant,
        pool: _pools.PoolState,
    ) -> None:
        self.response = answer
        self.instance = grant.worker.instance.name
        self._grant = grant
        self._pool = pool

    def iterate(self) -> Iterator[bytes]:
        """Yield the body and free the slot at its end."""
        try:
            yield from self.response.iterate()
        except _responses.TruncatedResponse:
            self._pool.selection.outliers.note_failure(self.instance)
            raise
        finally:
            self.close()

    def close(self) -> None:
        """Free the slot and the connection."""
        self.response.close()
        # The worker may still produce an answer that was not read whole.
        self._grant.give_back(reusable=self.response.complete)


class Dispatcher:
    """Carries an admitted exchange to a worker."""

    def __init__(
        self,
        clock: _clock.Clock,
        limits: _limits.ServingLimits,
        slots: _slots.SlotLeases,
        relay: _relay.Relay,
        calls: _worker_client.WorkerClient,
        retries: _retries.RetryPolicy,
        metrics: _metrics.ServingMetrics,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._slots = slots
        self._relay = relay
        self._calls = calls
        self._retries = retries
        self._metrics = metrics

    def dispatch(
        self,
        exchange: _exchange.Exchange,
        pool: _pools.PoolState,
        waiter: _admission.Waiter,
        pools: _pools.Pools,
    ) -> result.Result[Delivery, _errors.Failure]:
        """Return the answer to relay, or the failure to report.

        :raises RequestError: when the caller's body cannot be read
        """
        may_have_run = False
        while True:
            acquired = self._acquire(exchange, waiter, pools)
            if not isinstance(acquired, result.Success):
                return _judge(acquired.failure(), may_have_run)
            grant = acquired.unwrap()
            exchange.attempts += 1
            sent = self._send(exchange, grant)
            if isinstance(sent, result.Success):
                delivery = self._settle(exchange, pool, grant, sent.unwrap())
                if delivery is not None:
                    return result.Success(delivery)
                may_have_run = True
                continue
            failure = sent.failure()
            may_have_run = may_have_run or failure.may_have_run
            self._note_failure(pool, grant, failure)
            grant.give_back(reusable=failure.lease_unused)
            if not failure.connection_unresponsive:
                exchange.tried.add(grant.worker.instance.name)
            if not self._wait_for_retry(exchange, pool, failure):
                return _judge(_describe(failure), may_have_run)

    def _acquire(
        self,
        exchange: _exchange.Exchange,
        waiter: _admission.Waiter,
        pools: _pools.Pools,
    ) -> result.Result[Grant, _errors.Failure]:
        """Wait for a worker with a slot; no byte has been sent yet."""
        try:
            return self._find_grant(exchange, waiter, pools)
        finally:
            pools.find(exchange.pool).queue.leave(waiter)

    def _find_grant(
        self,
        exchange: _exchange.Exchange,
        waiter: _admission.Waiter,
        pools: _pools.Pools,
    ) -> result.Result[Grant, _errors.Failure]:
        while True:
            pool = pools.find(exchange.pool)
            selection = pool.selection
            if not selection.workers:
                kind = _errors.ErrorKind.NO_CAPACITY
                message = 'no worker of the pool serves in this zone'
                return result.Failure(_errors.Failure(kind, message))
            worker = None
            if pool.queue.may_go(waiter):
                untried = len(exchange.tried) < len(selection.workers)
                excluded = exchange.tried if untried else set()
                worker = selection.choose(excluded, exchange.job.slots)
            if worker is not None:
                grant = self._reserve(
                    pool, worker, exchange.job.slots, waiter.rank
                )
                if grant is not None:
                    pool.queue.wake()
                    if self._clock.monotonic() < waiter.deadline:
                        return result.Success(grant)
                    grant.give_back()
            elif pool.queue.wait(waiter):
                continue
            if self._clock.monotonic() >= waiter.deadline:
                kind = _errors.ErrorKind.DEADLINE_EXCEEDED
                message = 'no worker had a free slot before the deadline'
                return result.Failure(_errors.Failure(kind, message))

    def _reserve(
        self,
        pool: _pools.PoolState,
        worker: _selection.Worker,
        slots: int,
        rank: int,
    ) -> Grant | None:
        """Take a free lease of the worker or ask it for another one."""
        selection = pool.selection
        lease = self._slots.take(worker.instance, slots)
        selection.note_start(worker, slots)
        if lease is None:
            requested = self._slots.request(worker.instance, slots)
            if not isinstance(requested, result.Success):
                selection.note_end(worker, slots)
                self._note_refusal(pool, worker, requested.failure())
                return None
            lease = requested.unwrap()
        return Grant(pool, worker, lease, self._slots, self._clock, rank)

    def _note_refusal(
        self,
        pool: _pools.PoolState,
        worker: _selection.Worker,
        failure: _errors.Failure,
    ) -> None:
        delay = self._limits.poll_interval
        if failure.kind is _errors.ErrorKind.WORKER_UNREACHABLE:
            # A silent connection is no reason to eject the worker.
            if not self.probe(worker.instance.address):
                self._eject(pool, worker, dead=True)
            return
        if failure.message in ('stale_epoch', 'not_fenced'):
            delay *= 10
        pool.selection.note_full(worker, delay)

    def probe(self, address: str) -> bool:
        """Tell whether a worker answers on a new connection."""
        timeout = self._limits.probe_timeout
        called = self._calls.call(
            address, 'GET', '/v1/fence', None, timeout, new_connection=True
        )
        if isinstance(called, result.Success):
            return called.unwrap().status == 200
        kind = called.failure().kind
        return kind is _errors.ErrorKind.NO_CAPACITY

    def probe_ejected(self, pool: _pools.PoolState, name: str) -> None:
        """Put an ejected worker on trial if it answers."""
        worker = pool.selection.workers.get(name)
        if worker is not None:
            answered = self.probe(worker.instance.address)
            pool.selection.outliers.note_probe(name, answered)
            pool.selection.update(name)

    def _eject(
        self, pool: _pools.PoolState, worker: _selection.Worker, dead: bool
    ) -> None:
        name = worker.instance.name
        if pool.selection.outliers.note_failure(name, dead):
            self._metrics.ejections.labels(pool.name).inc()
        pool.selection.update(name)

    def _send(
        self, exchange: _exchange.Exchange, grant: Grant
    ) -> result.Result[_responses.RelayedResponse, _relay.AttemptFailure]:
        instance = grant.worker.instance
        left = exchange.deadline - self._clock.monotonic()
        key = exchange.key or f'{exchange.request_id}-{exchange.attempts}'
        target = _relay.Destination(
            address=instance.address,
            path='/v1/tasks/' + exchange.subpath,
            headers=(
                ('Lease-Id', grant.lease.lease_id),
                ('Request-Key', key),
                ('Timeout-Ms', str(max(int(left.total_seconds() * 1000), 1))),
                ('Job', exchange.job.name),
            ),
            task_key=key,
        )
        try:
            return self._relay.send(exchange, target)
        except BaseException:
            grant.give_back(reusable=not exchange.sent)
            raise

    def _settle(
        self,
        exchange: _exchange.Exchange,
        pool: _pools.PoolState,
        grant: Grant,
        answer: _responses.RelayedResponse,
    ) -> Delivery | None:
        """Return the delivery, or None after the wait before a retry."""
        failure_class = _retries.classify_status(answer.status)
        if failure_class is not None:
            if answer.status != 504 or self._had_time(exchange, grant):
                self._eject(pool, grant.worker, dead=False)
        else:
            pool.selection.outliers.note_success(grant.worker.instance.name)
        delivery = Delivery(answer, grant, pool)
        if answer.complete:
            delivery.close()
        if failure_class is None:
            return delivery
        failure = _relay.AttemptFailure(
            failure_class,
            'the task failed',
            may_have_run=True,
            retry_after=_relay.read_retry_after(dict(answer.headers)),
        )
        exchange.tried.add(grant.worker.instance.name)
        if not self._wait_for_retry(exchange, pool, failure):
            return delivery
        delivery.close()
        return None

    def _had_time(self, exchange: _exchange.Exchange, grant: Grant) -> bool:
        """Tell whether the deadline left a worker the usual time.

        Short deadlines of callers must not eject a worker that stops
        tasks on time.
        """
        passed = self._clock.monotonic() - grant.start
        return passed > _relay.compute_answer_timeout(exchange, self._limits)

    def _note_failure(
        self,
        pool: _pools.PoolState,
        grant: Grant,
        failure: _relay.AttemptFailure,
    ) -> None:
        self._metrics.attempt_failures.labels(
            pool.name, failure.failure_class.value
        ).inc()
        if failure.connection_unresponsive:
            self._metrics.silent_connections.inc()
        if failure.counts_against_worker:
            self._eject(pool, grant.worker, failure.worker_unreachable)

    def _wait_for_retry(
        self,
        exchange: _exchange.Exchange,
        pool: _pools.PoolState,
        failure: _relay.AttemptFailure,
    ) -> bool:
        untouched = not exchange.sent
        once = exchange.idempotent and exchange.body.replayable
        delay = self._retries.decide(
            _retries.FailedAttempt(
                pool.name,
                exchange.job.urgency == 'urgent',
                failure.failure_class,
                untouched or once,
                exchange.attempts,
                exchange.deadline,
                failure.retry_after,
            )
        )
        if delay is None:
            return False
        self._metrics.retries.labels(pool.name).inc()
        self._clock.sleep(delay)
        return True


def _describe(failure: _relay.AttemptFailure) -> _errors.Failure:
    kind = _errors.ErrorKind.WORKER_REFUSED
    if failure.worker_unreachable:
        kind = _errors.ErrorKind.WORKER_UNREACHABLE
    return _errors.Failure(kind, failure.message, failure.retry_after)


def _judge(
    failure: _errors.Failure, may_have_run: bool
) -> result.Result[Delivery, _errors.Failure]:
    """Keep a refusal as not run only if no attempt may have run."""
    if may_have_run:
        kind = _errors.ErrorKind.OUTCOME_UNKNOWN
        failure = _errors.Failure(kind, failure.message)
    return result.Failure(failure)
