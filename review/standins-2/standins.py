"""Stand-ins of the platform for the cases of the second review: the state service, the cloud,
the workers with their machines, and a client; and the start of the project's own controllers.

Everything runs on loopback addresses and on the real clock, in one process beside the
controllers, with the Python standard library only.
"""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


# ---------------------------------------------------------------------------------------------
# HTTP

async def read_message(reader):
    """Reads one HTTP message. Returns the start line, the headers and the body, or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readline()
                if size == 0:
                    break
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = b""
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return lines[0], headers, body


class HttpServer:
    """An HTTP server. `handler(method, path, query, body)` returns a status and a value for a
    JSON body, or None to close the connection without an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.connections = set()

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self._serve, host, port)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                start, headers, body = message
                method, target, _ = start.split(" ", 2)
                url = urlsplit(target)
                query = {name: values[-1] for name, values in
                         parse_qs(url.query, keep_blank_values=True).items()}
                answer = await self.handler(method, unquote(url.path), query, body)
                if answer is None:
                    return
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def stop(self):
        """Closes the listener and resets the open connections."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.transport.abort()


async def call(address, method, path, body=None, timeout=5.0):
    """Sends one request on a connection of its own. Returns the status and the JSON body, or
    (0, reason) without an answer."""
    host, _, port = address.rpartition(":")

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = (f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
                    f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n")
            writer.write(head.encode() + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, "closed without an answer"
            status = int(message[0].split(" ")[1])
            try:
                return status, json.loads(message[2]) if message[2] else None
            except ValueError:
                return status, message[2].decode("latin-1")
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return 0, "no answer in time"
    except OSError as error:
        return 0, error.__class__.__name__


# ---------------------------------------------------------------------------------------------
# The state service

class StateService:
    """The store, with one listener for each controller, so that one can be refused alone."""

    EVENTS_KEPT = 10_000

    def __init__(self, record, value_kb, txn_ops):
        self.record = record
        self.value_bytes = int(value_kb * 1024)
        self.txn_ops = txn_ops
        self.revision = 1
        self.entries = {}  # key -> (value, version, lease)
        self.leases = {}  # id -> [life_s, expires_at]
        self.next_lease = 1
        self.events = []  # (revision, key, value or None)
        self.first_event = 0
        self.changed = asyncio.Condition()
        self.refused = set()  # members that get 503
        self.cut = set()  # members whose connections are reset
        self.outage = False
        self.drop_answers = None  # hook(member, body) -> True: carried out, not answered
        self.servers = {}

    async def start(self, member):
        async def handler(method, path, query, body):
            return await self.handle(member, method, path, query, body)
        server = HttpServer(handler)
        self.servers[member] = server
        return await server.start("127.0.0.1")

    def is_refused(self, member):
        return self.outage or member in self.refused

    def refuse(self, member):
        self.refused.add(member)
        self.record(f"state service refuses {member}")

    async def serve_again(self, member):
        self.refused.discard(member)
        self.record(f"state service serves {member} again")
        async with self.changed:
            self.changed.notify_all()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if self.outage:
                for lease in self.leases.values():
                    lease[1] = now + lease[0]
                continue
            for lease in [l for l, (_, expires) in self.leases.items() if expires <= now]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, entry in self.entries.items() if entry[2] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                del self.entries[key]
                self.add_event(key, None)
            async with self.changed:
                self.changed.notify_all()

    def add_event(self, key, value):
        self.events.append((self.revision, key, value))
        if len(self.events) > self.EVENTS_KEPT:
            self.first_event = self.events[0][0]
            self.events.pop(0)

    def cut_off(self, member):
        """Resets the member's connections, and those that it opens, until `reconnect`."""
        self.cut.add(member)
        for writer in list(self.servers[member].connections):
            writer.transport.abort()

    def reconnect(self, member):
        self.cut.discard(member)

    async def handle(self, member, method, path, query, body):
        await asyncio.sleep(0.002)
        if member in self.cut:
            return None
        if path == "/follow":
            return await self.follow(member, query)
        if self.is_refused(member):
            return 503, {"error": "unavailable"}
        if path == "/multi":
            answer = await self.transact(json.loads(body))
            if self.drop_answers and self.drop_answers(member, json.loads(body)):
                return None
            return answer
        if path == "/kv":
            return self.list(query)
        if path.startswith("/kv/"):
            entry = self.entries.get(path[4:])
            if entry is None:
                return 404, {"Ledger": self.revision}
            return 200, {"Key": path[4:], "Value": entry[0], "Stamp": entry[1], "Tenure": entry[2]}
        if path == "/leases" and method == "POST":
            life_s = json.loads(body)["LifeMs"] / 1000
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = [life_s, time.monotonic() + life_s]
            return 200, {"Tenure": lease}
        if path.startswith("/leases/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                await self.end_lease(lease)
            else:
                self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {"Tenure": lease}
        return 400, {"error": "malformed"}

    def list(self, query):
        prefix, since = query.get("Prefix", ""), query.get("Since", "")
        limit = min(int(query.get("Limit", 1000)), 1000)
        keys = sorted(k for k in self.entries if k.startswith(prefix) and k > since)
        items = [{"Key": k, "Value": self.entries[k][0], "Stamp": self.entries[k][1]}
                 for k in keys[:limit]]
        return 200, {"Items": items, "HasNext": len(keys) > limit, "Ledger": self.revision}

    async def transact(self, transaction):
        writes = transaction.get("Writes", [])
        conditions = transaction.get("When", [])
        if len(writes) > self.txn_ops or len(conditions) > 4 * self.txn_ops:
            return 400, {"error": "too many operations"}
        for write in writes:
            if "Put" in write:
                size = len(json.dumps(write["Value"], separators=(",", ":")))
                if size > self.value_bytes:
                    self.record(f"state service: 400, value of {size} bytes for {write['Put']}")
                    return 400, {"error": "value too large"}
                if write.get("Tenure") is not None and write["Tenure"] not in self.leases:
                    return 400, {"error": "no such lease"}
        version = lambda key: self.entries[key][1] if key in self.entries else 0
        failed = [c["Key"] for c in conditions if version(c["Key"]) != c["Stamp"]]
        if failed:
            return 409, {"failed": failed, "Ledger": self.revision}
        revision = self.revision
        if writes:
            self.revision += 1
            revision = self.revision
            for write in writes:
                if "Put" in write:
                    key = write["Put"]
                    self.entries[key] = (write["Value"], self.revision, write.get("Tenure"))
                    self.add_event(key, write["Value"])
                elif self.entries.pop(write["Drop"], None):
                    self.add_event(write["Drop"], None)
            async with self.changed:
                self.changed.notify_all()
        return 200, {"Ledger": revision}

    async def follow(self, member, query):
        prefix, since = query.get("Prefix", ""), int(query.get("Since", 0))
        deadline = time.monotonic() + min(int(query.get("BlockMs", 0)), 60_000) / 1000
        if self.is_refused(member):
            return 503, {"error": "unavailable"}
        while True:
            if not self.is_refused(member):
                if since < self.first_event:
                    return 410, {"error": "too old"}
                latest = {}
                for revision, key, value in self.events:
                    if revision > since and key.startswith(prefix):
                        latest.setdefault(revision, {})[key] = value
                news = [({"Put": k, "Value": v, "Stamp": r} if v is not None
                         else {"Drop": k, "Stamp": r})
                        for r, changes in latest.items() for k, v in changes.items()]
                if news or time.monotonic() >= deadline:
                    return 200, {"Ledger": self.revision, "News": news}
            # In an outage, and while this member alone is refused, an open watch stays open.
            left = deadline - time.monotonic()
            wait = left if left > 0 else 0.5
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), wait)
                except asyncio.TimeoutError:
                    pass


