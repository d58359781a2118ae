"""Tests of the look-up of queues, against a search through all of them."""

import time

import hypothesis
from hypothesis import strategies
import pytest

from skylarktally.scheduling import _work
from tests import pools

HOSTS = ('a.example', 'b.example')
PREFIXES = ('/', '/p/', '/p/more/', '/p', '/q/', '')
PATHS = ('/', '/p', '/p/0', '/p/more/0', '/p/mor', '/q/0', '/other', '')


def make_configuration(locations):
    queues = tuple(
        pools.make_queue(f'q{index}')._replace(host=host, prefix=prefix)
        for index, (host, prefix) in enumerate(locations)
    )
    return _work.Configuration(1, queues, (), 1000)


def search(configuration, host, path):
    """Return the queue by a search through all queues."""
    matches = [
        queue
        for queue in configuration.queues
        if queue.host == host and path.startswith(queue.prefix)
    ]
    return max(matches, key=lambda queue: len(queue.prefix), default=None)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(HOSTS), strategies.sampled_from(PREFIXES)
        ),
        max_size=8,
    )
)
def test_the_index_finds_what_a_search_finds(locations):
    """Guards against a request that reaches another queue, or none."""
    configuration = make_configuration(locations)
    for host in (*HOSTS, 'c.example'):
        for path in PATHS:
            expected = search(configuration, host, path)
            assert configuration.match_queue(host, path) == expected


@pytest.mark.parametrize('name, index', [('q0', 0), ('q2', 2), ('q9', None)])
def test_a_queue_is_found_by_its_name(name, index):
    configuration = make_configuration([('a.example', '/')] * 3)
    expected = None if index is None else configuration.queues[index]
    assert configuration.find_queue(name) == expected


def test_a_request_costs_the_same_with_many_queues():
    """Guards against requests that cost more with each further queue.

    A day of a grown deployment has 1,400 queues.
    """

    def measure(count):
        configuration = make_configuration(
            [('a.example', f'/{index:05}/') for index in range(count)]
        )
        path = f'/{count - 1:05}/5c0e7a21d94b36f8'
        assert configuration.match_queue('a.example', path)
        durations = []
        for _ in range(50):
            started_at = time.perf_counter()
            configuration.match_queue('a.example', path)
            configuration.find_queue(f'q{count - 1}')
            durations.append(time.perf_counter() - started_at)
        return min(durations)

    # A search through all of them takes 100 times as long.
    assert measure(2000) < 5 * measure(20)
