"""When an entry claims a shard that has no live owner."""

import datetime
from typing import NamedTuple

import xxhash

from skylarktally.entries import _directory
from skylarktally.scheduling import _ledger


class _Pace(NamedTuple):
    """How long an entry leaves a vacancy to others."""

    # For each shard that it owns already, so that the shards spread.
    per_shard: datetime.timedelta
    # At most, by lot, among entries that own the same number.
    by_lot: datetime.timedelta


# Entries start within 0.3 s of each other.
_FIRST = _Pace(
    datetime.timedelta(seconds=0.3), datetime.timedelta(seconds=0.3)
)
# Work stands still until a shard is owned again.
_LATER = _Pace(
    datetime.timedelta(seconds=0.1), datetime.timedelta(seconds=0.1)
)


class Claimant(NamedTuple):
    """The entry that may claim, and its process."""

    name: str
    incarnation: str
    owned: int


class Vacancy(NamedTuple):
    """A shard that may be claimed, and since when."""

    since: datetime.timedelta
    version: int
    generation: int


class Reading(NamedTuple):
    """When the claimant has read the terms."""

    begun_at: datetime.timedelta
    # Since then without a gap in which a renewal could have been missed.
    steady_since: datetime.timedelta
    last_at: datetime.timedelta


def find_vacancy(
    tenure: _directory.Tenure | None,
    claimant: Claimant,
    reading: Reading,
) -> Vacancy | None:
    """Return since when the shard has no owner; None if it has one."""
    if tenure is None:
        return Vacancy(reading.begun_at, 0, 0)
    term = tenure.term
    vacancy = Vacancy(tenure.seen_at, tenure.version, term.generation)
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
    watched_since = max(tenure.seen_at, reading.steady_since)
    expired_at = watched_since + _ledger.TERM_EXPIRY
    if reading.last_at < expired_at:
        return None
    return vacancy._replace(since=expired_at)


def find_delay(
    claimant: Claimant, shard: str, vacancy: Vacancy
) -> datetime.timedelta:
    """Return how long the claimant leaves a vacancy to others."""
    text = f'{claimant.name} {shard}'
    draw = xxhash.xxh32_intdigest(text.encode()) / 2**32
    pace = _LATER if vacancy.generation else _FIRST
    return claimant.owned * pace.per_shard + draw * pace.by_lot