# ---------------------------------------------------------------------------------------------
# Machines, their workers and what serves on them

class Task:
    def __init__(self, name, attempt, spec):
        self.name, self.attempt, self.spec = name, attempt, spec
        self.job = name.rpartition("/")[0]
        self.state, self.cause, self.saved = "fetching", None, None
        self.runner = None


class Worker:
    """One machine with its worker, by the pages: reports, commands, tokens and leases. Gangs
    are not needed by these cases."""

    def __init__(self, world, name, host, frame, zone, spot):
        self.world, self.name, self.host = world, name, host
        self.frame, self.zone, self.spot = frame, zone, spot
        self.endpoint = f"{host}:9000"
        self.session, self.tick, self.token = 1, 0, 0
        self.tasks, self.forgotten, self.images = {}, set(), set()
        self.last_answered = time.monotonic()
        self.node = 0
        self.changed = asyncio.Event()
        self.commands_server, self.loops = None, []
        self.gone = False
        self.notice = None  # (nominal seconds, when it began)

    def give_notice(self, nominal_s):
        """The cloud announces that it will take the machine."""
        self.notice = (nominal_s, time.monotonic())
        self.world.record(f"{self.name}: notice, {nominal_s} s")
        self.changed.set()

    def warning_s(self):
        if self.notice is None:
            return None
        nominal_s, began_at = self.notice
        return max(0.0, nominal_s - (time.monotonic() - began_at))

    async def start(self):
        self.commands_server = HttpServer(self.handle_direct)
        await self.commands_server.start(self.host, 9000)
        self.loops = [asyncio.create_task(self.report_loop()),
                      asyncio.create_task(self.lease_loop())]

    def stop(self):
        self.gone = True
        for loop in self.loops:
            loop.cancel()
        if self.commands_server:
            self.commands_server.stop()
        self.kill_tasks("machine gone")

    def kill_tasks(self, why):
        for task in self.tasks.values():
            if task.runner:
                task.runner.cancel()
            if task.state != "ended":
                self.world.task_ended(self, task, why)
        self.tasks.clear()

    def report(self):
        self.tick += 1
        tasks = []
        for task in self.tasks.values():
            status = {"Spoke": task.name, "Try": task.attempt, "Stance": task.state}
            if task.cause:
                status["Cause"] = task.cause
            if task.saved:
                status["Saved"] = True
            tasks.append(status)
        return {"Millstone": self.name, "Endpoint": self.endpoint, "Frame": self.frame,
                "Yard": self.zone, "Driftwood": self.spot, "Turning": self.session,
                "Tick": self.tick, "Warrant": self.token, "WarningS": self.warning_s(),
                "Spokes": tasks}

    async def lease_loop(self):
        while True:
            await asyncio.sleep(0.1)
            if time.monotonic() - self.last_answered > self.world.workers["lease_s"]:
                self.world.record(f"{self.name}: lease over, session {self.session} ends")
                self.kill_tasks("lease over")
                self.session += 1
                self.last_answered = time.monotonic()
                self.changed.set()

    async def report_loop(self):
        nodes = self.world.controllers
        self.node = random.randrange(len(nodes))
        reader = writer = None
        connected_to = None
        while True:
            node = nodes[self.node]
            self.changed.clear()
            session, sent_at = self.session, time.monotonic()
            answer, data = None, b""
            try:
                if connected_to != node.public:
                    if writer:
                        writer.close()
                    host, _, port = node.public.rpartition(":")
                    reader, writer = await asyncio.wait_for(
                        asyncio.open_connection(host, int(port)), 4)
                    connected_to = node.public
                data = json.dumps(self.report(), separators=(",", ":")).encode()
                writer.write(b"POST /agent/beat HTTP/1.1\r\nHost: x\r\nContent-Type: "
                             b"application/json\r\nContent-Length: %d\r\n\r\n" % len(data) + data)
                answer = await asyncio.wait_for(read_message(reader), 4)
            except (OSError, asyncio.TimeoutError):
                pass
            status = int(answer[0].split(" ")[1]) if answer else 0
            if status not in (200, 421):
                self.world.record(f"{self.name}: report of {len(data)} bytes to {node.member}: "
                                  f"{status or 'no answer'}")
            if status == 200:
                if max(map(len, answer[2].splitlines())) > 64 * 1024:
                    self.world.record(f"{self.name}: a line of {len(answer[2])} bytes from "
                                      f"{node.member}")
                self.take_response(json.loads(answer[2]), session, sent_at)
                interval = self.world.workers["report_s"] * random.uniform(0.75, 1.25)
                await asyncio.sleep(min(0.5, interval))
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0, interval - 0.5))
                except asyncio.TimeoutError:
                    pass
                continue
            if writer:
                writer.close()
            reader = writer = connected_to = None
            named = None
            if status == 421:
                try:
                    named = json.loads(answer[2] or b"{}").get("Miller")
                except ValueError:
                    pass
            names = [n.member for n in nodes]
            if named in names and names.index(named) != self.node:
                self.node = names.index(named)
                await asyncio.sleep(random.uniform(0, 0.5))
            else:
                self.node = (self.node + 1) % len(nodes)
                await asyncio.sleep(1)

    def take_response(self, response, session, sent_at):
        token = response.get("Warrant")
        if session != self.session or token is None or token < self.token:
            return
        if token > self.token:
            self.token = token
            self.changed.set()
        self.last_answered = max(self.last_answered, sent_at)
        self.execute(response.get("Orders", []))

    async def handle_direct(self, method, path, query, body):
        if path == "/status":
            return 200, self.report()
        if path != "/commands":
            return 404, {}
        message = json.loads(body)
        if "Warrant" not in message or "Turning" not in message:
            return 400, {"error": "malformed"}
        if message["Warrant"] < self.token or message["Turning"] != self.session:
            return 409, self.report()
        if message["Warrant"] > self.token:
            self.token = message["Warrant"]
            self.changed.set()
        self.execute(message.get("Orders", []))
        return 200, self.report()

    def execute(self, orders):
        for order in orders:
            key = (order["Spoke"], order["Try"])
            task = self.tasks.get(key)
            if order["Verb"] == "run" and task is None:
                self.run(*key)
            elif order["Verb"] == "halt" and task and task.state != "ended":
                self.world.record(f"{self.name}: halt {task.name} try {task.attempt}")
                self.halt(task, order.get("RespiteS") or 0)
            elif order["Verb"] == "clear" and task and task.state == "ended":
                del self.tasks[key]
            self.changed.set()

    def used(self):
        live = [t.spec for t in self.tasks.values() if t.state != "ended"]
        return [sum(s[f] for s in live) for f in ("Cores", "Gpus", "MemoryGb")]

    def run(self, name, attempt):
        spec = self.world.description(name.rpartition("/")[0])
        task = Task(name, attempt, spec)
        refusal = None
        if spec is None:
            refusal = "unknown"
        elif any(t.name == name and t.state != "ended" for t in self.tasks.values()):
            refusal = "busy"
        else:
            frame = self.world.frames[self.frame]
            need = [u + spec[f] for u, f in zip(self.used(), ("Cores", "Gpus", "MemoryGb"))]
            if any(n > frame[f] + 1e-6
                   for n, f in zip(need, ("Cores", "Gpus", "MemoryGb"))):
                refusal = "full"
        self.tasks[(name, attempt)] = task
        if refusal:
            task.state, task.cause = "ended", refusal
            self.world.record(f"{self.name}: refused {name} try {attempt}: {refusal}")
            return
        task.runner = asyncio.create_task(self.run_task(task))

    async def run_task(self, task):
        if task.spec["Mould"] not in self.images:
            rate = self.world.frames[self.frame]["PullGbPerS"]
            await asyncio.sleep(task.spec["ImageGb"] / rate)
            self.images.add(task.spec["Mould"])
        task.state = "running"
        self.changed.set()
        self.world.task_started(self, task)
        run_s = self.world.run_s(self, task)
        if run_s is None:
            return
        await asyncio.sleep(run_s)
        self.end(task, "done")

    def halt(self, task, respite_s):
        saves = task.spec["NotchS"] > 0 and task.state == "running"
        if saves and respite_s >= task.spec["StashS"] and task.spec["StashS"] > 0:
            task.runner.cancel()
            task.state = "flushing"

            async def save():
                await asyncio.sleep(task.spec["StashS"])
                task.saved = True
                self.end(task, "stopped")
            task.runner = asyncio.create_task(save())
            return
        if task.runner:
            task.runner.cancel()
        self.end(task, "stopped")

    def end(self, task, cause):
        task.state, task.cause = "ended", cause
        self.changed.set()
        self.world.task_ended(self, task, cause)


