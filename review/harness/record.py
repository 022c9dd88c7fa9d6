"""The record of a case: what was sent, answered and run."""

import json
import time


class Record:
    """Writes events as lines of JSON, with seconds since the start of the case."""

    def __init__(self, path):
        self._file = open(path, "w")  # noqa: SIM115
        self.started_at = time.monotonic()

    def write(self, event, **fields):
        """Write one event."""
        at = round(time.monotonic() - self.started_at, 4)
        line = json.dumps({"at": at, "event": event, **fields})
        self._file.write(line + "\n")

    def say(self, text):
        """Write a line for readers, also to standard output."""
        print(text, flush=True)
        self.write("note", text=text)

    def close(self):
        """Close the file."""
        self._file.close()
