"""What was sent, answered and run, and the work of the jobs."""

import json
import pathlib
import threading
import time
from typing import Any

_DEFAULT_SECONDS = 1.0


class Record:
    """Events in order, with the seconds since the start of the script."""

    def __init__(self, path: pathlib.Path) -> None:
        self.events: list[dict[str, Any]] = []
        self._path = path
        self._lock = threading.Lock()
        self._started = time.monotonic()
        self._file = path.open('w', encoding='utf-8')

    def note(self, event: str, **fields: Any) -> None:
        """Append an event."""
        with self._lock:
            at = round(time.monotonic() - self._started, 3)
            self.events.append({'at': at, 'event': event, **fields})
            self._file.write(json.dumps(self.events[-1]) + '\n')
            self._file.flush()

    def list(self, event: str, **fields: Any) -> list[dict[str, Any]]:
        """Return the events of a kind that have these fields."""
        with self._lock:
            return [
                item
                for item in self.events
                if item['event'] == event
                and all(
                    item.get(key) == value for key, value in fields.items()
                )
            ]


class Jobs:
    """Submitted jobs; a task takes what its step estimates, unless set."""

    def __init__(self) -> None:
        self.specs: dict[str, dict[str, Any]] = {}
        # Seconds and end of all tasks of a job, in place of the estimate.
        self.work: dict[str, tuple[float, str]] = {}

    def find_work(self, task: str) -> tuple[float, str]:
        """Return how long a task takes, and how it ends."""
        job, _, step, _ = task.split('.')
        if job in self.work:
            return self.work[job]
        spec = self.specs.get(job)
        if spec is None:
            return _DEFAULT_SECONDS, 'done'
        estimate = spec['steps'][int(step)].get('estimate_ms', 1000)
        return estimate / 1000, 'done'


def find_overlaps(record: Record) -> list[str]:
    """Return each start of a task while another run of it was active."""
    active: dict[str, dict[tuple[str, int], float]] = {}
    found = []
    for item in record.events:
        if item['event'] not in ('start', 'end'):
            continue
        runs = active.setdefault(item['task'], {})
        run = item['worker'], item['run']
        if item['event'] == 'end':
            runs.pop(run, None)
            continue
        found += [
            f'{item["at"]} s: {item["task"]} run {run[1]} started on {run[0]} '
            f'while run {other[1]} was active on {other[0]} since {since} s'
            for other, since in runs.items()
        ]
        runs[run] = item['at']
    return found


def find_repeats(record: Record) -> list[str]:
    """Return each start of a task after a run of it ended done.

    Counts only ends that were taken note of at any time.
    """
    noted = {
        (item['worker'], item['task'], item['run'])
        for item in record.list('end taken note of', how='done')
    }
    done: dict[str, dict[str, Any]] = {}
    found = []
    for item in record.events:
        if item['event'] == 'end' and item['how'] == 'done':
            if (item['worker'], item['task'], item['run']) in noted:
                done[item['task']] = item
        elif item['event'] == 'start' and item['task'] in done:
            first = done[item['task']]
            found.append(
                f'{item["at"]} s: {item["task"]} run {item["run"]} started on '
                f'{item["worker"]}, although run {first["run"]} ended done on '
                f'{first["worker"]} at {first["at"]} s'
            )
    return found
