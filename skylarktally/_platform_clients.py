"""Clients of the platform that a process is built with."""

import datetime
from typing import NamedTuple

from skylarktally import _certificates
from skylarktally import _clock
from skylarktally import _instances
from skylarktally import _limits
from skylarktally import _objects
from skylarktally import _settings
from skylarktally import _table


class PlatformClients(NamedTuple):
    """The platform's services, below one share of its rates."""

    shares: _limits.RateShares
    table: _table.HttpTable
    objects: _objects.HttpObjectStore
    instances: _instances.HttpInstanceApi


def build_platform_clients(
    settings: _settings.Settings,
    clock: _clock.Clock,
    certificates: _certificates.Certificates | None,
    rates: _limits.Rates,
    settle: datetime.timedelta,
) -> PlatformClients:
    """Build the clients of one process.

    :param rates: of all processes of this kind together
    :param settle: how long the table must have been reached before the
        process trusts its own count of the live entries
    """
    limits = _limits.PlatformLimits(
        clock,
        settings.platform_writes_per_second,
        settings.platform_reads_per_second,
        response_timeout=settings.platform_timeout,
    )
    address = settings.platform_address
    return PlatformClients(
        _limits.RateShares(
            clock, limits, rates, settle, settings.assumed_entries
        ),
        _table.HttpTable(address, clock, limits, certificates),
        _objects.HttpObjectStore(address, clock, limits, certificates),
        _instances.HttpInstanceApi(address, clock, limits, certificates),
    )
