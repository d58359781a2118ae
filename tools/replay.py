"""Replay of demand series against the decision functions.

Not a cluster simulator: pools are counts of slots and queues, in steps of
a quarter of a second, and the decisions are those of the package.
"""

import collections
from collections.abc import Callable
import datetime
import random
from typing import NamedTuple

from returns import result

from skylarktally import _budgets
from skylarktally import _moves
from skylarktally import _resources
from skylarktally import _sharing
from skylarktally import _waves
from tools import rollouts

_Phase = _resources.Phase
START = datetime.datetime(2026, 3, 2, tzinfo=datetime.UTC)
STEP = datetime.timedelta(milliseconds=250)
STEPS_A_SECOND = 4
SLOTS = 8
# Run times, in steps.
URGENT_STEPS = 2
FIXED_STEPS = 20
DRAIN = datetime.timedelta(seconds=2)
REBOOT = datetime.timedelta(seconds=30)
REPLACEMENT = datetime.timedelta(seconds=60)
DEADLINE_STEPS = 22
WAVE_AT = datetime.timedelta(seconds=180)
FAILURES = 3


class Deployment(NamedTuple):
    """One of the two users of the design page."""

    name: str
    pools: tuple[str, ...]
    workers: int
    zones: int
    # Mean urgent load of a pool, in slots; a surge has five times as much.
    mean: float
    # Deferrable load of a pool and of the spare pool, in slots.
    deferrable: float
    spare_deferrable: float
    # Weights of buffer cost, roll-out time and moves.
    weights: tuple[float, float, float]


GHALA = Deployment(
    'ghala-pamoja',
    ('desk-1', 'desk-2', 'desk-3', 'desk-4', 'shared'),
    6,
    3,
    12.0,
    8.0,
    74.0,
    (0.6, 0.2, 0.2),
)
LUMIERE = Deployment(
    'lumiere-prepayee',
    ('east-unlock', 'west-unlock', 'east-tariff', 'west-tariff', 'office'),
    8,
    4,
    16.0,
    11.0,
    98.0,
    (0.2, 0.6, 0.2),
)


class Outcome(NamedTuple):
    """Figures of one replay."""

    # Worker-seconds held idle, and their share of all worker-seconds.
    buffer: float
    buffer_share: float
    # Seconds from the start of the wave to its end.
    rollout: float
    moves: int
    late: int
    # Worst wait of urgent work, in seconds.
    worst_wait: float
    # Mean urgent wait of the worst pool less that of the best, in seconds.
    unfairness: float
    # Seconds from the first stage of a configuration to the last one.
    configuration: float
    violations: int


