"""Decides when an entry instance claims a shard without a live owner."""

import datetime
from typing import NamedTuple

import xxhash

from skylarktally.entries import _directory
from skylarktally.scheduling import _ledger


class _ClaimDelays(NamedTuple):
    """How long an entry instance waits before it claims a vacant shard."""

    # For each shard that it already owns, so that shards spread evenly.
    per_shard: datetime.timedelta
    # Upper bound of a pseudorandom delay, which separates entry instances
    # that own the same number of shards.
    max_jitter: datetime.timedelta


# First claim of a shard: entry instances start within 0.3 s of each other.
_FIRST_CLAIM = _ClaimDelays(
    datetime.timedelta(seconds=0.3), datetime.timedelta(seconds=0.3)
)
# Takeover of a shard, shorter because its work stops until it is owned.
_TAKEOVER = _ClaimDelays(
    datetime.timedelta(seconds=0.1), datetime.timedelta(seconds=0.1)
)


class Claimant(NamedTuple):
    """An entry instance that may claim a shard, and its process."""

    name: str
    incarnation: str
    owned_shards: int


class Vacancy(NamedTuple):
    """A shard that may be claimed, with the term row to replace.

    Version and generation are 0 for a shard that was never owned.
    """

    since: datetime.timedelta
    version: int
    generation: int


class ReadTimes(NamedTuple):
    """When the claimant read the terms, on its monotonic clock."""

    started_at: datetime.timedelta
    # Since then, no two reads were so far apart that a renewal by a live
    # holder could have been missed.
    gapless_since: datetime.timedelta
    last_read_at: datetime.timedelta


def find_vacancy(
    observed: _directory.ObservedTerm | None,
    claimant: Claimant,
    reads: ReadTimes,
) -> Vacancy | None:
    """Return the vacancy of a shard; None while it has a live owner."""
    if observed is None:
        return Vacancy(reads.started_at, 0, 0)
    term = observed.term
    vacancy = Vacancy(observed.seen_at, observed.version, term.generation)
    if term.is_released:
        return vacancy
    is_former_process = (
        term.holder == claimant.name
        and term.incarnation != claimant.incarnation
    )
    if is_former_process:
        # The former process of this entry instance has ended. A term of
        # the current process that gets here was claimed by a transaction
        # whose answer was lost; it has to expire like any other.
        return vacancy
    # During a store outage the holder could not renew its term either, so
    # the time before the outage does not count.
    observed_since = max(observed.seen_at, reads.gapless_since)
    expired_at = observed_since + _ledger.TERM_EXPIRY
    if reads.last_read_at < expired_at:
        return None
    return vacancy._replace(since=expired_at)


def calculate_delay(
    claimant: Claimant, shard: str, vacancy: Vacancy
) -> datetime.timedelta:
    """Return how long the claimant waits before it claims a shard.

    The pseudorandom part is a hash of the claimant and the shard.
    """
    text = f'{claimant.name} {shard}'
    fraction = xxhash.xxh32_intdigest(text.encode()) / 2**32
    delays = _TAKEOVER if vacancy.generation else _FIRST_CLAIM
    return (
        claimant.owned_shards * delays.per_shard + fraction * delays.max_jitter
    )
