"""Tunables of the request path, with the figures of the design page."""

import datetime
from typing import NamedTuple


def _seconds(value: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=value)


class ServingLimits(NamedTuple):
    """Times, sizes and counts that bound the request path."""

    lease_ttl: datetime.timedelta = _seconds(10)
    # A lease is not used this long before its expiry, which covers a
    # pause between the check and the arrival of the task at the worker.
    lease_margin: datetime.timedelta = _seconds(2)
    lease_idle: datetime.timedelta = _seconds(1)
    # A lease held longer is given back after its task, so that a busy
    # router does not keep the slots from the other routers of the zone.
    lease_tenure: datetime.timedelta = _seconds(3)
    # 64 connections of a worker over at most 4 routers in a zone.
    worker_connections: int = 16
    routers_per_zone: int = 4
    connect_timeout: datetime.timedelta = _seconds(1)
    # Longest time without a byte before the connection is checked
    # against a probe on a new one.
    response_timeout: datetime.timedelta = _seconds(2)
    probe_timeout: datetime.timedelta = _seconds(1)
    idle_connection: datetime.timedelta = _seconds(5)
    queue_limit: int = 256
    # How soon the first waiter asks again when no worker has room.
    poll_interval: datetime.timedelta = _seconds(0.05)
    default_deadline: datetime.timedelta = _seconds(10)
    longest_deadline: datetime.timedelta = _seconds(3600)
    retry_ratio: float = 0.1
    # Retries allowed before the ratio applies, for pools of low rate.
    retry_reserve: int = 10
    retry_base: datetime.timedelta = _seconds(0.025)
    retry_cap: datetime.timedelta = _seconds(1)
    attempts: int = 4
    eject_after: int = 5
    eject_first: datetime.timedelta = _seconds(1)
    eject_longest: datetime.timedelta = _seconds(30)
    ejected_share: float = 0.5
    piece_bytes: int = 64 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_bytes: int = 16 * 1024
    client_connections: int = 1024
    header_timeout: datetime.timedelta = _seconds(10)
    progress_timeout: datetime.timedelta = _seconds(30)
    answer_bytes: int = 64 * 1024
    answers: int = 10000
    key_age: datetime.timedelta = _seconds(600)
