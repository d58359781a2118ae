"""Callers of the serving port, with a record of every answer."""

from collections.abc import Callable
import random
import time
from typing import Any, NamedTuple

import urllib3

from demo import _balancer
from demo import _deployment
from skylarktally import _loop

_TIMEOUT_SECONDS = 10.0
# An urgent request that may be sent again does not wait for a frozen entry.
_URGENT_TIMEOUT_SECONDS = 2.0
_OWN_PREFIX = 'demo-'
_MOST_ATTEMPTS = 8
_PAUSE_SECONDS = 0.2
_BROKEN = (urllib3.exceptions.HTTPError, _balancer.ConnectionClosed)
# Errors after which the outcome of an earlier attempt is read by its key.
_ASK_AGAIN = ('connection', 'duplicate_request')


class Attempt(NamedTuple):
    """One attempt to send a request."""

    entry: str
    # Since the request's first attempt.
    start_seconds: float
    seconds: float
    outcome: str
    error: str


class Call(NamedTuple):
    """The outcome of one request."""

    key: str
    pool: str
    job: str
    urgency: str
    idempotent: bool
    # complete, not-run, unknown or wrong-answer
    outcome: str
    attempts: tuple[Attempt, ...]
    seconds: float
    # Error kind of the last attempt, empty after an answer.
    error: str

    @property
    def needs_table(self) -> bool:
        """Tell whether the request has to wait for the platform's table."""
        return not self.idempotent and self.key.startswith(_OWN_PREFIX)


