"""Checks of rules that several cases share, on the recorded events."""

import collections
from typing import Any

Event = dict[str, Any]


def find_repeated(events: list[Event]) -> list[str]:
    """Return the starts of tasks that had ended done before (TWICE).

    Only if the end was taken note of, then or later, and the lease of the
    worker has not lapsed between the two.
    """
    ended: dict[tuple[str, str, int], Event] = {}
    done: dict[str, Event] = {}
    starts: dict[str, list[Event]] = collections.defaultdict(list)
    for event in events:
        what = event['what']
        if what == 'end' and event['how'] == 'done':
            ended[event['worker'], event['task'], event['run']] = event
        elif what in ('lapse', 'crash'):
            for key in [key for key in ended if key[0] == event['worker']]:
                del ended[key]
        elif what == 'noted':
            key = event['worker'], event['task'], event['run']
            if key in ended:
                done.setdefault(event['task'], ended.pop(key))
        elif what == 'start':
            starts[event['task']].append(event)
    return [
        f'TWICE: {task} ended done on {end["worker"]} (run {end["run"]}), '
        f'which was taken note of, and was started again '
        f'{start["at"] - end["at"]:.1f} s later on {start["worker"]} '
        f'(run {start["run"]})'
        for task, end in done.items()
        for start in starts[task]
        if start['at'] > end['at']
    ]


def find_parallel(events: list[Event]) -> list[str]:
    """Return the tasks that had two runs at the same time (TWICE)."""
    active: dict[str, dict[tuple[str, int], Event]] = {}
    found = []
    for event in events:
        if event['what'] == 'start':
            runs = active.setdefault(event['task'], {})
            if runs:
                found.append(
                    f'TWICE: {event["task"]} was started on '
                    f'{event["worker"]} (run {event["run"]}) while it ran as '
                    f'{sorted(runs)}'
                )
            runs[event['worker'], event['run']] = event
        elif event['what'] == 'end':
            key = event['worker'], event['run']
            active.get(event['task'], {}).pop(key, None)
        elif event['what'] == 'crash':
            for runs in active.values():
                for key in [key for key in runs if key[0] == event['worker']]:
                    del runs[key]
    return found
