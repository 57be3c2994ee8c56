"""A stand-in for the cloud: machine types, rentals, deletions and a machine list that lags."""

import asyncio
import json
import time
from urllib.parse import parse_qs, urlsplit

from http11 import Server
from worker import Worker

# Here machines are up soon after the request, as the protocol says of some.
BOOT_S = 1.5


class Machine:
    def __init__(self, worker):
        self.worker = worker
        self.created_at = time.monotonic()
        self.running_at = None
        self.gone_at = None


class Cloud:
    """`capacity` maps (type, spot) to the number of machines that there are; none means zero."""

    def __init__(self, fleet, types, capacity, list_lag_s, hosts=None):
        self.fleet, self.record = fleet, fleet.record
        self.types = {t["Label"]: t for t in types}
        self.capacity = dict(capacity)
        self.list_lag_s = list_lag_s
        self.hosts = hosts or (lambda index: "127.0.0.1")
        self.machines = {}
        self.hires = {}
        self.count = 0
        self.server = Server(self.handle)
        self.port = None

    async def start(self):
        self.port = await self.server.start("127.0.0.1", 0)

    def running_workers(self):
        return [m.worker for m in self.machines.values() if m.running_at and not m.gone_at]

    async def handle(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if method == "GET" and url.path == "/machine_types":
            return 200, {"Frames": list(self.types.values())}
        if method == "POST" and url.path == "/rentals":
            return await self.rent(json.loads(body))
        if method == "POST" and url.path == "/rentals/delete":
            for name in json.loads(body)["Millstones"]:
                self.remove(name, "deleted")
            return 200, {}
        if method == "GET" and url.path == "/rentals":
            return self.list(query)
        return 400, {"error": "no such call"}

    async def rent(self, request):
        hire = request["Hire"]
        if hire in self.hires:
            return 200, {"Millstones": self.hires[hire]}
        frame = self.types.get(request["Frame"])
        if not frame or request["Yard"] not in frame["Yards"]:
            return 400, {"error": "malformed"}
        kind = (request["Frame"], request["Driftwood"])
        used = sum(1 for m in self.machines.values() if not m.gone_at
                   and (m.worker.frame["Label"], m.worker.spot) == kind)
        count = min(request["HowMany"], self.capacity.get(kind, 0) - used)
        if count <= 0:
            return 503, {"error": "no capacity"}
        names = []
        for _ in range(count):
            self.count += 1
            name = f"n-{self.count:06d}"
            worker = Worker(self.fleet, name, frame, request["Yard"], request["Driftwood"],
                            self.hosts(self.count))
            await worker.listen()
            self.machines[name] = Machine(worker)
            asyncio.get_running_loop().call_later(BOOT_S, self._boot, name)
            names.append(name)
        self.hires[hire] = names
        self.record.write("cloud", "rented", hire=hire, machines=names, spot=request["Driftwood"])
        return 200, {"Millstones": names}

    def _boot(self, name):
        machine = self.machines[name]
        if not machine.gone_at:
            machine.running_at = time.monotonic()
            machine.worker.begin()

    def remove(self, name, why):
        machine = self.machines.get(name)
        if machine and not machine.gone_at:
            machine.gone_at = time.monotonic()
            self.record.write("cloud", f"{name} is {why}")
            machine.worker.end(why)

    def list(self, query):
        as_of = time.monotonic() - self.list_lag_s
        since, limit = query.get("Since", ""), min(int(query.get("Limit", 500)), 500)
        listed = []
        for name, machine in sorted(self.machines.items()):
            if name <= since or machine.created_at > as_of:
                continue
            if machine.gone_at and machine.gone_at <= as_of:
                continue
            worker = machine.worker
            running = machine.running_at and machine.running_at <= as_of
            listed.append({"Ref": name, "Endpoint": worker.endpoint,
                           "Frame": worker.frame["Label"], "Yard": worker.zone,
                           "Driftwood": worker.spot,
                           "Stance": "running" if running else "starting",
                           "HeldS": as_of - machine.created_at})
        return 200, {"Millstones": listed[:limit], "HasNext": len(listed) > limit}