class Callers:
    """Open-loop callers behind a load balancer.

    A request that was not run or whose connection broke, and any idempotent
    request, is sent again; a non-idempotent one only under the same key.
    """

    def __init__(
        self,
        deployment: _deployment.Deployment,
        seed: int,
        task_seconds: float | None = None,
        timeout_seconds: float | None = None,
    ) -> None:
        """Create the callers.

        :param task_seconds: run time of every task; None for the time that
            its job declares
        :param timeout_seconds: for every request, and told to the router;
            None for a shorter time where a request may be sent again
        """
        self.calls: list[Call] = []
        self._task_seconds = task_seconds
        self._timeout_seconds = timeout_seconds
        self._deployment = deployment
        self._balancer = _balancer.Balancer(deployment.entries)
        self._random = random.Random(seed)
        self._jobs = [
            resource
            for resource in deployment.resources
            if resource['kind'] == 'job'
        ]

    def run(self, duration_seconds: float, rate: float) -> None:
        """Send requests at a mean rate per second, and wait for the last."""
        self._balancer.start()
        threads = []
        end = time.monotonic() + duration_seconds
        number = 0
        while time.monotonic() < end:
            number += 1
            job = self._choose_job(end - time.monotonic(), duration_seconds)
            threads.append(_loop.spawn(self._call, number, job))
            _loop.sleep(self._random.expovariate(rate))
        for thread in threads:
            thread.wait()

    def send_at(
        self, job: dict[str, Any], find_rate: Callable[[], float], end: float
    ) -> None:
        """Send requests of one job at a changing rate until a Unix time."""
        threads = []
        number = 0
        due = time.time()
        while due < end:
            # Arrivals keep their times when this process is late.
            _loop.sleep(max(due - time.time(), 0))
            number += 1
            key = f'{_OWN_PREFIX}{number:06d}'
            threads.append(_loop.spawn(self._call_under, key, job))
            # A low rate must not hide a rise that comes before its due time.
            due += min(self._random.expovariate(find_rate()), 1.0)
        for thread in threads:
            thread.wait()

    def repeat(self, place: int, job: dict[str, Any], end: float) -> None:
        """Send requests of one job one after another until a Unix time.

        Each caller keeps to one entry. With a random one for each request,
        callers gather in the slowest zone and the demand of the others does
        not last.
        """
        entries = self._deployment.entries
        entry = entries[place % len(entries)]
        number = 0
        while time.time() < end:
            number += 1
            key = f'{_OWN_PREFIX}{place:03d}-{number:06d}'
            self._call_under(key, job, entry)

    def _choose_job(self, left: float, duration: float) -> dict[str, Any]:
        """Give each pool in turn five times the weight of the others."""
        pools = sorted({job['spec']['pool'] for job in self._jobs})
        surge = pools[int((1 - left / duration) * len(pools)) % len(pools)]
        weights = [
            5.0 if job['spec']['pool'] == surge else 1.0 for job in self._jobs
        ]
        return dict(self._random.choices(self._jobs, weights)[0])

    def _call(self, number: int, job: dict[str, Any]) -> None:
        self._call_under(self._choose_key(number, job), job)

    def _call_under(
        self,
        key: str,
        job: dict[str, Any],
        first: _deployment.Entry | None = None,
    ) -> None:
        started = time.monotonic()
        outcome, error = 'not-run', ''
        attempts: list[Attempt] = []
        while len(attempts) < _MOST_ATTEMPTS:
            entry = first or self._balancer.choose(self._random)
            first = None
            sent = time.monotonic()
            outcome, error = self._send(entry, job, key)
            attempts.append(
                Attempt(
                    entry.name,
                    sent - started,
                    time.monotonic() - sent,
                    outcome,
                    error,
                )
            )
            final = outcome in ('complete', 'wrong-answer')
            if final or not self._may_resend(job, outcome, error):
                break
            _loop.sleep(_PAUSE_SECONDS * len(attempts))
        spec = job['spec']
        if not spec['idempotent'] and outcome in ('not-run', 'unreachable'):
            # A refusal says nothing about an earlier attempt.
            if any(x.outcome == 'unknown' for x in attempts):
                outcome = 'unknown'
        self.calls.append(
            Call(
                key=key,
                pool=spec['pool'],
                job=job['name'],
                urgency=spec['urgency'],
                idempotent=spec['idempotent'],
                outcome=outcome,
                attempts=tuple(attempts),
                seconds=time.monotonic() - started,
                error=error,
            )
        )

    def _choose_key(self, number: int, job: dict[str, Any]) -> str:
        """Let routers issue every second key of non-idempotent requests."""
        if job['spec']['idempotent'] or number % 2:
            return f'{_OWN_PREFIX}{number:06d}'
        while True:
            entry = self._balancer.choose(self._random)
            try:
                response = self._balancer.send(
                    entry,
                    '/v1/request-keys',
                    headers={
                        'Authorization': (
                            f'Bearer {self._deployment.caller_token}'
                        )
                    },
                    timeout=2.0,
                )
                return str(response.json()['key'])
            except (*_BROKEN, KeyError):
                _loop.sleep(_PAUSE_SECONDS)

    def _may_resend(
        self, job: dict[str, Any], outcome: str, error: str
    ) -> bool:
        # A resend under the same key never runs a request twice; it is
        # how a caller finds out what became of the first attempt.
        return outcome in ('not-run', 'unreachable') or (
            outcome == 'unknown'
            and (job['spec']['idempotent'] or error in _ASK_AGAIN)
        )

    def _send(
        self, entry: _deployment.Entry, job: dict[str, Any], key: str
    ) -> tuple[str, str]:
        """Send one attempt; return its outcome and error kind."""
        spec = job['spec']
        timeout = _TIMEOUT_SECONDS
        if spec['idempotent'] and spec['urgency'] == 'urgent':
            timeout = _URGENT_TIMEOUT_SECONDS
        headers = {
            'Authorization': f'Bearer {self._deployment.caller_token}',
            'Idempotency-Key': key,
        }
        if self._timeout_seconds is not None:
            timeout = self._timeout_seconds
            headers['Skylarktally-Timeout-Ms'] = str(int(timeout * 1000))
        seconds = self._task_seconds or spec['expected_seconds']
        path = (
            f'/v1/pools/{spec["pool"]}/jobs/{job["name"]}/desk'
            f'?seconds={seconds}'
        )
        body = f'{key} {job["name"]}'.encode()
        try:
            response = self._balancer.send(
                entry,
                path,
                body=body,
                headers=headers,
                timeout=timeout,
            )
        except urllib3.exceptions.NewConnectionError:
            return 'unreachable', 'connection'
        except _BROKEN:
            return 'unknown', 'connection'
        return self._classify(response, key)

    def _classify(
        self, response: urllib3.BaseHTTPResponse, key: str
    ) -> tuple[str, str]:
        outcome = response.headers.get('Skylarktally-Outcome', 'unknown')
        if outcome != 'complete':
            return outcome, str(response.json()['error']['kind'])
        if key.encode() in response.data:
            return 'complete', ''
        return 'wrong-answer', ''
