"""A stand-in for the worker of one machine: reports, lease, tokens, commands and tasks."""

import asyncio
import json
import random
import time

from http11 import Connection, Server

REPORT_TIMEOUT_S = 4.0
NEXT_NODE_S = 1.0
MIN_REPORT_INTERVAL_S = 0.5
SICK_RUN_S = 0.3


class Task:
    def __init__(self, spoke, attempt, state, cause=None):
        self.spoke, self.attempt, self.state, self.cause = spoke, attempt, state, cause
        self.saved = None
        self.timer = None
        self.on_machine = False
        self.server = None  # of a replica that answers

    def status(self):
        status = {"Spoke": self.spoke, "Try": self.attempt, "Stance": self.state}
        if self.cause:
            status["Cause"] = self.cause
        if self.saved is not None:
            status["Saved"] = self.saved
        return status


class Worker:
    def __init__(self, fleet, name, frame, zone, spot, host):
        self.fleet, self.record = fleet, fleet.record
        self.name, self.frame, self.zone, self.spot, self.host = name, frame, zone, spot, host
        self.port = None
        self.turning, self.tick, self.warrant = 1, 0, 0
        self.notice_until = None
        self.tasks = {}
        self.images = set()
        self.sick = False
        self.alive = True
        self.node = 0
        self.leased_at = time.monotonic()
        self.changed = asyncio.Event()
        self.connection = Connection()
        self.server = Server(self.handle)
        self.loops = []

    @property
    def endpoint(self):
        return f"{self.host}:{self.port}"

    async def listen(self):
        self.port = await self.server.start(self.host, 0)

    def begin(self):
        self.leased_at = time.monotonic()
        loop = asyncio.get_running_loop()
        self.loops = [loop.create_task(self._report_loop()), loop.create_task(self._lease_loop())]
        self.record.write(self.name, "is up")

    def end(self, why):
        """The machine is gone with everything on it."""
        if not self.alive:
            return
        self.alive = False
        for task in self.loops:
            task.cancel()
        self._kill_all(why)
        self.connection.close()
        self.server.stop()

    def give_notice(self, seconds):
        self.notice_until = time.monotonic() + seconds
        self.record.write(self.name, "has a notice", seconds=seconds)
        self.changed.set()

    # Reports.

    def report(self):
        self.tick += 1
        warning = None
        if self.notice_until is not None:
            warning = max(self.notice_until - time.monotonic(), 0.0)
        return {"Millstone": self.name, "Endpoint": self.endpoint, "Frame": self.frame["Label"],
                "Yard": self.zone, "Driftwood": self.spot, "Turning": self.turning,
                "Tick": self.tick, "Warrant": self.warrant, "WarningS": warning,
                "Spokes": [task.status() for task in self.tasks.values()]}

    async def _report_loop(self):
        workers = self.fleet.workers_settings
        while True:
            sent_at = time.monotonic()
            pause = await self._report_once(sent_at)
            if pause:
                await asyncio.sleep(pause)
                continue
            interval = workers["report_s"] * random.uniform(0.75, 1.25)
            left = sent_at + interval - time.monotonic()
            try:
                await asyncio.wait_for(self.changed.wait(), max(left, 0.01))
                await asyncio.sleep(max(sent_at + MIN_REPORT_INTERVAL_S - time.monotonic(), 0))
            except asyncio.TimeoutError:
                pass
            self.changed.clear()

    async def _report_once(self, sent_at):
        """Sends one report. Returns how long to wait before the next one, or 0 to stay."""
        node = self.fleet.nodes[self.node]
        turning = self.turning
        try:
            status, body = await self.connection.call(
                "127.0.0.1", node.public_port, "POST", "/agent/beat", self.report(),
                REPORT_TIMEOUT_S)
        except (OSError, asyncio.TimeoutError):
            return self._next_node()
        if status == 421:
            self.connection.close()
            named = json.loads(body or b"{}").get("Miller")
            index = self.fleet.node_index(named)
            if index is None or index == self.node:
                return self._next_node()
            self.node = index
            return 0.01
        if status != 200:
            return self._next_node()
        answer = json.loads(body)
        token = answer.get("Warrant")
        if turning == self.turning and token is not None and token >= self.warrant:
            if token > self.warrant:
                self.warrant = token
                self.changed.set()
            self.leased_at = max(self.leased_at, sent_at)
            self.execute(answer.get("Orders") or [], node.name)
        return 0

    def _next_node(self):
        self.connection.close()
        self.node = (self.node + 1) % len(self.fleet.nodes)
        return NEXT_NODE_S

    async def _lease_loop(self):
        lease_s = self.fleet.workers_settings["lease_s"]
        while True:
            await asyncio.sleep(0.02)
            if time.monotonic() > self.leased_at + lease_s:
                self._kill_all("lease over")
                self.tasks = {}
                self.turning += 1
                self.tick = 0
                self.leased_at = time.monotonic()
                self.record.write(self.name, "new session", turning=self.turning)
                self.changed.set()

    # Commands.

    async def handle(self, method, target, body):
        if method == "GET" and target == "/status":
            return 200, self.report()
        if method != "POST" or target != "/commands":
            return 400, {"error": "no such call"}
        request = json.loads(body)
        if request.get("Warrant") is None or request.get("Turning") is None:
            return 400, {"error": "Warrant or Turning is missing"}
        if request["Warrant"] < self.warrant or request["Turning"] != self.turning:
            return 409, self.report()
        if request["Warrant"] > self.warrant:
            self.warrant = request["Warrant"]
            self.changed.set()
        self.execute(request.get("Orders") or [], "direct")
        return 200, self.report()

    def execute(self, orders, source):
        for order in orders:
            key = (order["Spoke"], order["Try"])
            verb = order["Verb"]
            if verb == "run":
                self._run(key, source)
            elif verb == "halt":
                self._halt(key, order.get("RespiteS") or 0, source)
            elif verb == "clear" and key in self.tasks and self.tasks[key].state == "ended":
                del self.tasks[key]

    def _run(self, key, source):
        if key in self.tasks:
            return
        spoke, attempt = key
        job = self.fleet.uploads.get(spoke.split("/")[0])
        refusal = self._refusal(spoke, job)
        self.record.write(self.name, f"run {spoke}", attempt=attempt, by=source, refused=refusal)
        if refusal:
            self.tasks[key] = Task(spoke, attempt, "ended", refusal)
        else:
            task = self.tasks[key] = Task(spoke, attempt, "fetching")
            fetch_s = 0.0
            if job["Mould"] not in self.images:
                fetch_s = job["ImageGb"] / self.frame["PullGbPerS"]
            task.timer = asyncio.get_running_loop().call_later(fetch_s, self._start, key, job)
        self.changed.set()

    def _refusal(self, spoke, job):
        if job is None:
            return "unknown"
        present = [task for task in self.tasks.values() if task.state != "ended"]
        if any(task.spoke == spoke for task in present):
            return "busy"
        jobs = [self.fleet.uploads[task.spoke.split("/")[0]] for task in present] + [job]
        for amount in ("Cores", "Gpus", "MemoryGb"):
            if sum(j[amount] for j in jobs) > self.frame[amount] + 1e-6:
                return "full"
        return None

    def _start(self, key, job):
        task = self.tasks.get(key)
        if not task or task.state != "fetching":
            return
        self.images.add(job["Mould"])
        task.state, task.on_machine = "running", True
        self.fleet.on_task_begins(self, task)
        loop = asyncio.get_running_loop()
        if task.spoke in self.fleet.completed:
            self._exit(key, "done")
        elif self.sick:
            task.timer = loop.call_later(SICK_RUN_S, self._exit, key, "error")
        elif job["Shape"] == "service":
            loop.create_task(self._serve_model(task, job))
        else:
            task.timer = loop.call_later(job["ReckonS"], self._exit, key, "done")
        self.changed.set()

    async def _serve_model(self, task, job):
        """A replica of a model answers once it is loaded; other replicas on the machine may
        answer at the same port. Nothing is served for images that the test doesn't name."""
        model = self.fleet.models.get(job["Mould"])
        if not model or not model["healthy"]:
            return
        await asyncio.sleep(model["load_s"])
        if not task.on_machine:
            return

        async def handle(method, target, body):
            return 200, {"replica": task.spoke}

        task.server = Server(handle)
        await task.server.start(self.host, model["port"], reuse_port=True)
        self.fleet.on_replica(self, task, True)

    def _halt(self, key, respite_s, source):
        task = self.tasks.get(key)
        if not task or task.state == "ended":
            return
        job = self.fleet.uploads[task.spoke.split("/")[0]]
        self.record.write(self.name, f"halt {task.spoke}", attempt=task.attempt,
                          respite_s=respite_s, by=source)
        saves = task.state == "running" and job["NotchS"] > 0 and respite_s >= job["StashS"]
        if saves:
            task.state = "flushing"
            if task.timer:
                task.timer.cancel()
            task.timer = asyncio.get_running_loop().call_later(
                min(job["StashS"], 3600), self._exit, key, "stopped", True)
        elif task.state != "flushing" or respite_s == 0:
            self._exit(key, "stopped", False)
        self.changed.set()

    def _exit(self, key, cause, saved=None):
        task = self.tasks.get(key)
        if not task or task.state == "ended":
            return
        if task.timer:
            task.timer.cancel()
        task.state, task.cause, task.saved = "ended", cause, saved
        if cause == "done":
            self.fleet.completed.add(task.spoke)
        self._left(task, cause)
        self.changed.set()

    def _kill_all(self, why):
        for task in self.tasks.values():
            if task.timer:
                task.timer.cancel()
            if task.state != "ended":
                task.state = "ended"
                self._left(task, why)

    def _left(self, task, why):
        was_on_machine, task.on_machine = task.on_machine, False
        if task.server:
            task.server.stop()
            task.server = None
            self.fleet.on_replica(self, task, False)
        if was_on_machine:
            self.fleet.on_task_ends(self, task, why)
