"""A stand-in for the state service: keys, transactions, leases, watches and outages."""

import asyncio
import bisect
import json
import time
from urllib.parse import parse_qs, urlsplit

from http11 import Server

KEPT_CHANGES = 10_000
MAX_ITEMS = 1_000


class StateService:
    def __init__(self, record, value_kb, txn_ops):
        self.record = record
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops
        self.revision = 0
        self.values = {}  # key -> (value, version, lease or None)
        self.changes = []  # (revision, "Put" or "Drop", key, value)
        self.leases = {}  # id -> (seconds, end)
        self.next_lease = 1
        self.out = False
        self.changed = asyncio.Event()
        # Called with the keys of each committed transaction before its answer leaves.
        self.on_commit = None
        self.server = Server(self.handle)
        self.port = None

    async def start(self):
        self.port = await self.server.start("127.0.0.1", 0)
        asyncio.get_running_loop().create_task(self._end_leases())

    def begin_outage(self):
        self.out = True
        self.record.write("state", "outage begins")

    def end_outage(self):
        now = time.monotonic()
        self.leases = {id: (life, now + life) for id, (life, _) in self.leases.items()}
        self.out = False
        self.record.write("state", "outage ends")
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _end_leases(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if not self.out:
                for id in [id for id, (_, end) in self.leases.items() if now >= end]:
                    self._end_lease(id)

    def _end_lease(self, id):
        del self.leases[id]
        keys = [key for key, (_, _, lease) in self.values.items() if lease == id]
        if keys:
            self.revision += 1
            for key in keys:
                self._drop(key)
            self._wake()

    def _drop(self, key):
        if self.values.pop(key, None):
            self.changes.append((self.revision, "Drop", key, None))
            del self.changes[:-KEPT_CHANGES]

    async def handle(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if self.out:
            return 503, {"error": "out"}
        path = url.path
        if method == "GET" and path == "/kv":
            return self.list(query)
        if method == "GET" and path.startswith("/kv/"):
            return self.get(path[len("/kv/"):])
        if method == "POST" and path == "/multi":
            return self.transact(json.loads(body))
        if method == "GET" and path == "/follow":
            return await self.follow(query)
        if method == "POST" and path == "/leases":
            life = json.loads(body)["LifeMs"] / 1000
            id, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[id] = (life, time.monotonic() + life)
            return 200, {"Tenure": id}
        if path.startswith("/leases/"):
            return self.lease_call(method, path[len("/leases/"):])
        return 400, {"error": "no such call"}

    def lease_call(self, method, rest):
        id = int(rest.split("/")[0])
        if id not in self.leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self._end_lease(id)
        else:
            life = self.leases[id][0]
            self.leases[id] = (life, time.monotonic() + life)
        return 200, {"Tenure": id}

    def get(self, key):
        if key not in self.values:
            return 404, {"Ledger": self.revision}
        value, version, lease = self.values[key]
        return 200, {"Key": key, "Value": value, "Stamp": version, "Tenure": lease}

    def list(self, query):
        prefix, since = query.get("Prefix", ""), query.get("Since", "")
        limit = min(int(query.get("Limit", MAX_ITEMS)), MAX_ITEMS)
        keys = sorted(key for key in self.values if key.startswith(prefix))
        keys = keys[bisect.bisect_right(keys, since):] if since else keys
        items = [{"Key": key, "Value": self.values[key][0], "Stamp": self.values[key][1]}
                 for key in keys[:limit]]
        return 200, {"Items": items, "HasNext": len(keys) > limit, "Ledger": self.revision}

    def transact(self, transaction):
        writes = transaction.get("Writes") or []
        conditions = transaction.get("When") or []
        if len(writes) > self.txn_ops or len(conditions) > 4 * self.txn_ops:
            return 400, {"error": "too many"}
        for write in writes:
            if "Put" in write:
                if len(json.dumps(write["Value"], separators=(",", ":"))) > self.value_bytes:
                    return 400, {"error": "value too large"}
                if write.get("Tenure") is not None and write["Tenure"] not in self.leases:
                    return 400, {"error": "no such lease"}
        failed = [c["Key"] for c in conditions if self._version(c["Key"]) != c["Stamp"]]
        if failed:
            return 409, {"failed": failed, "Ledger": self.revision}
        if writes:
            self.revision += 1
            for write in writes:
                if "Put" in write:
                    key, value = write["Put"], write["Value"]
                    self.values[key] = (value, self.revision, write.get("Tenure"))
                    self.changes.append((self.revision, "Put", key, value))
                    del self.changes[:-KEPT_CHANGES]
                else:
                    self._drop(write["Drop"])
            if self.on_commit:
                self.on_commit([w.get("Put") or w.get("Drop") for w in writes])
            # A watch that an outage overtakes waits, as the protocol says.
            if not self.out:
                self._wake()
        return 200, {"Ledger": self.revision}

    def _version(self, key):
        return self.values[key][1] if key in self.values else 0

    async def follow(self, query):
        prefix, since = query.get("Prefix", ""), int(query.get("Since", "0"))
        end = time.monotonic() + int(query.get("BlockMs", "0")) / 1000
        while True:
            if not self.out:
                if self.changes and len(self.changes) == KEPT_CHANGES \
                        and since < self.changes[0][0]:
                    return 410, {"error": "too old"}
                news = [self._event(change) for change in self.changes
                        if change[0] > since and change[2].startswith(prefix)]
                if news or time.monotonic() >= end:
                    return 200, {"Ledger": self.revision, "News": news}
            left = max(end - time.monotonic(), 0.01) if not self.out else None
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    @staticmethod
    def _event(change):
        revision, kind, key, value = change
        event = {kind: key, "Stamp": revision}
        if kind == "Put":
            event["Value"] = value
        return event
