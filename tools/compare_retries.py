"""Replays one load under several retry rules and prints their figures.

The replay is made of decisions only: arrivals, attempts and faults are
events on a manual clock, and the rules are those of the product.
"""

import collections
import datetime
import heapq
import itertools
import random
import statistics
from typing import Any, NamedTuple

from absl import app
from absl import flags

from skylarktally import _limits
from skylarktally import _outliers
from skylarktally import _retries

_SEEDS = flags.DEFINE_list('seeds', ['1', '2', '3', '4', '5'], 'Seeds.')

_PLAIN = _retries.RetryRules(False, False, False, False)
_ALL = _retries.RetryRules(True, True, True, True)


class Variant(NamedTuple):
    """Retry rules, and whether failing workers are ejected."""

    rules: _retries.RetryRules | None
    ejects: bool = True
    # Retries that the budget can hold; None means the default.
    reserve: int | None = None
    # Gives up when no healthy worker is left to try.
    by_health: bool = False


VARIANTS = {
    'no retry': Variant(None, ejects=False),
    'plain': Variant(_PLAIN, ejects=False),
    'no retry, ejection': Variant(None),
    'plain, ejection': Variant(_PLAIN),
    '+ class': Variant(_PLAIN._replace(retry_task_failure_once=True)),
    '+ health': Variant(_PLAIN, by_health=True),
    '+ Retry-After': Variant(_PLAIN._replace(honour_retry_after=True)),
    '+ budget': Variant(_PLAIN._replace(budget=True)),
    '+ budget by priority': Variant(
        _PLAIN._replace(budget=True, reserve_for_urgent=True)
    ),
    'all': Variant(_ALL, by_health=True),
    'all - class': Variant(
        _ALL._replace(retry_task_failure_once=False), by_health=True
    ),
    'all - health': Variant(_ALL),
    'all - Retry-After': Variant(
        _ALL._replace(honour_retry_after=False), by_health=True
    ),
    'all - budget': Variant(
        _ALL._replace(budget=False, reserve_for_urgent=False),
        by_health=True,
    ),
    'all - priority': Variant(
        _ALL._replace(reserve_for_urgent=False), by_health=True
    ),
    'all, reserve 10': Variant(_ALL, reserve=10),
    'all, reserve 30': Variant(_ALL, reserve=30),
    'all, reserve 100': Variant(_ALL, reserve=100),
    'kept': Variant(_retries.RetryRules()),
}

LENGTH = 200.0
_WORKERS = 6
_SLOTS = 8
# Requests a second; the pool holds 240.
_RATE = 60.0
_SURGES = ((60.0, 80.0, 5.0),)
_SERVICE = 0.2
_URGENT_SHARE = 0.7
# Share of the requests that fail with 500 on every worker.
_POISON_SHARE = 0.01
_DEADLINES = {True: 5.5, False: 30.0}


class Fault(NamedTuple):
    """A worker's fault during a time; the times are in seconds."""

    worker: int
    start: float
    end: float
    kind: str


def _fault_all(start: float, end: float, kind: str) -> list[Fault]:
    return [Fault(x, start, end, kind) for x in range(_WORKERS)]


FAULTS = [
    Fault(0, 20.0, 50.0, 'failing'),
    Fault(1, 90.0, 120.0, 'dead'),
    Fault(2, 100.0, 110.0, 'busy'),
    *_fault_all(130.0, 135.0, 'busy'),
    *_fault_all(160.0, 165.0, 'failing'),
]


