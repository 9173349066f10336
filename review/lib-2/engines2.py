"""Stand-ins of a model sampler, of a scorer and of a trainer, for the cases with batch jobs."""

import asyncio
import base64
import json
import random

import fleet2
from fleet2 import HOST
from fleet2 import Sampler

MODEL = "model-a"
LENGTH = 12


def piece(item, number):
    """Returns the data of an event of an item; the first has number 1."""
    return f"{item}.{number}"


class Engine(Sampler):
    """A model sampler: streams the events of items, reports, and carries out orders."""

    def __init__(self, fleet, service="llm", event_s=0.04, slots=8, load_s=0.9):
        super().__init__(fleet, service, slots=slots)
        self.event_s, self.load_s = event_s, load_s
        self.version = 1
        self.accepted = 0
        self.fence = 0
        self.busy = False
        self.orders = []
        self.running = 0
        self.made = {}
        self.length = lambda item: LENGTH

    def announcement(self):
        return {**super().announcement(), "Stage": "both", "Models": self.models()}

    def models(self):
        return [{"Name": MODEL, "Version": self.version, "Adapters": []}]

    async def answer(self, first, headers, body, reader, writer):
        if headers.get("x-expected-instance", self.id) != self.id:
            self.write(writer, 421, {"X-Attempt-Id": headers.get("x-attempt-id", ""), "X-Not-Executed": "1"}, b"")
        elif first.startswith("GET /report"):
            report = {
                "Stage": "both", "Models": self.models(), "Busy": self.busy, "Sequence": self.accepted, "Waiting": 0,
                "Running": self.running, "KvCacheUsed": 0, "KvCacheTotal": 48265, "Handles": 0,
            }
            self.write(writer, 200, {"Content-Type": "application/json"}, json.dumps(report).encode())
        elif first.startswith("POST /order"):
            self.write(writer, self.take_order(json.loads(body)), {}, b"")
        elif "x-attempt-id" in headers:
            return await self.stream(headers, writer)
        else:
            self.write(writer, 400, {"X-Not-Executed": "1"}, b"")
        await writer.drain()
        return True

    def take_order(self, order):
        self.orders.append((self.record.now(), order["Holder"], order["FencingToken"], order["Version"]))
        self.record.write(f"{self.id} order {order['Version']} of {order['Holder']}, fence {order['FencingToken']}")
        if self.fleet.fenced and order["FencingToken"] < self.fence:
            return 412
        self.fence = max(self.fence, order["FencingToken"])
        if order["Version"] <= self.version:
            return 200
        if self.busy or order.get("Precondition", self.accepted) != self.accepted:
            return 409
        self.accepted += 1
        self.busy = True
        asyncio.get_running_loop().call_later(self.load_s, self.loaded, order["Version"])
        return 202

    def loaded(self, version):
        self.version, self.busy = version, False

    async def stream(self, headers, writer):
        item = headers["x-attempt-id"]
        echo = {"X-Attempt-Id": item}
        if int(headers.get("x-expected-version", self.version)) != self.version:
            self.write(writer, 421, {**echo, "X-Not-Executed": "1"}, b"")
            await writer.drain()
            return True
        if self.busy or self.running >= self.slots:
            self.write(writer, 503, {**echo, "X-Not-Executed": "1"}, b"")
            await writer.drain()
            return True
        after = int(headers.get("last-event-id", 0))
        self.runs.append((self.record.now(), item))
        self.record.write(f"{self.id} runs item {item} after {after}")
        self.running += 1
        try:
            head = {
                **echo, "X-Response-Stamp": "%08x" % random.getrandbits(32), "X-Weight-Versions": self.version,
                "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
            }
            lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in head.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            version = self.version
            for number in range(after + 1, self.length(item) + 1):
                await asyncio.sleep(self.event_s)
                change = f"x-weight-versions: {self.version}\n" if self.version != version else ""
                version = self.version
                self.made.setdefault(item, {}).setdefault(number, []).append((self.record.now(), version))
                event = f"{change}id: {number}\ndata: {piece(item, number)}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            self.running -= 1


