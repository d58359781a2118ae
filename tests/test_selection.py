"""Cost of the choice of a worker, and how evenly it spreads load."""

import collections
import datetime

import pytest

from tests import costs
from tools import bench_serving

# Executed lines per choice; pools of 10 to 1,000 workers take 66 to 76.
_MAX_LINES = 100


@pytest.mark.parametrize('size', [10, 100, 1000])
def test_choice_costs_the_same_in_every_pool(size):
    """Guards against a choice that scans all workers for each request."""
    selection = bench_serving.create_selection(size)
    max_lines = max(costs.count_lines(selection.choose) for _ in range(50))
    assert max_lines <= _MAX_LINES
    names = list(selection.workers)
    scan = costs.count_lines(
        lambda: min(names, key=lambda x: selection.workers[x].running)
    )
    assert (scan > _MAX_LINES) == (size > 10)


def test_load_is_spread():
    """Guards against a choice that favours a few workers."""
    selection = bench_serving.create_selection(10)
    chosen = collections.Counter()
    for _ in range(40):
        worker = selection.choose()
        selection.note_start(worker)
        chosen[worker.instance.name] += 1
    assert max(chosen.values()) <= 6 and len(chosen) == 10


@pytest.mark.parametrize('excluded', [0, 1, 5, 9, 10])
def test_excluded_workers_are_not_chosen(excluded):
    """Guards against a retry on a worker that has failed."""
    selection = bench_serving.create_selection(10)
    names = {f'w{i}' for i in range(excluded)}
    for _ in range(50):
        worker = selection.choose(names)
        if excluded == 10:
            assert worker is None
        else:
            assert worker.instance.name not in names


def test_full_worker_is_asked_again_later():
    """Guards against a worker that is never used again after a refusal."""
    selection = bench_serving.create_selection(1)
    worker = selection.choose()
    selection.note_full(worker, datetime.timedelta(seconds=1))
    assert selection.choose() is None
    selection._clock.advance(1)
    assert selection.choose() is worker
