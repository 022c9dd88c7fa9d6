"""Runs a case and turns its result into the exit code."""

import asyncio
import os
import pathlib
import signal
import sys
import traceback

from .record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2


def has_trouble():
    """Whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(path, run, timeout_s=110):
    """Run a case; exit with 0 if the rule held, 1 if not, 2 if it could not run.

    Parameters
    ----------
    path : str
        File of the case; the record is written beside it.
    run : callable
        Async; takes the `Record`, returns whether the rule held.
    timeout_s : float
    """
    record = Record(pathlib.Path(path).resolve().parent / "record.txt")

    async def run_until_stopped():
        # A SIGTERM to the script must not leave the processes that it has started.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(run(record), timeout_s)

    try:
        is_held = asyncio.run(run_until_stopped())
        code = HELD if is_held else BROKEN
        record.say("the rule held" if is_held else "the rule was broken")
    except (Exception, asyncio.CancelledError, KeyboardInterrupt):
        traceback.print_exc()
        record.say("the case could not run")
        code = NOT_RUN
    record.close()
    sys.exit(code)
