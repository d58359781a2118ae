"""The operator of the demo, who uses the command line."""

import json
import pathlib
import subprocess
import sys
import time
from typing import Any

import urllib3

from demo import _deployment
from skylarktally import _loop

_SERVING_TIMEOUT_SECONDS = 20.0


def register_instances(deployment: _deployment.Deployment) -> None:
    """Give the platform stand-in its list of instances."""
    instances = [
        {
            'name': resource['name'],
            'state': 'live',
            **{k: v for k, v in resource['spec'].items() if k != 'pool'},
        }
        for resource in _deployment.build_instance_resources(deployment)
    ]
    urllib3.request(
        'PUT',
        f'http://{deployment.platform_address}/standin/instances',
        json={'instances': instances},
    )


class Operator:
    """Runs skylarktallyctl against one of the controllers."""

    def __init__(
        self, deployment: _deployment.Deployment, directory: pathlib.Path
    ) -> None:
        self._deployment = deployment
        # The last entry is never the one that the scenario kills.
        self._entries = list(reversed(deployment.entries))
        self._directory = directory
        self.token_file = directory / 'operator.token'
        self.token_file.write_text(deployment.operator_token)

    def run(
        self, *arguments: str, entry: int = 0
    ) -> subprocess.CompletedProcess[str]:
        """Run one command and return its output.

        :param entry: index of the entry whose controller is asked
        """
        return subprocess.run(
            [
                sys.executable,
                '-W',
                'ignore',
                '-m',
                'skylarktally.ctl',
                f'--api={self._entries[entry].api_address}',
                f'--token-file={self.token_file}',
                *arguments,
            ],
            capture_output=True,
            text=True,
            check=False,
        )

    def apply(self) -> int:
        """Declare every resource; return the log version, or 0."""
        resources: list[Any] = [
            *self._deployment.resources,
            *_deployment.build_instance_resources(self._deployment),
        ]
        path = _deployment.write_json(
            self._directory / 'resources.json', {'resources': resources}
        )
        done = self.run('apply', str(path), '--output=json')
        if done.returncode != 0:
            print(done.stdout, done.stderr, file=sys.stderr)
            return 0
        return int(json.loads(done.stdout)['version'])

    def wait_until_serving(self) -> bool:
        """Wait until the controllers have put every instance in service."""
        deadline = time.monotonic() + _SERVING_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if all(self._is_fenced(w) for w in self._deployment.workers):
                return True
            _loop.sleep(0.2)
        return False

    def _is_fenced(self, worker: _deployment.Worker) -> bool:
        fence = urllib3.request(
            'GET', f'http://{worker.address}/v1/fence', retries=False
        ).json()
        return bool(fence.get('epoch'))

    def drain(self, name: str) -> tuple[str, bool]:
        """Drain an instance for a planned stop and wait for its return."""
        done = self.run('drain', name, '--wait')
        if done.returncode != 0:
            print(done.stdout, done.stderr, file=sys.stderr)
        return ('done' if done.returncode == 0 else 'failed'), (
            done.returncode == 0
        )
