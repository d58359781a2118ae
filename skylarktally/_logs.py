"""Log lines as JSON objects, one for each change of state."""

import logging
import sys
from typing import TextIO

from pythonjsonlogger import json as json_logger


def configure_logs(
    process: str, level: str = 'INFO', stream: TextIO | None = None
) -> None:
    """Send all log records to the stream, one JSON object a line.

    :param process: name of the process, added to every line
    :param stream: standard output unless given
    """
    handler = logging.StreamHandler(stream or sys.stdout)
    handler.setFormatter(
        json_logger.JsonFormatter(
            ['asctime', 'levelname', 'name', 'message'],
            rename_fields={
                'asctime': 'time',
                'levelname': 'level',
                'name': 'logger',
            },
            static_fields={'process': process},
            datefmt='%Y-%m-%dT%H:%M:%S%z',
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # The thrift library logs each failed connection attempt with a stack
    # trace; the callers of this project count them instead.
    logging.getLogger('thrift').setLevel(logging.CRITICAL)
    logging.getLogger('urllib3').setLevel(logging.ERROR)
