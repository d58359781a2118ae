"""Creates the clients of the platform's services for one process."""

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
    """Clients of the platform's services, under common rate limits."""

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
    """Create the clients of one process, which share its rate limits.

    :param rates: limits for all processes of this kind together, per second
    :param settle: how long the table must have been reachable before the
        process trusts its own count of the live processes; until then it
        counts at least settings.assumed_entries
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