class _Load:
    """Queues and runs of one pool."""

    def __init__(self) -> None:
        self.waiting: collections.deque[list[int]] = collections.deque()
        self.queued = 0
        self.urgent: collections.deque[int] = collections.deque()
        self.fixed: collections.deque[int] = collections.deque()
        self.fixed_backlog = 0.0
        self.filler_backlog = 0.0
        self.arrived = 0
        self.late = 0
        self.waited = 0
        self.worst = 0
        # Urgent work in the last step, in slots.
        self.offered = 0.0

    def step(self, now: int, slots: int, rng: random.Random) -> int:
        """Run one step on this number of slots; return how many stay idle."""
        self.urgent.popleft() if len(self.urgent) == URGENT_STEPS else None
        self.fixed.popleft() if len(self.fixed) == FIXED_STEPS else None
        free = max(slots - sum(self.urgent) - sum(self.fixed), 0)
        started = 0
        while self.waiting and started < free:
            entry = self.waiting[0]
            count = min(entry[1], free - started)
            wait = now - entry[0]
            self.worst = max(self.worst, wait)
            self.waited += count * wait
            self.late += count * (wait > DEADLINE_STEPS)
            started += count
            entry[1] -= count
            if not entry[1]:
                self.waiting.popleft()
        self.queued -= started
        self.urgent.append(started)
        free -= started
        # Work that cannot be stopped holds at most half of the pool.
        room = max(min(slots // 2 - sum(self.fixed), free), 0)
        fixed = min(int(self.fixed_backlog / FIXED_STEPS), room)
        self.fixed_backlog -= fixed * FIXED_STEPS
        self.fixed.append(fixed)
        free -= fixed
        filled = min(int(self.filler_backlog), free)
        self.filler_backlog -= filled
        return free - filled

    def arrive(self, now: int, slots: float, rng: random.Random) -> None:
        """Add urgent work that fills this number of slots."""
        rate = slots / URGENT_STEPS
        count = int(rate) + (rng.random() < rate % 1)
        self.offered = slots
        self.arrived += count
        self.queued += count
        if count:
            self.waiting.append([now, count])


def draw_surges(
    deployment: Deployment, steps: int, rng: random.Random
) -> list[int]:
    """Draw which pool surges in each step, by turns; -1 for none."""
    surging: list[int] = []
    turn = 0
    pools = len(deployment.pools) - 1
    # A pool has its mean load when it surges for 0.95 of 4.95 of the time.
    while len(surging) < steps:
        length = rng.uniform(4, 8)
        pause = length * (4.95 / 0.95 / pools - 1) * rng.uniform(0.5, 1.5)
        surging += [turn % pools] * round(length * STEPS_A_SECOND)
        surging += [-1] * round(pause * STEPS_A_SECOND)
        turn += 1
    return surging[:steps]


def build_fleet(deployment: Deployment) -> dict[str, _resources.Instance]:
    """Build the instances, spread over zones, four to a rack."""
    fleet = {}
    for turn, pool in enumerate(deployment.pools):
        for k in range(deployment.workers):
            place = turn * deployment.workers + k
            name = f'{pool}-{k}'
            fleet[name] = _resources.Instance(
                name=name,
                pool=pool,
                zone=f'z{place % deployment.zones}',
                rack=f'r{place // deployment.zones // 4}',
                address='',
                cores=32.0,
                memory_bytes=64 << 30,
                accelerators=0,
                slots=SLOTS,
                connections=64,
                phase=_Phase.SERVING,
                epoch=1,
            )
    return fleet


Mover = Callable[['Replay', datetime.datetime], list[_moves.Move]]


class Replay:
    """State of one replay."""

    def __init__(
        self, deployment: Deployment, mover: Mover, seed: int, seconds: int
    ) -> None:
        self.deployment = deployment
        self.mover = mover
        self.rng = random.Random(seed)
        self.steps = seconds * STEPS_A_SECOND
        self.surging = draw_surges(deployment, self.steps, self.rng)
        self.fleet = build_fleet(deployment)
        spare = deployment.pools[-1]
        self.pools = [
            _resources.Pool(p, p, spare=p == spare, floor=2)
            for p in deployment.pools
        ]
        self.budgets = [
            _resources.Budget(
                p, p, 2 if p == spare else deployment.workers - 1
            )
            for p in deployment.pools
        ]
        self.wave = _resources.Wave('w', deployment.pools, 10, 1, 3)
        self.loads = {p: _Load() for p in deployment.pools}
        self.history = _moves.History()
        self.failing = sorted(
            self.rng.randrange(self.steps) for _ in range(FAILURES)
        )
        self.moves = 0
        self.violations = 0
        self.idle = 0
        # A wave that does not end counts as long as it was watched.
        self.rollout = seconds - WAVE_AT.total_seconds()
        self.complete = False

    def run(self) -> Outcome:
        """Run all steps and return the figures."""
        for step in range(self.steps):
            now = START + step * STEP
            self._fail(step, now)
            self._advance(now)
            self._serve(step)
            if step % 2 == 0:
                self._observe(now)
                self._apply(self.mover(self, now), now)
            if step % STEPS_A_SECOND == 0:
                self._maintain(now)
        return self._measure()

    def _fail(self, step: int, now: datetime.datetime) -> None:
        if self.failing and self.failing[0] == step:
            self.failing.pop(0)
            name = self.rng.choice(sorted(self.fleet))
            if self.fleet[name].phase is _Phase.SERVING:
                self._change(name, now, phase=_Phase.FAILED)

    def _change(
        self, name: str, now: datetime.datetime, **fields: object
    ) -> None:
        changed = self.fleet[name]._replace(since=now.isoformat())
        self.fleet[name] = changed._replace(**fields)  # type: ignore

    def _advance(self, now: datetime.datetime) -> None:
        """End drains, reboots and replacements that have taken their time."""
        for name, instance in list(self.fleet.items()):
            if instance.phase is _Phase.SERVING:
                continue
            age = now - datetime.datetime.fromisoformat(instance.since)
            if instance.phase is _Phase.FAILED and age >= REPLACEMENT:
                self._change(name, now, phase=_Phase.SERVING)
            elif instance.phase is _Phase.MAINTENANCE and age >= REBOOT:
                self._change(name, now, phase=_Phase.SERVING)
            elif instance.phase is _Phase.DRAINING and age >= DRAIN:
                if instance.target_pool is None:
                    self._change(name, now, phase=_Phase.MAINTENANCE)
                else:
                    self._change(
                        name,
                        now,
                        phase=_Phase.SERVING,
                        pool=instance.target_pool,
                        target_pool=None,
                    )

    def count_serving(self) -> collections.Counter[str]:
        """Return the number of serving instances of each pool."""
        return collections.Counter(
            i.pool for i in self.fleet.values() if i.phase is _Phase.SERVING
        )

    def _serve(self, step: int) -> None:
        deployment = self.deployment
        serving = self.count_serving()
        for turn, pool in enumerate(deployment.pools):
            load = self.loads[pool]
            factor = 5.0 if self.surging[step] == turn else 0.05
            spare = turn == len(deployment.pools) - 1
            load.arrive(step, deployment.mean * (spare or factor), self.rng)
            share = (
                deployment.spare_deferrable
                if spare
                else (deployment.deferrable)
            )
            load.fixed_backlog += share / 4
            load.filler_backlog += share * 3 / 4
            self.idle += load.step(step, serving[pool] * SLOTS, self.rng)
        # An instance that drains for a move serves no pool.
        self.idle += SLOTS * sum(
            i.target_pool is not None for i in self.fleet.values()
        )

    def list_demands(self) -> list[_sharing.Demand]:
        """Return what the routers would report."""
        return [
            _sharing.measure_demand(
                pool,
                load.queued,
                sum(load.urgent),
                load.offered / URGENT_STEPS * STEPS_A_SECOND,
                URGENT_STEPS / STEPS_A_SECOND,
                # Work that has waited for ten seconds, done in ten.
                (load.fixed_backlog + load.filler_backlog)
                / (10 * STEPS_A_SECOND),
            )
            for pool, load in self.loads.items()
        ]

    def _observe(self, now: datetime.datetime) -> None:
        demands = self.list_demands()
        sample = _moves.Sample(
            now,
            {d.pool: d.slots for d in demands},
            {d.pool: d.deferrable for d in demands},
        )
        self.history = self.history._replace(
            samples=(*self.history.samples[-120:], sample)
        )

    def _apply(self, moves: list[_moves.Move], now: datetime.datetime) -> None:
        for move in moves:
            self._check([move.instance])
            self._change(
                move.instance,
                now,
                phase=_Phase.DRAINING,
                target_pool=move.target,
            )
            self.moves += 1
            past = _moves.PastMove(
                now, move.instance, move.source, move.target
            )
            self.history = self.history._replace(
                moves=(*self.history.moves[-50:], past)
            )

    def _check(self, stops: list[str]) -> None:
        """Count a stop that a budget does not allow, losses included."""
        fleet = list(self.fleet.values())
        found = _budgets.check_budget(self.budgets, fleet, stops)
        self.violations += not isinstance(found, result.Success)

    def _maintain(self, now: datetime.datetime) -> None:
        if now < START + WAVE_AT or self.complete:
            return
        fleet = list(self.fleet.values())
        plan = _waves.plan_wave(self.wave, fleet, self.budgets, now)
        if plan.state is _waves.State.COMPLETE:
            self.complete = True
            self.rollout = (now - START - WAVE_AT).total_seconds()
        for name in plan.next_stops:
            self._check([name])
            self._change(
                name,
                now,
                phase=_Phase.DRAINING,
                operation_id=_waves.format_operation_id('w', now),
            )

    def _measure(self) -> Outcome:
        loads = self.loads.values()
        waits = [
            self.loads[p].waited / max(self.loads[p].arrived, 1)
            for p in self.deployment.pools[:-1]
        ]
        seconds = self.idle / SLOTS / STEPS_A_SECOND
        whole = len(self.fleet) * self.steps / STEPS_A_SECOND
        return Outcome(
            seconds,
            seconds / whole,
            self.rollout,
            self.moves,
            sum(p.late for p in loads),
            max(p.worst for p in loads) / STEPS_A_SECOND,
            (max(waits) - min(waits)) / STEPS_A_SECOND,
            rollouts.roll_out(self.deployment.zones, self.rng),
            self.violations,
        )
