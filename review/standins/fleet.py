"""A small deployment on loopback: the project's controllers as processes, started with the
deploy file's command, and stand-ins for the state service, the cloud, the workers and the users.
"""

import asyncio
import ctypes
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

from cloud import Cloud
from http11 import call
from record import Record
from state_service import StateService

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
SUBMIT_TIMEOUT_S, POLL_TIMEOUT_S = 5.0, 2.0
LONGEST_RUN_S = 114.0

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case can't be run here, so nothing can be said about the rule."""


def _end_with_parent():
    """A controller ends when the test's process does, however that ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Node:
    """One controller process."""

    def __init__(self, fleet, name, public_port, internal_port):
        self.fleet, self.name = fleet, name
        self.public_port, self.internal_port = public_port, internal_port
        self.process = None

    @property
    def settings_path(self):
        return os.path.join(self.fleet.folder, f"{self.name}.toml")

    @property
    def log_path(self):
        return os.path.join(self.fleet.folder, f"{self.name}.log")

    def start(self):
        command = self.fleet.run_command + [self.settings_path] + self.fleet.extra_arguments(self)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=REPOSITORY, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
                preexec_fn=_end_with_parent)
        self.fleet.record.write(self.name, "started")

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.fleet.record.write(self.name, "killed")


class Fleet:
    """`site`: one of `sites`. `machines`: how many ordinary and spot machines the cloud has.
    `hosts`: the address of the n-th machine. `operator`: text of a node's operators' file."""

    def __init__(self, folder, site, machines, hosts=None, operator=None, nodes=3):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="stonewheel-review-")
        self.site, self.operator = site, operator
        self.workers_settings = site["workers"]
        self.state = StateService(self.record, site["state"]["value_kb"],
                                  site["state"]["txn_ops"])
        label = site["type"]["Label"]
        capacity = {(label, False): machines[0], (label, True): machines[1]}
        self.cloud = Cloud(self, [site["type"]], capacity, site["cloud"]["list_lag_s"], hosts)
        with open(os.path.join(REPOSITORY, "deploy", "service.toml"), "rb") as file:
            self.run_command = tomllib.load(file)["run"].split()
        self.run_command[0] = os.path.join(REPOSITORY, self.run_command[0])
        if not os.access(self.run_command[0], os.X_OK):
            raise CannotRun("the program isn't built")
        ports = free_ports(2 * nodes)
        self.nodes = [Node(self, f"millstone-{i}", ports[2 * i], ports[2 * i + 1])
                      for i in range(nodes)]
        self.uploads = {}  # descriptions that users upload for the workers
        self.models = {}  # image -> port, load_s and healthy, of replicas that answer requests
        self.answering = set()  # (task, machine) of replicas that answer
        self.on_change = None  # called when replicas begin or cease to answer
        self.completed = set()  # tasks whose result is kept
        self.present = {}  # (task, machine) -> when it came onto the machine
        self.history = []  # (task, machine, from, to)

    def node_index(self, name):
        return next((i for i, node in enumerate(self.nodes) if node.name == name), None)

    def extra_arguments(self, node):
        if not self.operator:
            return []
        return ["--operator", os.path.join(self.folder, f"{node.name}.ini")]

    async def start(self):
        await self.state.start()
        await self.cloud.start()
        for node in self.nodes:
            with open(node.settings_path, "w", encoding="utf-8") as file:
                file.write(self._settings(node))
            if self.operator:
                with open(os.path.join(self.folder, f"{node.name}.ini"), "w",
                          encoding="utf-8") as file:
                    file.write(self.operator(node))
        for node in self.nodes:
            node.start()
        await self.until("all controllers are up", 30, self._all_up)

    def _settings(self, node):
        def table(name, values):
            lines = "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items())
            return f"{name}\n{lines}"

        site = self.site
        zone = site["zones"][0]
        parts = [table("", {"member": node.name, "zone": zone,
                            "public_addr": f"127.0.0.1:{node.public_port}",
                            "internal_addr": f"127.0.0.1:{node.internal_port}"})]
        for other in self.nodes:
            if other is not node:
                parts.append(table("[[members]]", {
                    "member": other.name, "zone": zone,
                    "endpoint": f"127.0.0.1:{other.internal_port}"}))
        parts.append(table("[services]", {"cloud": f"127.0.0.1:{self.cloud.port}",
                                          "state": f"127.0.0.1:{self.state.port}"}))
        parts.append(table("[cluster]", {"size": len(self.nodes), "zones": site["zones"],
                                         "time_bound_ms": 1000.0}))
        parts += [table("[[cluster.teams]]", team) for team in site["teams"]]
        parts += [table(f"[cluster.{name}]", site[name])
                  for name in ("workers", "state", "cloud", "quota")]
        return "\n".join(parts)

    async def _all_up(self):
        for node in self.nodes:
            try:
                status, _ = await call("127.0.0.1", node.public_port, "GET", "/up", timeout=1.0)
            except (OSError, asyncio.TimeoutError):
                return False
            if status != 200:
                return False
        return True

    async def until(self, what, seconds, condition):
        """Waits until a condition holds. The case can't be run if it doesn't in time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            held = condition()
            if asyncio.iscoroutine(held):
                held = await held
            if held:
                return held
            await asyncio.sleep(0.1)
        raise CannotRun(f"not within {seconds} s: {what}")

    async def wait_while(self, condition, seconds):
        """Waits while a condition holds, for this long at most."""
        end = time.monotonic() + seconds
        while condition() and time.monotonic() < end:
            await asyncio.sleep(0.1)

    def close(self):
        for node in self.nodes:
            node.kill()
        for machine in self.cloud.machines.values():
            machine.worker.end("the test is over")
        self.record.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    # What workers tell the test.

    def on_task_begins(self, worker, task):
        self.record.write(worker.name, f"task {task.spoke} is on the machine",
                          attempt=task.attempt)
        self.present[(task.spoke, worker.name)] = self.record.now()

    def on_task_ends(self, worker, task, why):
        self.record.write(worker.name, f"task {task.spoke} is gone", why=why)
        began = self.present.pop((task.spoke, worker.name), None)
        self.history.append((task.spoke, worker.name, began, self.record.now()))

    def on_replica(self, worker, task, answers):
        self.record.write(worker.name, f"replica {task.spoke} "
                          f"{'answers' if answers else 'answers no more'}")
        (self.answering.add if answers else self.answering.discard)((task.spoke, worker.name))
        if self.on_change:
            self.on_change()

    def on_machines(self, job):
        """Tasks of a job that are on machines now."""
        return [key for key in self.present if key[0].split("/")[0] == job]

    def upload_descriptions_of_own_jobs(self):
        """The controllers submit jobs of their own for the optional parts. Workers need their
        descriptions too, which are those of the job records."""
        prefix = "sw/j/"

        def committed(keys):
            for key in keys:
                if key.startswith(prefix) and key in self.state.values:
                    self.uploads[key[len(prefix):]] = self.state.values[key][0]
        self.state.on_commit = committed

    # Users.

    async def request(self, node, method, path, body=None, timeout=SUBMIT_TIMEOUT_S):
        """One request of a user. Returns (status, JSON) or (None, reason)."""
        try:
            status, data = await call("127.0.0.1", node.public_port, method, path, body, timeout)
            answer = json.loads(data or b"null")
        except (OSError, asyncio.TimeoutError, ValueError) as error:
            status, answer = None, type(error).__name__
        self.record.write("user", f"{method} {path} at {node.name}",
                          body=body, status=status, answer=answer)
        return status, answer

    async def submit(self, job, give_up_s=60.0):
        """Uploads and submits a job, and repeats that as users do. Returns the last status."""
        self.uploads[job["Ref"]] = job
        end = time.monotonic() + give_up_s
        attempt = 0
        while True:
            node = self.nodes[attempt % len(self.nodes)]
            status, _ = await self.request(node, "POST", "/work", job)
            if status in (200, 201, 400, 422) or time.monotonic() > end:
                return status
            attempt += 1
            await asyncio.sleep(1.0)

    async def poll(self, id):
        """Asks for a job's state at the nodes in turn. Returns it, or None without an answer."""
        for node in self.nodes:
            status, answer = await self.request(node, "GET", f"/work/{id}",
                                                timeout=POLL_TIMEOUT_S)
            if status == 200:
                return answer["Stance"]
            if status == 404:
                return "unknown"
        return None


