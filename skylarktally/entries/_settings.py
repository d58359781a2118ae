"""Settings of an entry, from JSON with comments."""

import dataclasses
import datetime
from typing import Annotated

from skylarktally import _fields

_NAME = _fields.String(
    '[A-Za-z0-9][A-Za-z0-9._-]{0,62}', 'a name of 1 to 63 letters or digits'
)
_ADDRESS = _fields.Address()
_DELAY = _fields.Seconds(0.1, 600)


@dataclasses.dataclass(frozen=True, kw_only=True)
class EntrySettings:
    """What an entry is told."""

    name: Annotated[str, _NAME]
    zone: Annotated[str, _NAME]
    # Where callers, the balancer and other entries reach it.
    serving_address: Annotated[str, _ADDRESS]
    readiness_address: Annotated[str, _ADDRESS]
    peer_address: Annotated[str, _ADDRESS]
    metrics_address: Annotated[str, _ADDRESS]
    # The table service and the interface for instances of the platform.
    store_address: Annotated[str, _ADDRESS]
    instances_address: Annotated[str, _ADDRESS]
    # Time between the request to stop and the forced end of the process.
    stop_limit: Annotated[datetime.timedelta, _DELAY]
    # The service that advises on workers; empty where there is none.
    advisor_address: Annotated[str, _ADDRESS] = ''
    log_level: Annotated[
        str,
        _fields.String(
            'DEBUG|INFO|WARNING|ERROR', 'DEBUG, INFO, WARNING or ERROR'
        ),
    ] = 'INFO'
