"""Configuration of logging: one JSON object per line."""

import logging
import sys
from typing import TextIO

from pythonjsonlogger import json as json_logger


def configure_logs(
    process: str, level: str = 'INFO', stream: TextIO | None = None
) -> None:
    """Write all log records to a stream, one JSON object per line.

    :param process: name of the process, added to every record
    :param level: minimum level of the records that are written
    :param stream: standard output by default
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
    # trace; the code that connects counts these failures instead.
    logging.getLogger('thrift').setLevel(logging.CRITICAL)
    logging.getLogger('urllib3').setLevel(logging.ERROR)
