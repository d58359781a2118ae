"""Room for urgent runs, made by throttling or ending deferrable ones."""

from collections.abc import Iterable
import enum
import heapq

from skylarktally import _boards
from skylarktally import _resources
from skylarktally import _sizes


class Relief(enum.Enum):
    """Ways of making room."""

    THROTTLE = 'throttle'
    CHECKPOINT = 'checkpoint'
    STOP = 'stop'


Plan = list[tuple[_sizes.RunReport, Relief]]


# Runs that must end, all preemptions, instance, version of the instance, and
# whether the counts are those of a plan instead of a lower bound.
_Entry = tuple[int, int, str, int, bool]


class _Ranking:
    """Instances by the cost of making room for runs of one size."""

    def __init__(self) -> None:
        self.heap: list[_Entry] = []
        self.plans: dict[str, Plan] = {}
        # How many changes of the board the heap takes into account.
        self.position: int | None = None


class Rooms:
    """Cheapest ways to make room on the instances of a board.

    An instance is planned for only when its lower bound is the least cost
    left. Planning for all of them at each change took 17 to 50 s for 8,000
    urgent runs in a pool of 3,200.
    """

    def __init__(self, board: _boards.Board) -> None:
        self._board = board
        self._rankings: dict[_sizes.Size, _Ranking] = {}

    def choose(self, run: _boards.Run) -> tuple[str, Plan] | None:
        """Return the instance where the fewest runs must end."""
        ranking = self._rankings.setdefault(run.size, _Ranking())
        self._catch_up(ranking, run)
        heap = ranking.heap
        while heap:
            _, _, name, version, planned = heap[0]
            if version != self._board.versions[name]:
                heapq.heappop(heap)
                continue
            if planned:
                return name, ranking.plans[name]
            plan = self._plan(run, name)
            if plan is None:
                heapq.heappop(heap)
                continue
            ends = sum(relief is not Relief.THROTTLE for _, relief in plan)
            ranking.plans[name] = plan
            heapq.heapreplace(heap, (ends, len(plan), name, version, True))
        return None

    def _catch_up(self, ranking: _Ranking, run: _boards.Run) -> None:
        """Rank the instances that have changed since the last choice."""
        board = self._board
        changed: Iterable[str]
        if ranking.position is None:
            changed = board.versions
        else:
            changed = set(board.changes[ranking.position :])
        for name in changed:
            ends, count = _find_least_cost(run.size, board.free[name])
            entry = (ends, count, name, board.versions[name], False)
            heapq.heappush(ranking.heap, entry)
        ranking.position = len(board.changes)

    def _plan(self, run: _boards.Run, name: str) -> Plan | None:
        """Choose the preemptions on one instance, None when none suffice."""
        runs = self._board.list_interruptible(name)
        ways = [list(self._list_ends(runs))]
        if not _find_least_cost(run.size, self._board.free[name])[0]:
            ways.insert(
                0, [(r, Relief.THROTTLE) for r in runs if _can_slow(r)]
            )
        for reliefs in ways:
            free = self._board.free[name]
            plan = []
            for report, relief in reliefs:
                if run.size.fits(free):
                    break
                free = free.plus(self._find_gain(report, relief))
                plan.append((report, relief))
            if run.size.fits(free):
                return self._prune(run, free, plan)
        return None

    def _list_ends(
        self, runs: Iterable[_sizes.RunReport]
    ) -> Iterable[tuple[_sizes.RunReport, Relief]]:
        for report in runs:
            job = self._board.jobs[report.job]
            if job.idempotent:
                yield report, find_end(job)
            elif _can_slow(report):
                yield report, Relief.THROTTLE

    def _find_gain(
        self, report: _sizes.RunReport, relief: Relief
    ) -> _sizes.Size:
        if relief is Relief.THROTTLE:
            return self._board.find_throttled_gain(report)
        return self._board.measure_run(report)

    def apply(self, report: _sizes.RunReport, relief: Relief) -> None:
        """Carry out one preemption on the board."""
        if relief is Relief.THROTTLE:
            self._board.throttle(report)
        else:
            self._board.end(report)

    def _prune(self, run: _boards.Run, free: _sizes.Size, plan: Plan) -> Plan:
        """Drop preemptions that turned out not to be needed."""
        needed = []
        for report, relief in plan:
            without = free.minus(self._find_gain(report, relief))
            if run.size.fits(without):
                free = without
            else:
                needed.append((report, relief))
        return needed


def find_end(job: _resources.Job) -> Relief:
    """Return how a run of an idempotent job ends early."""
    return Relief.CHECKPOINT if job.mode == 'batch' else Relief.STOP


def _can_slow(report: _sizes.RunReport) -> bool:
    return report.state is _sizes.RunState.RUNNING


def _find_least_cost(size: _sizes.Size, free: _sizes.Size) -> tuple[int, int]:
    """Return the least number of runs to end, and of preemptions.

    Throttling gives back processors alone, so that another resource that
    is short takes the end of a run.
    """
    if size.fits(free):
        return (0, 0)
    ends = not size._replace(cores=0.0).fits(free._replace(cores=0.0))
    return (int(ends), 1)