class Clock:
    """Manual clock of the replay."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def monotonic(self) -> datetime.timedelta:
        """Return the time of the current event."""
        return datetime.timedelta(seconds=self.seconds)

    def now(self) -> datetime.datetime:
        """Return the same time as a date."""
        start = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
        return start + self.monotonic()

    def sleep(self, delay: datetime.timedelta) -> None:
        """Refuse to wait; the replay moves by events."""
        raise NotImplementedError


class Request:
    """One request of the load."""

    def __init__(
        self, arrival: float, urgent: bool, poison: bool, service: float
    ) -> None:
        self.arrival = arrival
        self.urgent = urgent
        self.poison = poison
        self.service = service
        self.deadline = arrival + _DEADLINES[urgent]
        self.attempts = 0
        self.tried: set[int] = set()
        self.finished: float | None = None


class Outcome(NamedTuple):
    """End of one attempt."""

    status: int
    seconds: float
    retry_after: float | None = None


def create_load(seed: int) -> list[Request]:
    """Return the same requests for the same seed."""
    source = random.Random(seed)  # noqa: S311
    requests = []
    time = 0.0
    while time < LENGTH:
        factor = max(
            (f for start, end, f in _SURGES if start <= time < end),
            default=1.0,
        )
        time += source.expovariate(_RATE * factor)
        requests.append(
            Request(
                time,
                source.random() < _URGENT_SHARE,
                source.random() < _POISON_SHARE,
                source.lognormvariate(-0.125, 0.5) * _SERVICE,
            )
        )
    return requests


class Replay:
    """Runs a load against workers with faults under retry rules."""

    def __init__(self, seed: int, variant: Variant) -> None:
        self.requests = create_load(seed)
        self.clock = Clock()
        self.attempt_times: list[float] = []
        self._rules = variant.rules
        self._ejects = variant.ejects
        self._by_health = variant.by_health
        self._waiting: collections.deque[Request] = collections.deque()
        self._random = random.Random(seed + 1000)  # noqa: S311
        limits = _limits.ServingLimits()
        if variant.reserve is not None:
            limits = limits._replace(retry_budget_limit=variant.reserve)
        self._policy = _retries.RetryPolicy(
            self.clock, limits, self._random, variant.rules
        )
        self._outliers = _outliers.OutlierDetector(self.clock, limits)
        self._outliers.track({str(x) for x in range(_WORKERS)})
        self._running = [0] * _WORKERS
        self._events: list[tuple[float, int, Any, Any]] = []
        self._numbers = itertools.count()

    def run(self) -> None:
        """Process all events."""
        for request in self.requests:
            self._schedule(request.arrival, self._arrive, request)
        while self._events:
            self.clock.seconds, _, action, argument = heapq.heappop(
                self._events
            )
            action(*argument)

    def _schedule(self, time: float, action: Any, *argument: Any) -> None:
        event = (time, next(self._numbers), action, argument)
        heapq.heappush(self._events, event)

    def _arrive(self, request: Request) -> None:
        self._policy.note_request('pool')
        self._attempt(request)

    def _list_candidates(self, request: Request) -> list[int]:
        untried = [x for x in range(_WORKERS) if x not in request.tried]
        if not self._ejects:
            return untried
        for name in self._outliers.list_due_probes():
            answers = self._find_fault(int(name)) != 'dead'
            self._outliers.note_probe(name, answers)
        ejected = _outliers.Health.EJECTED
        records = self._outliers.records
        return [x for x in untried if records[str(x)].health is not ejected]

    def _attempt(self, request: Request) -> None:
        if self.clock.seconds >= request.deadline:
            return
        candidates = self._list_candidates(request)
        if not candidates:
            request.tried.clear()
            candidates = list(range(_WORKERS))
        candidates = [x for x in candidates if self._running[x] < _SLOTS]
        if not candidates:
            self._waiting.append(request)
            return
        picks = self._random.sample(candidates, min(2, len(candidates)))
        worker = min(picks, key=lambda x: self._running[x])
        request.tried.add(worker)
        request.attempts += 1
        self.attempt_times.append(self.clock.seconds)
        outcome = self._judge(request, worker)
        runs = outcome.status in (200, 500)
        self._running[worker] += runs
        end = self.clock.seconds + outcome.seconds
        self._schedule(end, self._finish, request, worker, outcome, runs)

    def _find_fault(self, worker: int) -> str:
        time = self.clock.seconds
        for fault in FAULTS:
            if fault.worker == worker and fault.start <= time < fault.end:
                return fault.kind
        return ''

    def _judge(self, request: Request, worker: int) -> Outcome:
        fault = self._find_fault(worker)
        if fault == 'dead':
            return Outcome(0, 0.05)
        if fault == 'busy':
            return Outcome(503, 0.002, 2.0)
        if fault == 'failing' or request.poison:
            return Outcome(500, 0.01)
        return Outcome(200, request.service)

    def _finish(
        self, request: Request, worker: int, outcome: Outcome, runs: bool
    ) -> None:
        self._running[worker] -= runs
        while runs and self._waiting:
            waiting = self._waiting.popleft()
            if self.clock.seconds < waiting.deadline:
                self._schedule(self.clock.seconds, self._attempt, waiting)
                break
        if outcome.status == 200:
            self._outliers.note_success(str(worker))
            if self.clock.seconds <= request.deadline:
                request.finished = self.clock.seconds
            return
        if outcome.status != 503:
            self._outliers.note_failure(str(worker))
        if self._rules is None:
            return
        if self._by_health and not self._list_candidates(request):
            return
        delay = self._policy.decide(self._describe(request, outcome))
        if delay is not None:
            time = self.clock.seconds + delay.total_seconds()
            self._schedule(time, self._attempt, request)

    def _describe(
        self, request: Request, outcome: Outcome
    ) -> _retries.FailedAttempt:
        after = None
        if outcome.retry_after is not None:
            after = datetime.timedelta(seconds=outcome.retry_after)
        failure_class = _retries.FailureClass.TRANSPORT
        if outcome.status:
            failure_class = (
                _retries.classify_status(outcome.status) or failure_class
            )
        return _retries.FailedAttempt(
            pool='pool',
            urgent=request.urgent,
            failure_class=failure_class,
            resendable=True,
            attempt=request.attempts,
            deadline=datetime.timedelta(seconds=request.deadline),
            retry_after=after,
        )


class Figures(NamedTuple):
    """What one replay measured."""

    urgent_percent: float
    deferrable_percent: float
    urgent_p99_seconds: float
    attempts_per_request: float
    # Most attempts in any second, as a multiple of the mean arrivals.
    peak_factor: float
    # Attempts that did not end in an answer.
    wasted: float


def measure(seed: int, variant: Variant) -> Figures:
    """Replay one seed and return the figures."""
    replay = Replay(seed, variant)
    replay.run()
    served: dict[bool, list[float]] = {True: [], False: []}
    counts = {True: 0, False: 0}
    for request in replay.requests:
        # No policy can serve a request that fails everywhere.
        if request.poison:
            continue
        counts[request.urgent] += 1
        if request.finished is not None:
            times = served[request.urgent]
            times.append(request.finished - request.arrival)
    per_second = [0] * (int(max(replay.attempt_times)) + 1)
    for time in replay.attempt_times:
        per_second[int(time)] += 1
    urgent = sorted(served[True])
    answered = len(served[True]) + len(served[False])
    return Figures(
        100 * len(served[True]) / counts[True],
        100 * len(served[False]) / counts[False],
        urgent[int(len(urgent) * 0.99)],
        len(replay.attempt_times) / len(replay.requests),
        max(per_second) / _RATE,
        len(replay.attempt_times) - answered,
    )


def average(name: str, seeds: list[int]) -> Figures:
    """Return the mean figures of a variant over some seeds."""
    results = [measure(seed, VARIANTS[name]) for seed in seeds]
    return Figures(*(statistics.mean(x) for x in zip(*results, strict=True)))


def main(_argv: list[str]) -> None:
    """Print a table with one line for each variant."""
    seeds = [int(x) for x in _SEEDS.value]
    print('| rules | urgent served | deferrable served | urgent p99 |', end='')
    print(' attempts/request | peak | wasted attempts |')
    print('| --- |' + ' ---: |' * 6)
    for name in VARIANTS:
        x = average(name, seeds)
        print(
            f'| {name} | {x.urgent_percent:.2f} % |'
            f' {x.deferrable_percent:.2f} % | {x.urgent_p99_seconds:.2f} s |'
            f' {x.attempts_per_request:.3f} | {x.peak_factor:.1f} |'
            f' {x.wasted:.0f} |'
        )


if __name__ == '__main__':
    app.run(main)
