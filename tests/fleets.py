"""Builds instance resources and log records for tests and measurements."""

from skylarktally import _resources

_POOL_SIZE = 10


def build_instance(number: int, epoch: int) -> _resources.Resource:
    """Build the resource of one instance, ten to a pool, in eight zones."""
    instance = _resources.Instance(
        name=f'instance-{number:05d}',
        pool=f'pool-{number // _POOL_SIZE}',
        zone=f'zone-{number % 8}',
        rack=f'rack-{number // 4}',
        address=f'127.0.{number // 250}.{number % 250 + 1}:9000',
        cores=32.0,
        memory_bytes=64 << 30,
        accelerators=0,
        slots=8,
        connections=64,
        phase=_resources.Phase.SERVING,
        epoch=epoch,
    )
    return _resources.encode_instance(instance, {})


def build_record(version: int, number: int) -> _resources.LogRecord:
    """Build the log record of a change of one instance.

    :param version: version of the record, also the epoch of the instance
    :param number: number of the instance
    """
    value = build_instance(number, version)
    value['resource_version'] = version
    change = _resources.Change(
        kind='instance', name=value['name'], value=value
    )
    return _resources.LogRecord(
        version=version,
        transaction_id=f'transaction-{version}',
        author='author',
        accepted_at='2026-01-01T00:00:00+00:00',
        changes=[change],
    )
