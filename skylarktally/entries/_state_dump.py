"""The state of an entry instance as JSON, for operators."""

from collections.abc import Callable, Iterable, Mapping
import itertools
from typing import Any

from skylarktally import _replies
from skylarktally.entries import _directory
from skylarktally.entries import _shards

# Entries of each list in the dump; their number is unbounded.
_MAX_ENTRIES = 100
_PATH = '/state'

Application = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


def describe_state(
    directory: _directory.Directory, shards: _shards.ShardManager
) -> dict[str, Any]:
    """Return what the entry instance knows and owns."""
    configuration = directory.configuration
    return {
        'configuration_version': configuration and configuration.version,
        'workers': len(directory.workers),
        'unreadable_workers': _shorten(
            {
                id_: row.reason
                for id_, row in directory.worker_list.unreadable.items()
            }
        ),
        'shards': [ledger.shard for ledger in shards.list_ledgers()],
        'pools': [
            {
                'pool': owner.ledger.shard,
                'token': owner.ledger.token,
                'generation': owner.ledger.generation,
                'open_jobs': owner.count_open(),
                'workers': len(owner.pool_state.worker_states),
                'jobs_set_aside': _shorten(owner.pool_state.jobs_set_aside),
                'workers_set_aside': _shorten(
                    {
                        id_: item.set_aside_reason
                        for id_, item in owner.pool_state.worker_states.items()
                        if item.set_aside_reason
                    }
                ),
            }
            for owner in shards.list_owners()
        ],
    }


def _shorten(entries: Mapping[str, str]) -> dict[str, str]:
    return dict(itertools.islice(entries.items(), _MAX_ENTRIES))


def add_state(
    application: Application, describe: Callable[[], dict[str, Any]]
) -> Application:
    """Return an application that also serves the state, under /state."""

    def answer(
        environment: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        if environment.get('PATH_INFO') != _PATH:
            return application(environment, start_response)
        reply = _replies.create_json_reply(200, describe())
        start_response(reply.status, reply.headers)
        return reply.body

    return answer
