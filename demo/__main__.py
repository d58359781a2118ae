"""Runs a whole deployment on loopback and prints a table of checks."""

from skylarktally import _loop

_loop.patch_standard_library()

import os  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from typing import Any  # noqa: E402

from absl import app  # noqa: E402
from absl import flags  # noqa: E402
import json5  # noqa: E402

from demo import _faults  # noqa: E402
from demo import _scenario  # noqa: E402

_DEPLOYMENT = flags.DEFINE_string(
    'deployment', None, 'Deployment file in JSON with comments.', required=True
)
_SECONDS = flags.DEFINE_float(
    'seconds', 30.0, 'How long callers send requests, in seconds.', 5.0, 600.0
)
_RATE = flags.DEFINE_float(
    'rate', 60.0, 'Mean number of requests a second.', 1.0, 500.0
)
_SEED = flags.DEFINE_integer('seed', None, 'Seed; default: the process id.')
_KEEP = flags.DEFINE_string(
    'keep', None, 'Folder that keeps the settings and logs of the processes.'
)
_FAULT = flags.DEFINE_multi_enum(
    'fault',
    ['kill'],
    sorted(_faults.FAULTS),
    'Fault to bring about; repeat it for several at once.',
)
_SURGE = flags.DEFINE_string(
    'surge', '', 'Pool that gets a surge in place of the usual load.'
)
_SETTING = flags.DEFINE_multi_string(
    'setting', [], 'Setting of the controllers, as NAME=VALUE in JSON.'
)
_HOLD = flags.DEFINE_bool(
    'hold', False, 'Only start and declare; stop at the end of the input.'
)


def _read_setting(text: str) -> tuple[str, Any]:
    name, _, value = text.partition('=')
    return name, json5.loads(value)


def main(arguments: list[str]) -> None:
    """Run the scenario; exit with status 1 if any check failed."""
    del arguments
    seed = os.getpid() if _SEED.value is None else _SEED.value
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as scratch:
        directory = pathlib.Path(_KEEP.value or scratch)
        directory.mkdir(parents=True, exist_ok=True)
        plan = _scenario.Plan(
            _SECONDS.value,
            _RATE.value,
            seed,
            tuple(_FAULT.value),
            _HOLD.value,
            str(_SURGE.value),
            dict(map(_read_setting, _SETTING.value)),
        )
        checks = _scenario.run(str(_DEPLOYMENT.value), directory, plan)
    width = max(len(check.name) for check in checks)
    print()
    for check in checks:
        verdict = 'ok' if check.passed else 'WRONG'
        print(f'{check.name:<{width}}  {check.value:>16}  {verdict}')
    print(f'{time.monotonic() - started:.0f} s, seed {seed}')
    sys.exit(0 if all(check.passed for check in checks) else 1)


if __name__ == '__main__':
    app.run(main)