def lot_routes(desk="desk", llm="llm", age_s=40.0):
    """Returns the routes of batch jobs and of their reward calls, and the services."""
    routes = [
        {"Name": "r-lot", "Host": HOST, "PathPrefix": "/lot/", "Kind": "rollout", "TimeoutMs": 10000,
         "TargetLatencyMs": 400, "Priority": 1, "Service": llm, "MaxAttempts": 3, "ResultDeadlineMs": 7500,
         "MaxAgeS": age_s},
        {"Name": "r-score", "Host": HOST, "PathPrefix": "/score/", "Kind": "idempotent", "TimeoutMs": 1500,
         "TargetLatencyMs": 150, "Priority": 2, "Service": desk, "MaxAttempts": 4},
    ]
    engine = {"Slots": 8, "KvCacheTokens": 48265, "KvBytes": 163840, "LinkMbps": 5900000.0, "Models": [{"Name": MODEL}]}
    services = [
        {"Name": llm, "HealthPath": "/health", "MaxConnections": 150, "Protocol": "h1", "Tls": False, "Engine": engine},
        {"Name": desk, "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": False},
    ]
    return routes, services


class Lot:
    """A batch job of a trainer."""

    def __init__(self, fleet, step=0, groups=6, size=4, min_version=1, items=None):
        self.fleet, self.record = fleet, fleet.record
        self.id = "%016x" % random.getrandbits(64)
        self.groups = groups
        self.items = items or [
            {"Id": "%016x" % random.getrandbits(64), "Group": f"g{self.id[:6]}{number // size}",
             "Scorer": "%016x" % random.getrandbits(64)}
            for number in range(groups * size)
        ]
        self.body = {
            "Step": step, "Model": MODEL, "MinVersion": min_version, "GroupCount": groups,
            "Items": [self.item(one) for one in self.items],
        }
        self.results = []
        self.key = None
        self.nodes = fleet.entries
        self.entry = random.randrange(len(fleet.entries))

    def item(self, one):
        text = base64.b64encode(one["Id"].encode()).decode()
        return {
            "Id": one["Id"], "Path": f"/lot/{one['Id']}", "Body": text, "Tokens": 271, "Group": one["Group"],
            "Headers": {"X-Model": MODEL, "X-Token-Count": "255,16", "X-Prompt-Prefix": "ab:255"},
            "Scorer": {"Id": one["Scorer"], "Host": HOST, "Path": f"/score/{one['Scorer']}", "Body": text},
        }

    async def call(self, method, path, headers, body, limit):
        self.entry += 1
        if self.key is not None:
            headers = {**headers, "Authorization": f"Bearer {self.key}"}
        node = self.nodes[self.entry % len(self.nodes)]
        try:
            return await fleet2.call(
                (node.ip, self.fleet.entry_port), method, path, {"Host": HOST, **headers}, body, limit)
        except (OSError, EOFError, asyncio.TimeoutError):
            return 0, {}, b""

    async def submit(self, tries=20):
        body = json.dumps(self.body).encode()
        headers = {"X-Attempt-Id": self.id, "Content-Type": "application/json"}
        for _ in range(tries):
            status, _, _ = await self.call("POST", f"/lot/{self.id}", headers, body, 3.0)
            self.record.write(f"lot {self.id} submitted: {status}")
            if status == 202:
                return True
            await asyncio.sleep(0.3)
        return False

    async def read(self, wait_ms=1000):
        """Reads once from the next position. Returns the status."""
        path = f"/lots/{self.id}?After={len(self.results)}"
        status, _, body = await self.call("GET", path, {"X-Wait-Ms": wait_ms}, b"", wait_ms / 1000 + 1.5)
        if status == 200:
            more = json.loads(body)["Results"]
            self.results += more
        return status

    async def end(self):
        for _ in range(20):
            status, _, _ = await self.call("DELETE", f"/lots/{self.id}", {}, b"", 2.5)
            if status == 200:
                self.record.write(f"lot {self.id} ended")
                return self.record.now()
            await asyncio.sleep(0.2)
        return None


async def name_version(fleet, version, tries=20):
    """Names a version as a trainer does. Returns whether it was acknowledged."""
    body = json.dumps({"Model": MODEL, "Version": version}).encode()
    for number in range(tries):
        controls = fleet.controls()
        try:
            status, _, _ = await fleet2.call(controls[number % len(controls)], "POST", "/version-put", {}, body, 1.0)
        except (OSError, EOFError, asyncio.TimeoutError):
            status = 0
        if 200 <= status < 300:
            fleet.record.write(f"version {version} acknowledged")
            return True
        await asyncio.sleep(0.2)
    return False
