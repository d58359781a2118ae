"""Decides when an entry instance claims a shard without a live owner."""

import datetime
from typing import NamedTuple

import xxhash

from skylarktally.entries import _directory
from skylarktally.scheduling import _ledger


class _ClaimDelays(NamedTuple):
    """How long an entry instance waits before it claims a vacant shard."""

    # For each shard that it already owns and each core of its capacity, so
    # that shards spread by capacity.
    per_shard: datetime.timedelta
    # For an entry instance of half a core; above the time by which entry
    # instances may differ in when they see a vacancy.
    low_capacity: datetime.timedelta
    # Upper bound of a pseudorandom delay, which separates entry instances
    # that own the same number of shards.
    max_jitter: datetime.timedelta


# First claim of a shard: entry instances start within 0.3 s of each other.
_FIRST_CLAIM = _ClaimDelays(
    datetime.timedelta(seconds=0.6),
    datetime.timedelta(seconds=0.8),
    datetime.timedelta(seconds=0.3),
)
# Takeover of a shard, shorter because its work stops until it is owned.
_TAKEOVER = _ClaimDelays(
    datetime.timedelta(seconds=0.2),
    datetime.timedelta(seconds=0.7),
    datetime.timedelta(seconds=0.1),
)
# While reads are further apart, the store may not answer, and further reads
# would only add to its load.
_MAX_READ_AGE = datetime.timedelta(seconds=0.7)
# A term that no entry instance has seen renewed for this long has probably
# lost its holder: renewals are 0.4 s apart, and reads of the terms 0.35 s.
_SUSPECT_TERM_AGE = datetime.timedelta(seconds=0.75)
# From the expiry of a term until a successor accepts jobs.
_TAKEOVER_TIME = datetime.timedelta(seconds=0.4)
# A takeover that has not happened this long after its expected time depends on
# something else, such as a zone without any other entry instance.
_TAKEOVER_DELAY_LIMIT = datetime.timedelta(seconds=1)
# A core that is busy with calls to workers moves more than this, so that a
# thinner link limits the owner before its processor does.
_LINK_MBPS_PER_CORE = 15
# An entry instance with at least this capacity can own a busy pool.
_SUFFICIENT_CORES = 1.0
# An entry instance that was overloaded takes over a shard after all others,
# also after those of half a core that own one.
_OVERLOADED_DELAY = datetime.timedelta(seconds=1.5)
# Less counts as this much, so that a deployment that has only smaller entry
# instances does not wait for others that do not exist.
_MIN_CORES = 0.5


class Limits(NamedTuple):
    """Limits of an entry instance, from its settings."""

    # Share of a core, and its speed as a multiple of a standard core.
    processor_share: float
    processor_speed: float
    link_mbps: float


class Claimant(NamedTuple):
    """An entry instance that may claim a shard, and its process."""

    name: str
    incarnation: str
    owned_shards: int
    # What ``measure_capacity`` returns for it.
    cores: float
    # Whether it has handed over a shard recently, since it was overloaded.
    is_recovering: bool = False


class Vacancy(NamedTuple):
    """A shard that may be claimed, with the term row to replace.

    Version and generation are 0 for a shard that was never owned.
    """

    since: datetime.timedelta
    version: int
    generation: int


class ReadTimes(NamedTuple):
    """When the claimant read the terms, on its monotonic clock."""

    # Since when the claimant could claim. An earlier time, such as the start
    # of the process, would let several delays end at the same moment.
    ready_since: datetime.timedelta
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
        return Vacancy(reads.ready_since, 0, 0)
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
    expired_at = _find_expiry(observed, reads)
    if reads.last_read_at < expired_at:
        return None
    return vacancy._replace(since=expired_at)


def _find_expiry(
    observed: _directory.ObservedTerm, reads: ReadTimes
) -> datetime.timedelta:
    """Return when a term expires unless it is renewed.

    During a store outage the holder could not renew its term either, so the
    time before the outage does not count.
    """
    observed_since = max(observed.seen_at, reads.gapless_since)
    return observed_since + _ledger.TERM_EXPIRY


def is_read_due(
    observed: _directory.ObservedTerm | None,
    reads: ReadTimes,
    now: datetime.timedelta,
) -> bool:
    """Tell whether a read now could show that a term has expired."""
    if observed is None or now - reads.last_read_at > _MAX_READ_AGE:
        return False
    return reads.last_read_at < _find_expiry(observed, reads) <= now


def estimate_takeover(
    observed: _directory.ObservedTerm | None,
    reads: ReadTimes,
    now: datetime.timedelta,
) -> datetime.timedelta | None:
    """Return how long until a shard without a live holder has a successor.

    None if the holder seems to be alive, or if nothing is known: while the
    store does not answer, nobody can claim.
    """
    if observed is None or now - reads.last_read_at > _MAX_READ_AGE:
        return None
    if observed.term.is_released:
        vacant_at = observed.seen_at
    elif now - observed.seen_at >= _SUSPECT_TERM_AGE:
        vacant_at = _find_expiry(observed, reads)
    else:
        return None
    left = vacant_at + _TAKEOVER_TIME - now
    if left < -_TAKEOVER_DELAY_LIMIT:
        return None
    return max(left, datetime.timedelta())


def calculate_delay(
    claimant: Claimant, shard: str, vacancy: Vacancy
) -> datetime.timedelta:
    """Return how long the claimant waits before it claims a shard.

    The shard goes to the claimant with the most capacity for each shard that
    it would own. An entry instance with little capacity waits until those
    with more have had the time to claim, and claims if none of them does.
    One that was overloaded waits for all others in the same way. The
    pseudorandom part is a hash of the claimant and the shard.
    """
    text = f'{claimant.name} {shard}'
    fraction = xxhash.xxh32_intdigest(text.encode()) / 2**32
    delays = _TAKEOVER if vacancy.generation else _FIRST_CLAIM
    # 0 from one core on, and 1 at half a core.
    shortfall = max(_SUFFICIENT_CORES / claimant.cores - 1, 0)
    penalty = datetime.timedelta()
    if claimant.is_recovering:
        penalty = _OVERLOADED_DELAY
    return (
        penalty
        + claimant.owned_shards * delays.per_shard / claimant.cores
        + shortfall * delays.low_capacity
        + fraction * delays.max_jitter
    )


def measure_capacity(limits: Limits) -> float:
    """Return the capacity to own shards, in standard cores.

    A thin link limits it as well as the processor does.
    """
    processor_cores = limits.processor_share * limits.processor_speed
    link_cores = limits.link_mbps / _LINK_MBPS_PER_CORE
    return max(min(processor_cores, link_cores), _MIN_CORES)
