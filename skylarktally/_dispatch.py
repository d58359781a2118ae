"""Dispatch of an admitted request: worker choice, attempts, retries."""

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


class Reservation:
    """A chosen worker with a lease on its slots, to be released once."""

    def __init__(
        self,
        pool: _pools.PoolState,
        worker: _selection.Worker,
        lease: _slots.Lease,
        leases: _slots.SlotLeases,
        clock: _clock.Clock,
        rank: int,
    ) -> None:
        self.worker = worker
        self.lease = lease
        self._rank = rank
        self._pool = pool
        self._leases = leases
        self._clock = clock
        self.start = clock.monotonic()
        self._released = False
        pool.queue.note_start(rank)

    def release(self, reusable: bool = True) -> None:
        """Release the slots; further calls do nothing.

        :param reusable: False when the task may still run under the
            lease, or when the worker has refused the lease
        """
        if self._released:
            return
        self._released = True
        yielded_to_others = self._leases.release(self.lease, reusable)
        self._pool.selection.note_end(self.worker, self.lease.slots)
        if yielded_to_others:
            self._pool.selection.note_yield(self.worker)
        hold_time = self._clock.monotonic() - self.start
        self._pool.queue.note_end(self._rank, hold_time)


class Delivery:
    """A worker's response while it is relayed to the caller."""

    def __init__(
        self,
        response: _responses.RelayedResponse,
        reservation: Reservation,
        pool: _pools.PoolState,
    ) -> None:
        self.response = response
        self.instance = reservation.worker.instance.name
        self._reservation = reservation
        self._pool = pool

    def iterate(self) -> Iterator[bytes]:
        """Yield the body, then release the slots."""
        try:
            yield from self.response.iterate()
        except _responses.TruncatedResponse:
            self._pool.selection.outliers.note_failure(self.instance)
            raise
        finally:
            self.close()

    def close(self) -> None:
        """Release the slots and the connection."""
        self.response.close()
        # Without a complete response, the task may still run at the worker.
        self._reservation.release(reusable=self.response.complete)


