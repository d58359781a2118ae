"""Guards the platform against more requests than this system may send."""

import bisect
import datetime
import random

import pytest
from returns import result

from skylarktally import _errors
from skylarktally import _fleet
from skylarktally import _journal
from skylarktally import _leases
from skylarktally import _limits
from skylarktally import _table
from standins import table as standin_table
from tests import fakes
from tests import test_journal_machine

# Shares of one of 9 controllers and of one of 9 routers (section 6).
CONTROLLER_WRITES, ROUTER_WRITES, READS = 50 / 9, 100 / 9, 500 / 18
OUTAGE = (20, 50)
SECONDS = 70


class TimedTable(fakes.FaultyTable):
    """Rate-limited table of one process that records the time of requests."""

    def __init__(self, rows, clock, limits, times):
        super().__init__(rows)
        self.clock = clock
        self.limits = limits
        self.times = times

    def _send(self, kind, call):
        bucket = self.limits and getattr(self.limits, kind)
        admitted = bucket.acquire() if bucket else result.Success(None)
        if not isinstance(admitted, result.Success):
            return admitted
        now = self.clock.monotonic().total_seconds()
        self.times[kind].append(now)
        self.down = OUTAGE[0] <= now < OUTAGE[1]
        return call()

    def commit(self, transaction):
        commit = super().commit
        return self._send('writes', lambda: commit(transaction))

    def read(self, key):
        read = super().read
        return self._send('reads', lambda: read(key))

    def scan(self, prefix, after='', limit=1000):
        scan = super().scan
        return self._send('reads', lambda: scan(prefix, after, limit))


def run_processes(limited, seconds=SECONDS):
    """Simulate all processes on one timeline and return the request times."""
    rows = standin_table.RowStore()
    times = {'writes': [], 'reads': []}
    runs = []
    for number in range(18):
        clock = fakes.ManualClock()
        writes = CONTROLLER_WRITES if number % 2 else ROUTER_WRITES
        limits = (
            _limits.PlatformLimits(clock, writes, READS) if limited else None
        )
        table = TimedTable(rows, clock, limits, times)
        start = run_controller if number % 2 else run_router
        runs.append((clock, start(table, clock, number)))
    while runs:
        runs.sort(key=lambda run: run[0].elapsed)
        clock, steps = runs[0]
        if clock.elapsed >= datetime.timedelta(seconds=seconds):
            runs.pop(0)
        else:
            next(steps)
    return times


def run_controller(table, clock, number):
    """Renew leases every second and propose changes continuously."""
    leases = _leases.ShardLeases(
        table, clock, f'z{number % 3}', str(number), 1
    )
    source = random.Random(number)
    journal = _journal.Journal(
        table, _fleet.Fleet(), clock, str(number), source
    )
    change = test_journal_machine.build_change(f'c{number}', {})
    renewed_at = -1
    while True:
        if clock.elapsed.total_seconds() >= renewed_at + 1:
            renewed_at = clock.elapsed.total_seconds()
            leases.renew()
        yield
        journal.transact(lambda _: result.Success([change]))
        clock.advance(0.01)
        yield


def run_router(table, clock, number):
    """Claim request keys continuously."""
    count = 0
    while True:
        count += 1
        key = f'claim/{number}/{count}'
        write = _table.Write(key, {'owner': str(number)})
        condition = _table.Condition(key, 0)
        table.commit(_table.Transaction(key, (condition,), (write,)))
        clock.advance(0.01)
        yield


def find_peak_rate(times):
    ordered = sorted(times)
    return max(
        bisect.bisect_left(ordered, start + 1) - index
        for index, start in enumerate(ordered)
    )


def test_all_processes_stay_below_the_platform_limits():
    times = run_processes(limited=True)
    assert find_peak_rate(times['writes']) <= 300
    assert find_peak_rate(times['reads']) <= 2000
    # The share of this system, on average over the whole time.
    assert len(times['writes']) / SECONDS <= 150 * 1.02
    assert len(times['reads']) / SECONDS <= 500
    for start, end in ((0, OUTAGE[0]), OUTAGE, (OUTAGE[1], SECONDS)):
        writes = [t for t in times['writes'] if start <= t < end]
        assert len(writes) > 90 * (end - start)


