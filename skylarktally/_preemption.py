"""Room for urgent runs, made by throttling or ending deferrable ones."""

from collections.abc import Iterable
import enum

from skylarktally import _boards
from skylarktally import _resources
from skylarktally import _sizes


class Relief(enum.Enum):
    """Ways of making room."""

    THROTTLE = 'throttle'
    CHECKPOINT = 'checkpoint'
    STOP = 'stop'


Plan = list[tuple[_sizes.Usage, Relief]]


class Rooms:
    """Cheapest ways to make room on the instances of a board."""

    def __init__(self, board: _boards.Board) -> None:
        self._board = board
        # Plans by job and instance, with the version that they are for.
        self._plans: dict[tuple[str, str], tuple[int, Plan | None]] = {}

    def choose(self, run: _boards.Run) -> tuple[str, Plan] | None:
        """Return the instance where the fewest runs must end."""
        best: tuple[int, int, str] | None = None
        chosen: Plan = []
        for name, version in self._board.versions.items():
            known = self._plans.get((run.job.name, name))
            if known is None or known[0] != version:
                known = (version, self._plan(run, name))
                self._plans[run.job.name, name] = known
            plan = known[1]
            if plan is None:
                continue
            ends = sum(relief is not Relief.THROTTLE for _, relief in plan)
            score = (ends, len(plan), name)
            if best is None or score < best:
                best, chosen = score, plan
        return None if best is None else (best[-1], chosen)

    def _plan(self, run: _boards.Run, name: str) -> Plan | None:
        """Choose the preemptions on one instance, None when none suffice."""
        runs = self._board.list_interruptible(name)
        throttles = [(r, Relief.THROTTLE) for r in runs if _can_slow(r)]
        for reliefs in (throttles, list(self._list_ends(runs))):
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
        self, runs: Iterable[_sizes.Usage]
    ) -> Iterable[tuple[_sizes.Usage, Relief]]:
        for report in runs:
            job = self._board.jobs[report.job]
            if job.idempotent:
                yield report, find_end(job)
            elif _can_slow(report):
                yield report, Relief.THROTTLE

    def _find_gain(self, report: _sizes.Usage, relief: Relief) -> _sizes.Size:
        if relief is Relief.THROTTLE:
            return self._board.find_throttled_gain(report)
        return self._board.measure_run(report)

    def apply(self, report: _sizes.Usage, relief: Relief) -> None:
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


def _can_slow(report: _sizes.Usage) -> bool:
    return report.state is _sizes.RunState.RUNNING
