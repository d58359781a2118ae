"""Reads a deployment file and lays its processes out on loopback."""

import hashlib
import json
import pathlib
import secrets
import socket
from typing import Any, NamedTuple

import json5

from skylarktally import _resources

# One fixed port for each purpose; each process has an IP address of its own.
_SERVING_PORT = 8080
_ADMIN_PORT = 8081
_PEER_PORT = 8082
_API_PORT = 8083
_CONTROLLER_ADMIN_PORT = 8084
# Difference between the last numbers of an entry and of its peer link.
_PEER_LINKS = 50
# Tests of single modules use other loopback networks.
_FIRST_NETWORK, _LAST_NETWORK = 224, 254


class Worker(NamedTuple):
    """One stand-in worker."""

    name: str
    pool: str
    zone: str
    rack: str
    address: str


class Entry(NamedTuple):
    """One entry instance: a router and a controller."""

    name: str
    zone: str
    ip: str

    @property
    def serving_address(self) -> str:
        """Return where callers reach the router."""
        return f'{self.ip}:{_SERVING_PORT}'

    @property
    def admin_address(self) -> str:
        """Return the admin address of the router."""
        return f'{self.ip}:{_ADMIN_PORT}'

    @property
    def peer_listen_address(self) -> str:
        """Return where the router listens for peers."""
        return f'{self.ip}:{_PEER_PORT}'

    @property
    def peer_address(self) -> str:
        """Return where peers reach the router, through a link."""
        network, place = self.ip.rsplit('.', 1)
        return f'{network}.{int(place) + _PEER_LINKS}:{_PEER_PORT}'

    @property
    def api_address(self) -> str:
        """Return the resource API of the controller."""
        return f'{self.ip}:{_API_PORT}'

    @property
    def controller_admin_address(self) -> str:
        """Return the admin address of the controller."""
        return f'{self.ip}:{_CONTROLLER_ADMIN_PORT}'


class Deployment(NamedTuple):
    """Everything that the demo starts."""

    name: str
    zones: tuple[str, ...]
    platform_address: str
    entries: tuple[Entry, ...]
    workers: tuple[Worker, ...]
    worker_size: dict[str, Any]
    resources: tuple[_resources.Resource, ...]
    link_addresses: dict[str, str]
    operator_token: str
    caller_token: str
    peer_secret: str
    # Settings of every controller besides the usual ones.
    controller_settings: dict[str, Any]

    def find_link_address(self, zone: str) -> str:
        """Return where the entries of a zone reach the platform."""
        return self.link_addresses[zone]


class Network:
    """A loopback network that no other run on this machine uses.

    The network is taken by a listener on one of its addresses. Two runs
    that shared a network would reach each other's workers.
    """

    def __init__(self) -> None:
        for number in range(_FIRST_NETWORK, _LAST_NETWORK):
            try:
                self._listener = socket.create_server(
                    (f'127.{number}.255.254', _SERVING_PORT)
                )
            except OSError:
                continue
            self.number = number
            return
        raise RuntimeError('no free loopback network')

    def release(self) -> None:
        """Let another run use the network."""
        self._listener.close()


def read_deployment(path: str, network: int) -> Deployment:
    """Read a deployment file in JSON with comments.

    :param network: second part of the loopback addresses to use
    """
    data = json5.loads(pathlib.Path(path).read_text(encoding='utf-8'))
    zones = tuple(data['zones'])
    return Deployment(
        name=data['name'],
        zones=zones,
        platform_address=f'127.{network}.0.1:{_SERVING_PORT}',
        entries=_lay_out_entries(zones, data['entries_per_zone'], network),
        workers=_lay_out_workers(zones, data, network),
        worker_size=data['workers'],
        resources=tuple(data['resources']),
        link_addresses={
            zone: f'127.{network}.{place}.250:{_SERVING_PORT}'
            for place, zone in enumerate(zones, start=1)
        },
        operator_token=secrets.token_hex(16),
        caller_token=secrets.token_hex(16),
        peer_secret=secrets.token_hex(16),
        controller_settings={},
    )


def _lay_out_entries(
    zones: tuple[str, ...], per_zone: int, network: int
) -> tuple[Entry, ...]:
    return tuple(
        Entry(
            f'entry-{zone}-{number}', zone, f'127.{network}.{place}.{number}'
        )
        for place, zone in enumerate(zones, start=1)
        for number in range(1, per_zone + 1)
    )


def _lay_out_workers(
    zones: tuple[str, ...], data: dict[str, Any], network: int
) -> tuple[Worker, ...]:
    pools = [r['name'] for r in data['resources'] if r['kind'] == 'pool']
    size = data['workers']
    in_zone = dict.fromkeys(zones, 0)
    workers = []
    for number in range(size['per_pool']):
        place = number % len(zones)
        zone = zones[place]
        for pool in pools:
            rack = in_zone[zone] // size['per_rack'] + 1
            in_zone[zone] += 1
            workers.append(
                Worker(
                    name=f'{pool}-{number + 1}',
                    pool=pool,
                    zone=zone,
                    rack=f'{zone}-rack-{rack}',
                    address=(
                        f'127.{network}.{place + 1}.{100 + in_zone[zone]}'
                        f':{_SERVING_PORT}'
                    ),
                )
            )
    return tuple(workers)


def build_instance_resources(
    deployment: Deployment,
) -> list[dict[str, Any]]:
    """Return an instance resource for each worker."""
    size = deployment.worker_size
    fields = ('cores', 'memory_bytes', 'accelerators', 'slots', 'connections')
    return [
        {
            'kind': 'instance',
            'name': worker.name,
            'spec': {
                'pool': worker.pool,
                'zone': worker.zone,
                'rack': worker.rack,
                'address': worker.address,
                **{field: size[field] for field in fields},
            },
        }
        for worker in deployment.workers
    ]


def digest_token(token: str) -> str:
    """Return the form in which settings keep a token."""
    return hashlib.sha256(token.encode('utf-8')).hexdigest()


def write_json(path: pathlib.Path, value: Any) -> pathlib.Path:
    """Write a value as JSON and return its path."""
    path.write_text(json.dumps(value, indent=2), encoding='utf-8')
    return path