def test_processes_without_limits_exceed_them():
    times = run_processes(limited=False, seconds=5)
    assert find_peak_rate(times['writes']) > 300


@pytest.mark.parametrize('per_second', [0.5, 5.5, 100])
def test_a_bucket_admits_its_rate_and_a_burst(per_second):
    clock = fakes.ManualClock()
    bucket = _limits.TokenBucket(clock, per_second)
    admitted = 0
    while clock.elapsed.total_seconds() < 20:
        admitted += isinstance(bucket.acquire(), result.Success)
        clock.advance(0.001)
    burst = max(1, per_second / 4)
    assert 20 * per_second <= admitted <= 20 * per_second + burst + 1


def test_a_request_is_refused_if_its_wait_would_be_too_long():
    class StoppedClock(fakes.ManualClock):
        def sleep(self, delay):
            pass

    bucket = _limits.TokenBucket(StoppedClock(), 10)
    outcomes = [bucket.acquire() for _ in range(30)]
    admitted = [isinstance(o, result.Success) for o in outcomes]
    assert admitted == sorted(admitted, reverse=True)
    assert 20 <= sum(admitted) <= 23
    failure = outcomes[-1].failure()
    assert failure.kind is _errors.ErrorKind.RATE_LIMITED
    assert failure.retry_after > datetime.timedelta(seconds=2)


RATES = (_limits.ROUTER_RATES, _limits.CONTROLLER_RATES)


class Entry:
    """The rate shares of the router and controller of one entry instance."""

    def __init__(self, clock):
        self.shares = [
            _limits.RateShares(
                clock,
                _limits.PlatformLimits(clock, 1000, 1000),
                rates,
                datetime.timedelta(seconds=settle),
            )
            for rates, settle in zip(RATES, (10, 40), strict=True)
        ]

    def note(self, live, reached=True):
        for shares in self.shares:
            shares.update(live, reached)


def check_total_rates(entries):
    used = [s.current for e in entries for s in e.shares]
    assert sum(rates.writes for rates in used) <= 150
    assert sum(rates.reads for rates in used) <= 500


@pytest.mark.parametrize('known', [24, 9, 3])
def test_shares_of_entries_that_start_together_stay_below_the_rates(known):
    # With fixed shares, 24 entry instances took 384 writes and 960 reads per
    # second.
    clock = fakes.ManualClock()
    entries = [Entry(clock) for _ in range(known)]
    check_total_rates(entries)
    for second in range(120):
        clock.advance(1)
        for number, entry in enumerate(entries):
            # Entry instances discover each other one by one, within 8 s.
            seen = min(known, 1 + second * (1 + number % 3))
            entry.note(max(seen, known if second >= 8 else 1))
        check_total_rates(entries)
    used = sum(e.shares[0].current.writes for e in entries)
    assert used == pytest.approx(100 * 7 / 8)


@pytest.mark.parametrize('minutes', [1, 60])
@pytest.mark.parametrize('restarted', [False, True])
def test_shares_stay_below_the_rates_after_a_partition(minutes, restarted):
    # During a partition, the zone sees its three entry instances and the
    # others see 21.
    clock = fakes.ManualClock()
    entries = [Entry(clock) for _ in range(24)]

    def run(seconds, is_partitioned):
        for _ in range(seconds):
            clock.advance(1)
            for number, entry in enumerate(entries):
                is_cut_off = number < 3
                live = (3 if is_cut_off else 21) if is_partitioned else 24
                entry.note(live, reached=not (is_partitioned and is_cut_off))
            check_total_rates(entries)

    run(60, False)
    run(minutes * 60, True)
    if restarted:
        entries[:3] = [Entry(clock) for _ in range(3)]
        run(60, True)
    for entry in entries:
        # The first update after the partition, with views still different.
        entry.note(3 if entry in entries[:3] else 21)
    check_total_rates(entries)
    run(60, False)


def test_a_lower_count_raises_the_share_after_two_hours():
    clock = fakes.ManualClock()
    entry = Entry(clock)
    for _ in range(3 * 60):
        entry.note(24)
        clock.advance(60)
    for minute in range(3 * 60):
        entry.note(9)
        clock.advance(60)
        expected = 24 if minute <= 119 else 9
        writes = entry.shares[0].current.writes
        assert writes == pytest.approx(100 * 7 / 8 / expected)
