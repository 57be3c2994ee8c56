"""The record of a run: what was sent, answered and run, with the time since the start."""

import json
import time


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, who, what, **details):
        text = "".join(f" {key}={json.dumps(value)}" for key, value in details.items())
        self.file.write(f"{self.now():8.3f}  {who:<14} {what}{text}\n")
        self.file.flush()

    def close(self):
        self.file.close()