class Cloud:
    """The cloud: `capacity` machines of one type and zone; boots take `boot_s`."""

    def __init__(self, world, frame, zone, capacity, boot_s):
        self.world, self.frame, self.zone = world, frame, zone
        self.capacity, self.boot_s = capacity, boot_s
        self.machines, self.hires, self.count = {}, {}, 0
        self.outage = False
        self.on_delete = []  # hooks(member, names), before the machines are gone
        self.servers = {}

    async def start(self, member):
        async def handler(method, path, query, body):
            return await self.handle(member, method, path, query, body)
        self.servers[member] = HttpServer(handler)
        return await self.servers[member].start("127.0.0.1")

    async def handle(self, member, method, path, query, body):
        await asyncio.sleep(0.02)
        if self.outage:
            if method == "POST":
                self.world.record(f"cloud: 503 trouble to {member}: {path} {body.decode()}")
            return 503, {"error": "trouble"}
        if path == "/machine_types":
            frame = dict(self.world.frames[self.frame], Label=self.frame, Yards=[self.zone])
            return 200, {"Frames": [frame]}
        if path == "/rentals" and method == "POST":
            return self.rent(member, json.loads(body))
        if path == "/rentals/delete":
            names = json.loads(body)["Millstones"]
            self.world.record(f"cloud: {member} returns {', '.join(names)}")
            for hook in self.on_delete:
                hook(member, names)
            for name in names:
                self.remove(name)
            return 200, {}
        if path == "/rentals":
            since, limit = query.get("Since", ""), int(query.get("Limit", 500))
            lag = self.world.cloud["list_lag_s"]
            now = time.monotonic()
            # Machines that are gone still appear for the lag, new ones don't appear yet.
            listed = [m for name, m in sorted(self.machines.items())
                      if name > since and now - m["rented"] > lag
                      and (m["gone"] is None or now - m["gone"] < lag)]
            page = [{"Ref": m["name"], "Endpoint": m["endpoint"], "Frame": self.frame,
                     "Yard": self.zone, "Driftwood": m["spot"],
                     "Stance": "running" if m["worker"] else "starting",
                     "HeldS": now - m["rented"]} for m in listed[:limit]]
            return 200, {"Millstones": page, "HasNext": len(listed) > limit}
        return 400, {"error": "malformed"}

    def rent(self, member, request):
        if request["Hire"] in self.hires:
            return 200, {"Millstones": self.hires[request["Hire"]]}
        rented = sum(m["gone"] is None for m in self.machines.values())
        count = min(request["HowMany"], self.capacity - rented, 50)
        if request["Frame"] != self.frame or request["Yard"] != self.zone \
                or request["Driftwood"] or count <= 0:
            return 503, {"error": "no capacity"}
        names = [self.add() for _ in range(count)]
        self.hires[request["Hire"]] = names
        self.world.record(f"cloud: {member} rents {', '.join(names)}")
        return 200, {"Millstones": names}

    def add(self, boot_s=None, spot=False):
        self.count += 1
        name = f"n-{self.count:06d}"
        host = self.world.machine_host(self.count)
        machine = {"name": name, "endpoint": f"{host}:9000", "spot": spot, "worker": None,
                   "rented": time.monotonic(), "gone": None}
        self.machines[name] = machine
        delay = self.boot_s if boot_s is None else boot_s

        async def boot():
            await asyncio.sleep(delay)
            if machine["gone"] is None:
                worker = Worker(self.world, name, host, self.frame, self.zone, spot)
                machine["worker"] = worker
                await worker.start()
                self.world.record(f"cloud: {name} is up at {host}")
        machine["boot"] = asyncio.create_task(boot())
        return name

    def remove(self, name):
        machine = self.machines.get(name)
        if machine and machine["gone"] is None:
            machine["gone"] = time.monotonic()
            machine["boot"].cancel()
            if machine["worker"]:
                machine["worker"].stop()
            self.world.record(f"cloud: {name} is gone")


