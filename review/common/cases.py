"""Runs a case and turns its result into the exit status."""

from collections.abc import Callable
import pathlib
import sys
import traceback

from common import deployment as deployments

_HELD, _BROKEN, _CANNOT_RUN = 0, 1, 2

Case = Callable[[deployments.Deployment], list[str]]


def run(case: Case, script: str, entries: int = 3) -> None:
    """Run a case; it returns in what ways the rule was broken."""
    deployment = deployments.Deployment(
        pathlib.Path(script).resolve().parent, entries
    )
    try:
        broken = case(deployment)
    except deployments.CannotRunError as error:
        deployment.record.note('cannot run', reason=str(error))
        print(f'cannot run: {error}')
        sys.exit(_CANNOT_RUN)
    except Exception:
        # A fault of the script says nothing about the rule.
        traceback.print_exc()
        sys.exit(_CANNOT_RUN)
    finally:
        deployment.close()
    for line in broken:
        print(f'broken: {line}')
    deployment.record.note('result', broken=broken)
    print(f'{len(broken)} times broken' if broken else 'held')
    sys.exit(_BROKEN if broken else _HELD)
