"""Keeps the pauses of garbage collections short in large processes.

A full collection looks at every object in memory while nothing else has its
turn. What an owner loads stays for as long as its jobs do, and leaves memory
without a collection: no cycles of references remain when a job is removed.
"""

import gc


def exclude_present_objects() -> None:
    """Exclude all present objects from collections.

    At a small cost that does not grow with their number. Cycles among them
    are not found until ``include_all_objects`` is called.
    """
    gc.freeze()


def include_all_objects() -> None:
    """Let the next collections look at all objects again."""
    gc.unfreeze()