# ---------------------------------------------------------------------------------------------
# Links between controllers

class Link:
    """A proxy from one controller to another. While it is cut, connections are reset."""

    def __init__(self, target):
        self.target, self.cut, self.writers = target, False, set()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        if self.cut:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, OSError):
                pass
            finally:
                sink.transport.abort()
        await asyncio.gather(pump(reader, far_writer), pump(far_reader, writer))
        self.writers -= {writer, far_writer}

    def set_cut(self, cut):
        self.cut = cut
        if cut:
            for writer in list(self.writers):
                writer.transport.abort()


# ---------------------------------------------------------------------------------------------
# Controllers

def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Controller:
    """One controller, started with the command of the deploy file."""

    def __init__(self, world, member):
        self.world, self.member = world, member
        self.public = f"127.0.0.1:{free_port()}"
        self.internal = f"127.0.0.1:{free_port()}"
        self.rollout = f"127.0.0.1:{free_port()}"
        self.activation = f"127.0.0.1:{free_port()}"
        self.peer_addresses = {}  # by member: a link of the stand-ins
        self.process = None
        self.log = None

    async def start(self):
        command = shlex.split(self.world.deploy["run"]) + [str(self.settings_file)]
        if self.operator_file:
            command += ["--operator", str(self.operator_file)]
        if self.log is None:
            self.log = open(self.world.folder / f"{self.member}.log", "ab")
        environment = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=REPOSITORY, stdout=self.log, stderr=self.log, env=environment)
        self.world.record(f"{self.member} started")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()
        self.world.record(f"{self.member} killed")


