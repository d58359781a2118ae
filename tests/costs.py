"""Costs of functions, counted so that the machine's speed plays no part."""

import gc
import sys


def count_lines(function):
    """Count the lines of Python that a call executes."""
    count = 0

    def trace(_frame, event, _argument):
        nonlocal count
        count += event == 'line'
        return trace

    # Garbage collection could run finalizers of other tests in the trace.
    gc.collect()
    gc.disable()
    sys.settrace(trace)
    try:
        function()
    finally:
        sys.settrace(None)
        gc.enable()
    return count


def count_calls(function, *arguments):
    """Return the result of a function and the number of calls it makes."""
    count = 0

    def note(frame, event, argument):
        nonlocal count
        count += event == 'call'

    sys.setprofile(note)
    try:
        outcome = function(*arguments)
    finally:
        sys.setprofile(None)
    return outcome, count
