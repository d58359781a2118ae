"""Settings of an entry instance, from JSON with comments."""

import dataclasses
import datetime
from typing import Annotated

from skylarktally import _fields

_NAME = _fields.String(
    '[A-Za-z0-9][A-Za-z0-9._-]{0,62}', 'a name of 1 to 63 letters or digits'
)
_ADDRESS = _fields.Address()
_DELAY = _fields.Seconds(0.1, 600)
_SHARE = _fields.Number(0.001, 1024, 'cores', False)
_SPEED = _fields.Number(0.001, 1024, '', False)
_BANDWIDTH = _fields.Number(0.001, 1000000, 'Mbit/s', False, '_mbps')


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntrySettings:
    """Settings of one entry instance."""

    name: Annotated[str, _NAME]
    zone: Annotated[str, _NAME]
    # Listening addresses: for callers, for the balancer, for other entry
    # instances and for the collection of metrics.
    serving_address: Annotated[str, _ADDRESS]
    readiness_address: Annotated[str, _ADDRESS]
    peer_address: Annotated[str, _ADDRESS]
    metrics_address: Annotated[str, _ADDRESS]
    # Addresses of the platform's table service and instance interface.
    store_address: Annotated[str, _ADDRESS]
    instances_address: Annotated[str, _ADDRESS]
    # Time from the stop signal to the forced end of the process.
    stop_limit: Annotated[datetime.timedelta, _DELAY]
    # Limits of the instance: share of a core, its speed as a multiple of a
    # standard core, and the bandwidth of the link.
    processor_share: Annotated[float, _SHARE] = 1.0
    processor_speed: Annotated[float, _SPEED] = 1.0
    link: Annotated[float, _BANDWIDTH] = 1000.0
    # Address of the service that advises on workers; empty if there is none.
    advisor_address: Annotated[str, _ADDRESS] = ''
    log_level: Annotated[
        str,
        _fields.String(
            'DEBUG|INFO|WARNING|ERROR', 'DEBUG, INFO, WARNING or ERROR'
        ),
    ] = 'INFO'
