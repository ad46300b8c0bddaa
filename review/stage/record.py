"""The record of a run: what was sent, answered and run, in the order of time."""

import time


class Record:
    """Writes one line for each event to `record.txt` of a case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now_ms(self):
        """Returns the time since the start of the run, in milliseconds."""
        return (time.monotonic() - self.started) * 1_000

    def write(self, who, event):
        """Writes an event."""
        self.file.write(f"{self.now_ms():9.1f} {who:<12} {event}\n")
        self.file.flush()