class World:
    """A deployment: controllers and stand-ins."""

    def __init__(self, case_folder, members=3, machines=2, spot_machines=0, capacity=4, boot_s=2.0, lease_s=11.0,
                 value_kb=8.0, txn_ops=24, frame=None, teams=None, zone="neihu-hall"):
        self.case = Path(case_folder)
        self.deploy = tomllib.loads((REPOSITORY / "deploy/service.toml").read_text())
        self.temporary = tempfile.TemporaryDirectory(prefix="review-2-")
        self.folder = Path(self.temporary.name)
        self.started = time.monotonic()
        self.record_file = open(self.case / "record.txt", "w")
        self.zone = zone
        self.frames = {"formosa64": frame or {
            "Cores": 64, "Gpus": 8, "MemoryGb": 256, "LocalGb": 400, "PullGbPerS": 4.6,
            "Hourly": 23.18, "LowPrice": 7.47, "ReadyS": 45}}
        self.workers = {"report_s": 1.0, "lease_s": lease_s, "gang_wait_s": 50.0,
                        "gang_peer_s": 8.0, "cancel_s": 36.0}
        self.cloud = {"rps": 8.0, "list_lag_s": 3.0}
        self.quota = {"core_share": 0.064, "mem_mb": 40.0, "fd_limit": 500}
        self.state_limits = {"rps": 150.0, "write_rps": 60.0, "value_kb": value_kb,
                             "txn_ops": txn_ops}
        self.teams = teams or [("jade-core", 40.0, 80.0), ("lotus-ops", 40.0, 80.0)]
        self.state = StateService(self.record, value_kb, txn_ops)
        self.provider = Cloud(self, "formosa64", zone, capacity, boot_s)
        self.links = {}  # (from, to) -> Link
        self.first_machines, self.first_spot_machines = machines, spot_machines
        self.controllers = [Controller(self, f"millstone-{i}") for i in range(members)]
        self.operator = None  # function(controller) -> text of the operators' file
        self.descriptions = {}
        self.network = f"127.{random.randint(60, 250)}.{random.randint(0, 255)}"
        self.started_jobs = []
        self.on_start = []  # hooks(worker, task)
        self.on_end = []  # hooks(worker, task, cause)
        self.run_time = lambda worker, task: (
            None if task.spec["Shape"] == "service" else task.spec["ReckonS"])
        self.background = []

    def record(self, text):
        self.record_file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.record_file.flush()

    def machine_host(self, number):
        return f"{self.network}.{number}"

    def description(self, job):
        """What users uploaded; for the jobs of replicas, what the service accepted as theirs."""
        if job in self.descriptions:
            return self.descriptions[job]
        entry = self.state.entries.get(f"sw/j/{job}")
        return entry[0] if entry else None

    def run_s(self, worker, task):
        return self.run_time(worker, task)

    def task_started(self, worker, task):
        self.record(f"{worker.name}: {task.name} try {task.attempt} runs ({task.spec['Mould']})")
        self.started_jobs.append(task.job)
        for hook in self.on_start:
            hook(worker, task)

    def task_ended(self, worker, task, cause):
        self.record(f"{worker.name}: {task.name} try {task.attempt} ended: {cause}")
        for hook in self.on_end:
            hook(worker, task, cause)

    def live_workers(self):
        return [m["worker"] for m in self.provider.machines.values()
                if m["worker"] and m["gone"] is None]

    def settings(self, controller):
        lines = [f'member = "{controller.member}"', f'zone = "{self.zone}"',
                 f'public_addr = "{controller.public}"',
                 f'internal_addr = "{controller.internal}"']
        for other in self.controllers:
            if other is not controller:
                lines += ["[[members]]", f'member = "{other.member}"', f'zone = "{self.zone}"',
                          f'endpoint = "{controller.peer_addresses[other.member]}"']
        lines += ["[services]", f'cloud = "127.0.0.1:{controller.cloud_port}"',
                  f'state = "127.0.0.1:{controller.state_port}"', "[cluster]",
                  f"size = {len(self.controllers)}", f'zones = ["{self.zone}"]',
                  "time_bound_ms = 1000.0"]
        for name, gpus, gpus_max in self.teams:
            lines += ["[[cluster.teams]]", f'name = "{name}"', "cpus = 0.0", "cpus_max = 0.0",
                      f"gpus = {gpus}", f"gpus_max = {gpus_max}"]
        for table, values in [("workers", self.workers), ("state", self.state_limits),
                              ("cloud", self.cloud),
                              ("quota", self.quota)]:
            lines += [f"[cluster.{table}]"] + [f"{k} = {v}" for k, v in values.items()]
        return "\n".join(lines) + "\n"

    async def start(self):
        self.background.append(asyncio.create_task(self.state.expire_leases()))
        for controller in self.controllers:
            controller.state_port = await self.state.start(controller.member)
            controller.cloud_port = await self.provider.start(controller.member)
            for other in self.controllers:
                if other is not controller:
                    link = Link(other.internal)
                    self.links[(controller.member, other.member)] = link
                    port = await link.start()
                    controller.peer_addresses[other.member] = f"127.0.0.1:{port}"
        for controller in self.controllers:
            controller.settings_file = self.folder / f"{controller.member}.toml"
            controller.settings_file.write_text(self.settings(controller))
            controller.operator_file = None
            if self.operator:
                controller.operator_file = self.folder / f"{controller.member}.ini"
                controller.operator_file.write_text(self.operator(controller))
        for _ in range(self.first_machines):
            self.provider.add(boot_s=0.0)
        for _ in range(self.first_spot_machines):
            self.provider.add(boot_s=0.0, spot=True)
        for controller in self.controllers:
            await controller.start()
        for controller in self.controllers:
            await self.until(lambda c=controller: self.is_up(c), 30, f"{controller.member} up")

    async def is_up(self, controller):
        return (await call(controller.public, "GET", "/up", timeout=1))[0] == 200

    async def until(self, condition, seconds, what, pause=0.1):
        """Waits until a condition holds. Raises CannotRun if it doesn't in time."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(pause)
        raise CannotRun(f"not within {seconds} s: {what}")

    async def submit(self, controller, spec):
        """Submits a job like a user: with retries of up to 60 s."""
        self.descriptions[spec["Ref"]] = spec
        deadline = time.monotonic() + 60
        while time.monotonic() < deadline:
            status, body = await call(controller.public, "POST", "/work", spec)
            self.record(f"user: submit {spec['Ref']} at {controller.member}: {status} {body}")
            if status in (200, 201, 400, 422):
                return status, body
            await asyncio.sleep(1)
        return 0, None

    def cut_from_state_and_peers(self, controller, cut):
        """Cuts a controller from the state service and the other controllers, or ends that."""
        self.record(f"{controller.member} {'loses' if cut else 'has'} the state service and the "
                    f"other controllers{'' if cut else ' again'}")
        if cut:
            self.state.cut_off(controller.member)
        else:
            self.state.reconnect(controller.member)
        for pair, link in self.links.items():
            if controller.member in pair:
                link.set_cut(cut)

    def leader(self):
        """The member that leads by the record of the state service."""
        entry = self.state.entries.get("sw/lead")
        text = json.dumps(entry[0]) if entry else ""
        return next((c for c in self.controllers if f'"{c.member}"' in text), None)

    async def stop(self):
        for controller in self.controllers:
            controller.signal(signal.SIGCONT)
            controller.signal(signal.SIGKILL)
        for controller in self.controllers:
            if controller.process:
                await controller.process.wait()
        for worker in self.live_workers():
            worker.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for log in self.folder.glob("*.log"):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        for task in self.background:
            task.cancel()
        self.record("all processes ended")
        self.temporary.cleanup()


class CannotRun(Exception):
    """The case could not be carried out."""


def job(number, team="jade-core", **fields):
    spec = {"Ref": f"j-{number:06d}", "Grain": "script-match", "Crew": team, "Shape": "batch",
            "Rank": "standard", "Spokes": 1, "Cores": 5.0, "Gpus": 1.0, "MemoryGb": 18.0,
            "Mould": "img-01", "ImageGb": 1.0, "Frames": None, "Yard": None, "Together": False,
            "Scatter": False, "Driftwood": False, "ReckonS": 10.0, "NotchS": 0.0, "StashS": 0.0,
            "DueS": None}
    spec.update(fields)
    return spec


def main(world_of, play, limit_s=112):
    """Plays a case. `play(world)` returns the list of violations. Exits with 1 if the rule was
    broken, 0 if it held, 2 if the case couldn't run."""
    async def run():
        world = world_of()
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        # The controllers are ended also if this process is told to end.
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            await world.start()
            world.record(f"trouble: {'on' if TROUBLE else 'off'}")
            violations = await asyncio.wait_for(play(world), limit_s)
            for violation in violations:
                world.record(f"VIOLATION: {violation}")
                print(violation)
            world.record(f"result: {'the rule was broken' if violations else 'the rule held'}")
            return 1 if violations else 0
        except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
            world.record(f"the case couldn't run: {error!r}")
            print(f"the case couldn't run: {error!r}", file=sys.stderr)
            return 2
        finally:
            await world.stop()

    code = asyncio.run(run())
    sys.exit(code)