def job(ref, site, shape="batch", **fields):
    """A submission of the site's first team, of a task of one GPU that runs for 5 s."""
    return {"Ref": ref, "Grain": "review", "Crew": site["teams"][0]["name"], "Shape": shape,
            "Rank": "high", "Spokes": 1, "Cores": 5.0, "Gpus": 1.0, "MemoryGb": 18.0,
            "Mould": "img-01", "ImageGb": 1.0, "Frames": None, "Yard": None, "Together": False,
            "Scatter": False, "Driftwood": False, "ReckonS": 0.0 if shape == "service" else 5.0,
            "NotchS": 0.0, "StashS": 0.0, "DueS": None, **fields}


def main(folder, case):
    """Runs a case: `case(folder, trouble)` is a coroutine function that returns whether the rule
    held, and a sentence. Exits with 0 if it held, 1 if it was broken, 2 if the case didn't run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        return await asyncio.wait_for(case(folder, trouble), LONGEST_RUN_S)

    try:
        held, what = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError) as error:
        print(f"not run: {error or 'out of time'}")
        sys.exit(NOT_RUN)
    except Exception:  # A mistake of the test says nothing about the rule.
        traceback.print_exc()
        sys.exit(NOT_RUN)
    print(("held: " if held else "BROKEN: ") + what)
    sys.exit(HELD if held else BROKEN)
