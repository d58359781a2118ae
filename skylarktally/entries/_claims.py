"""When an entry claims a shard that has no live owner."""

import datetime
from typing import NamedTuple

import xxhash

from skylarktally.entries import _directory
from skylarktally.scheduling import _ledger


class _ClaimDelays(NamedTuple):
    """How long an entry leaves a vacancy to others."""

    # For each shard that it owns already, so that the shards spread.
    per_shard: datetime.timedelta
    # At most, by lot, among entries that own the same number.
    max_jitter: datetime.timedelta


# Entries start within 0.3 s of each other.
_FIRST_CLAIM = _ClaimDelays(
    datetime.timedelta(seconds=0.3), datetime.timedelta(seconds=0.3)
)
# Work stands still until a shard is owned again.
_TAKEOVER = _ClaimDelays(
    datetime.timedelta(seconds=0.1), datetime.timedelta(seconds=0.1)
)


class Claimant(NamedTuple):
    """The entry that may claim, and its process."""

    name: str
    incarnation: str
    owned_shards: int


class Vacancy(NamedTuple):
    """A shard that may be claimed, and since when."""

    since: datetime.timedelta
    version: int
    generation: int


class ReadTimes(NamedTuple):
    """When the claimant has read the terms."""

    started_at: datetime.timedelta
    # Since then without a gap in which a renewal could have been missed.
    gapless_since: datetime.timedelta
    last_read_at: datetime.timedelta


def find_vacancy(
    observed: _directory.ObservedTerm | None,
    claimant: Claimant,
    reads: ReadTimes,
) -> Vacancy | None:
    """Return since when the shard has no owner; None if it has one."""
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
        # It has ended. A term of this very process that it does not know
        # was claimed by a transaction without an answer, and expires.
        return vacancy
    # While the store was away, the holder could not renew its term either.
    observed_since = max(observed.seen_at, reads.gapless_since)
    expired_at = observed_since + _ledger.TERM_EXPIRY
    if reads.last_read_at < expired_at:
        return None
    return vacancy._replace(since=expired_at)


def calculate_delay(
    claimant: Claimant, shard: str, vacancy: Vacancy
) -> datetime.timedelta:
    """Return how long the claimant leaves a vacancy to others."""
    text = f'{claimant.name} {shard}'
    fraction = xxhash.xxh32_intdigest(text.encode()) / 2**32
    delays = _TAKEOVER if vacancy.generation else _FIRST_CLAIM
    return (
        claimant.owned_shards * delays.per_shard + fraction * delays.max_jitter
    )
