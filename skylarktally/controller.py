"""Controller: serves the resource API and reconciles the fleet.

Run as ``python -m skylarktally.controller --settings=FILE``.
"""

from skylarktally import _loop

_loop.patch_standard_library()

from absl import app  # noqa: E402
from absl import flags  # noqa: E402
import prometheus_client  # noqa: E402

from skylarktally import _clock  # noqa: E402
from skylarktally import _controller  # noqa: E402
from skylarktally import _launch  # noqa: E402
from skylarktally import _settings  # noqa: E402


def serve(arguments: list[str]) -> None:
    """Run the controller until SIGTERM or SIGINT shuts it down."""
    del arguments
    settings = _launch.load_settings(_settings.ControllerSettings)
    _controller.Controller(
        settings,
        str(flags.FLAGS.settings),
        _clock.SystemClock(),
        prometheus_client.REGISTRY,
    ).run()


def main() -> None:
    """Parse the flags and run the controller."""
    app.run(serve)


if __name__ == '__main__':
    main()