class Dispatcher:
    """Sends an admitted request to a worker, with retries."""

    def __init__(
        self,
        clock: _clock.Clock,
        limits: _limits.ServingLimits,
        leases: _slots.SlotLeases,
        relay: _relay.Relay,
        client: _worker_client.WorkerClient,
        retries: _retries.RetryPolicy,
        metrics: _metrics.ServingMetrics,
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._leases = leases
        self._relay = relay
        self._client = client
        self._retries = retries
        self._metrics = metrics

    def dispatch(
        self,
        exchange: _exchange.Exchange,
        pool: _pools.PoolState,
        waiter: _admission.Waiter,
        pools: _pools.Pools,
    ) -> result.Result[Delivery, _errors.Failure]:
        """Send the request to a worker and retry it if that is safe.

        :param waiter: the request in the queue of its pool
        :returns: the response to relay, or the failure to report;
            OUTCOME_UNKNOWN when an attempt may have run the request
        :raises RequestError: when the caller's body cannot be read
        """
        may_have_run = False
        while True:
            acquired = self._acquire(exchange, waiter, pools)
            if not isinstance(acquired, result.Success):
                return _fail(acquired.failure(), may_have_run)
            reservation = acquired.unwrap()
            exchange.attempts += 1
            sent = self._send(exchange, reservation)
            if isinstance(sent, result.Success):
                delivery = self._handle_response(
                    exchange, pool, reservation, sent.unwrap()
                )
                if delivery is not None:
                    return result.Success(delivery)
                may_have_run = True
                continue
            failure = sent.failure()
            may_have_run = may_have_run or failure.may_have_run
            self._note_failure(pool, reservation, failure)
            reservation.release(reusable=failure.lease_unused)
            if not failure.connection_unresponsive:
                exchange.tried_workers.add(reservation.worker.instance.name)
            if not self._wait_for_retry(exchange, pool, failure):
                return _fail(_convert_failure(failure), may_have_run)

    def _acquire(
        self,
        exchange: _exchange.Exchange,
        waiter: _admission.Waiter,
        pools: _pools.Pools,
    ) -> result.Result[Reservation, _errors.Failure]:
        """Wait for a worker with free slots, then leave the queue."""
        try:
            return self._wait_for_reservation(exchange, waiter, pools)
        finally:
            pools.find(exchange.pool).queue.leave(waiter)

    def _wait_for_reservation(
        self,
        exchange: _exchange.Exchange,
        waiter: _admission.Waiter,
        pools: _pools.Pools,
    ) -> result.Result[Reservation, _errors.Failure]:
        while True:
            pool = pools.find(exchange.pool)
            selection = pool.selection
            if not selection.workers:
                kind = _errors.ErrorKind.NO_CAPACITY
                message = 'no worker of the pool serves in this zone'
                return result.Failure(_errors.Failure(kind, message))
            worker = None
            if pool.queue.is_first(waiter):
                untried = len(exchange.tried_workers) < len(selection.workers)
                excluded = exchange.tried_workers if untried else set()
                worker = selection.choose(excluded, exchange.job.slots)
            if worker is not None:
                reservation = self._reserve(
                    pool, worker, exchange.job.slots, waiter.rank
                )
                if reservation is not None:
                    pool.queue.wake()
                    if self._clock.monotonic() < waiter.deadline:
                        return result.Success(reservation)
                    reservation.release()
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
    ) -> Reservation | None:
        """Take a free lease on the worker or request another one.

        :returns: None when the worker grants no lease
        """
        selection = pool.selection
        lease = self._leases.take(worker.instance, slots)
        selection.note_start(worker, slots)
        if lease is None:
            requested = self._leases.request(worker.instance, slots)
            if not isinstance(requested, result.Success):
                selection.note_end(worker, slots)
                self._note_lease_refusal(pool, worker, requested.failure())
                return None
            lease = requested.unwrap()
        return Reservation(
            pool, worker, lease, self._leases, self._clock, rank
        )

    def _note_lease_refusal(
        self,
        pool: _pools.PoolState,
        worker: _selection.Worker,
        failure: _errors.Failure,
    ) -> None:
        delay = self._limits.poll_interval
        if failure.kind is _errors.ErrorKind.WORKER_UNREACHABLE:
            # A silent or broken connection alone is no reason for ejection.
            if not self.probe(worker.instance.address):
                self._eject(pool, worker, unreachable=True)
            return
        if failure.message in ('stale_epoch', 'not_fenced'):
            delay *= 10
        pool.selection.note_full(worker, delay)

    def probe(self, address: str) -> bool:
        """Tell whether a worker responds on a new connection.

        It also counts as responding when this router has no connection
        left for the probe.
        """
        timeout = self._limits.probe_timeout
        called = self._client.call(
            address, 'GET', '/v1/fence', None, timeout, new_connection=True
        )
        if isinstance(called, result.Success):
            return called.unwrap().status == 200
        kind = called.failure().kind
        return kind is _errors.ErrorKind.NO_CAPACITY

    def probe_ejected(self, pool: _pools.PoolState, name: str) -> None:
        """Probe an ejected worker and put it on trial if it responds."""
        worker = pool.selection.workers.get(name)
        if worker is not None:
            answered = self.probe(worker.instance.address)
            pool.selection.outliers.note_probe(name, answered)
            pool.selection.update(name)

    def _eject(
        self,
        pool: _pools.PoolState,
        worker: _selection.Worker,
        unreachable: bool,
    ) -> None:
        name = worker.instance.name
        if pool.selection.outliers.note_failure(name, unreachable):
            self._metrics.ejections.labels(pool.name).inc()
        pool.selection.update(name)

    def _send(
        self, exchange: _exchange.Exchange, reservation: Reservation
    ) -> result.Result[_responses.RelayedResponse, _relay.AttemptFailure]:
        instance = reservation.worker.instance
        remaining = exchange.deadline - self._clock.monotonic()
        key = exchange.key or f'{exchange.request_id}-{exchange.attempts}'
        target = _relay.Destination(
            address=instance.address,
            path='/v1/tasks/' + exchange.subpath,
            headers=(
                ('Lease-Id', reservation.lease.lease_id),
                ('Request-Key', key),
                (
                    'Timeout-Ms',
                    str(max(int(remaining.total_seconds() * 1000), 1)),
                ),
                ('Job', exchange.job.name),
            ),
            task_key=key,
        )
        try:
            return self._relay.send(exchange, target)
        except BaseException:
            reservation.release(reusable=not exchange.sent)
            raise

    def _handle_response(
        self,
        exchange: _exchange.Exchange,
        pool: _pools.PoolState,
        reservation: Reservation,
        response: _responses.RelayedResponse,
    ) -> Delivery | None:
        """Return the delivery, or None after the delay before a retry."""
        failure_class = _retries.classify_status(response.status)
        if failure_class is not None:
            if response.status != 504 or self._had_usual_time(
                exchange, reservation
            ):
                self._eject(pool, reservation.worker, unreachable=False)
        else:
            pool.selection.outliers.note_success(
                reservation.worker.instance.name
            )
        delivery = Delivery(response, reservation, pool)
        if response.complete:
            delivery.close()
        if failure_class is None:
            return delivery
        failure = _relay.AttemptFailure(
            failure_class,
            'the task failed',
            may_have_run=True,
            retry_after=_relay.read_retry_after(dict(response.headers)),
        )
        exchange.tried_workers.add(reservation.worker.instance.name)
        if not self._wait_for_retry(exchange, pool, failure):
            return delivery
        delivery.close()
        return None

    def _had_usual_time(
        self, exchange: _exchange.Exchange, reservation: Reservation
    ) -> bool:
        """Tell whether the worker had as much time as the job usually needs.

        A worker that stops tasks at the deadline must not be ejected
        because of callers with short deadlines.
        """
        elapsed = self._clock.monotonic() - reservation.start
        return elapsed > _relay.compute_answer_timeout(exchange, self._limits)

    def _note_failure(
        self,
        pool: _pools.PoolState,
        reservation: Reservation,
        failure: _relay.AttemptFailure,
    ) -> None:
        self._metrics.attempt_failures.labels(
            pool.name, failure.failure_class.value
        ).inc()
        if failure.connection_unresponsive:
            self._metrics.silent_connections.inc()
        if failure.counts_against_worker:
            self._eject(pool, reservation.worker, failure.worker_unreachable)

    def _wait_for_retry(
        self,
        exchange: _exchange.Exchange,
        pool: _pools.PoolState,
        failure: _relay.AttemptFailure,
    ) -> bool:
        not_sent = not exchange.sent
        repeatable = exchange.idempotent and exchange.body.replayable
        delay = self._retries.decide(
            _retries.FailedAttempt(
                pool.name,
                exchange.job.urgency == 'urgent',
                failure.failure_class,
                not_sent or repeatable,
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


def _convert_failure(failure: _relay.AttemptFailure) -> _errors.Failure:
    kind = _errors.ErrorKind.WORKER_REFUSED
    if failure.worker_unreachable:
        kind = _errors.ErrorKind.WORKER_UNREACHABLE
    return _errors.Failure(kind, failure.message, failure.retry_after)


def _fail(
    failure: _errors.Failure, may_have_run: bool
) -> result.Result[Delivery, _errors.Failure]:
    """Return the failure, as OUTCOME_UNKNOWN if an attempt may have run."""
    if may_have_run:
        kind = _errors.ErrorKind.OUTCOME_UNKNOWN
        failure = _errors.Failure(kind, failure.message)
    return result.Failure(failure)
