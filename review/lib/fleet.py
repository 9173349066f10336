"""Runs a small fleet of chicoryfordd processes on loopback addresses, with stand-ins.

The stand-ins speak the platform's published protocol: samplers with heartbeats, a
consumer and an operator. Only the Python standard library is used. Times are
seconds of the monotonic clock since the start of the run.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.path.join(ROOT, "target", "release", "chicoryfordd")
LINK_PORT, ENTRY_PORT, CONTROL_PORT, READY_PORT = 7720, 8161, 8166, 8167
METRICS_PORT, SAMPLER_PORT = 9464, 8080
ZONES = ["ston", "novigrad", "split-port", "zadar-hub"]
START = time.monotonic()

# Bounds of the installation that the settings describe.
CONTACT_S = 3.0
CATCH_UP_S = 4.2
RECOVERY_S = 12.0
GRACE_S = 8.0
DRAIN_S = 2.0
BEAT_S = 1.2


class CannotRun(Exception):
    """The case could not be set up."""


def now():
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")

    def __call__(self, event, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now():8.3f} {event} {text}".rstrip() + "\n")
        self.file.flush()


# HTTP ---------------------------------------------------------------------------


async def read_message(reader):
    """Reads a request or a reply: the start line, the headers and the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += piece[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


async def call(address, method, path, body=b"", headers=None, limit=1.0):
    """Makes one call on a new connection. Returns status, headers and body, or None."""
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
    fields = {"Host": f"{address[0]}:{address[1]}", "Content-Length": str(len(body))}
    fields.update(headers or {})
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items())

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(head.encode() + b"\r\n" + body)
            await writer.drain()
            line, got, content = await read_message(reader)
            return int(line.split()[1]), got, content
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


# The system ----------------------------------------------------------------------


class Node:
    """One process of the system."""

    def __init__(self, fleet, kind, number):
        self.fleet, self.kind, self.number = fleet, kind, number
        self.name = f"{kind}-{number}"
        self.ip = f"127.{fleet.net}.{ {'core': 1, 'store': 2, 'entry': 3}[kind] }.{number}"
        self.zone = ZONES[(number - 1) % len(ZONES)]
        self.folder = os.path.join(fleet.folder, self.name)
        self.child, self.first, self.started_at = None, True, None

    def settings(self):
        fleet = self.fleet
        seeds = ", ".join(f'"{core.ip}:{CONTROL_PORT}"' for core in fleet.cores[:3])
        lines = [
            f"node: {self.name}", f"ip: {self.ip}", f"data_centre: {self.zone}",
            f"link_port: {LINK_PORT}", f"seeds: [{seeds}]",
            f"first_start: {'true' if self.first else 'false'}",
        ]
        if self.kind != "entry":
            lines.append(f'data: "{self.folder}"')
        if self.kind == "entry":
            lines += [f'entry: "{self.ip}:{ENTRY_PORT}"', f'ready: "{self.ip}:{READY_PORT}"']
        if self.kind == "core":
            lines.append(f'control: "{self.ip}:{CONTROL_PORT}"')
        lines += [
            f'metrics: "{self.ip}:{METRICS_PORT}"', "tolerated: 1", "grace_ms: 8000",
            "lease_ms: 3000", f"fenced: {'true' if fleet.fenced else 'false'}",
            "duties: []", "keep_s: 120",
        ]
        return "\n".join(lines) + "\n"

    def start(self):
        path = os.path.join(self.fleet.folder, f"{self.name}.yaml")
        with open(path, "w") as file:
            file.write(self.settings())
        if self.kind != "entry":
            os.makedirs(self.folder, exist_ok=True)
        self.first = False
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab")
        self.child = subprocess.Popen([BINARY, "--node", path], stdin=subprocess.DEVNULL,
                                      stdout=log, stderr=log, cwd=self.fleet.folder)
        self.started_at = now()
        self.fleet.record("start", node=self.name, pid=self.child.pid)

    def signal(self, number):
        self.fleet.record("signal", node=self.name, signal=signal.Signals(number).name)
        self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    def log_text(self):
        with open(os.path.join(self.fleet.folder, f"{self.name}.log"), errors="replace") as file:
            return file.read()


class Fleet:
    """The processes of the system, in a loopback network of their own."""

    def __init__(self, record, cores=3, stores=2, entries=1, fenced=True):
        if not os.access(BINARY, os.X_OK):
            raise CannotRun(f"{BINARY} is missing: build the release first")
        self.record, self.fenced = record, fenced
        self.folder = tempfile.mkdtemp(prefix="chicoryford-review-")
        self.net = self.free_network()
        self.cores = [Node(self, "core", n + 1) for n in range(cores)]
        self.stores = [Node(self, "store", n + 1) for n in range(stores)]
        self.entries = [Node(self, "entry", n + 1) for n in range(entries)]

    def free_network(self):
        nets = list(range(30, 220))
        random.shuffle(nets)
        for net in nets:
            try:
                for port in (LINK_PORT, CONTROL_PORT, METRICS_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"127.{net}.1.1", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback network")

    @property
    def nodes(self):
        return self.cores + self.stores + self.entries

    def controls(self):
        return [(core.ip, CONTROL_PORT) for core in self.cores]

    def start(self):
        for node in self.nodes:
            node.start()

    def add_core(self):
        """Adds an empty control process at a new address."""
        node = Node(self, "core", len(self.cores) + 1)
        node.first = False
        self.cores.append(node)
        node.start()
        return node

    def check_alive(self):
        for node in self.nodes:
            if node.child.poll() is not None:
                raise CannotRun(f"{node.name} ended by itself: {node.child.returncode}")

    def stop(self):
        for node in self.nodes:
            if node.child and node.child.poll() is None:
                node.child.kill()
                node.child.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs are in", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def operator(self, method, path, body=b"", limit=15.0, until=(200,)):
        """Calls any control process, and the next one until it answers with `until`."""
        deadline, turn = now() + limit, 0
        while now() < deadline:
            address = self.controls()[turn % len(self.cores)]
            turn += 1
            answer = await call(address, method, path, body)
            if answer and (answer[0] in until or 400 <= answer[0] < 500):
                self.record("operator", call=f"{method} {path}", status=answer[0])
                return answer
            await asyncio.sleep(0.1)
        raise CannotRun(f"no answer to {method} {path}")


# Samplers ------------------------------------------------------------------------


class Sampler:
    """An application sampler: heartbeats, and requests that take `work_s` seconds."""

    def __init__(self, fleet, name, service, number, zone, work_s=0.03, slots=6):
        self.fleet, self.name, self.service, self.zone = fleet, name, service, zone
        self.address = (f"127.{fleet.net}.5.{number}", SAMPLER_PORT)
        self.work_s, self.slots = work_s, slots
        self.sequence, self.running, self.beating = 0, 0, True
        self.arrivals = []
        self.control, self.server, self.tasks = None, None, set()

    def state(self):
        self.sequence += 1
        return {
            "Service": self.service, "Address": f"{self.address[0]}:{self.address[1]}",
            "Zone": self.zone, "Version": "v1", "Slots": self.slots, "State": "ready",
            "ColdRemainingMs": 0, "Sequence": self.sequence,
        }

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while self.beating:
            await self.announce(self.state())
            await asyncio.sleep(BEAT_S)

    async def announce(self, state):
        """Sends a heartbeat to the usual node, and to the next ones until one answers."""
        others = self.fleet.controls()
        random.shuffle(others)
        for address in ([self.control] if self.control else []) + others:
            answer = await call(address, "PUT", f"/instances/{self.name}", state)
            if answer and answer[0] == 200:
                told = json.loads(answer[2] or b"{}").get("HeartbeatAddress")
                if told:
                    host, port = told.rsplit(":", 1)
                    self.control = (host, int(port))
                return answer
            self.control = None
        return None

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                line, headers, body = await read_message(reader)
                reply = await self.handle(line, headers, body)
                writer.write(reply)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass  # The sampler exits.
        finally:
            self.tasks.discard(task)
            writer.close()

    async def handle(self, line, headers, body):
        request = headers.get("x-attempt-id", "")
        wanted = headers.get("x-expected-instance")
        if wanted and wanted != self.name:
            return self.reply("421 Misdirected Request", request)
        if line.startswith("GET"):
            return self.reply("200 OK", request)
        self.arrivals.append((now(), request))
        self.fleet.record("run", sampler=self.name, request=request)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        return self.reply("200 OK", request, b"done", f"mac-{self.name}-{request}")

    def reply(self, status, request, body=b"", stamp=None, refused=False):
        lines = [f"HTTP/1.1 {status}", f"X-Attempt-Id: {request}",
                 f"X-Instance-Id: {self.name}", f"Content-Length: {len(body)}"]
        if stamp:
            lines.append(f"X-Response-Stamp: {stamp}")
        if refused:
            lines.append("X-Not-Executed: 1")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def exit(self):
        """Ends the sampler: it accepts nothing more, and what it runs is lost."""
        self.beating = False
        self.server.close()
        if getattr(self, "loading", None):
            self.loading.cancel()
        for task in list(self.tasks):
            task.cancel()


class Engine(Sampler):
    """A model sampler: streams the events of a run, one each `step_s` seconds.

    The data of an event names its number, the version that made it, and the run.
    """

    runs = 0

    def __init__(self, fleet, name, service, number, zone, model="daka51", events=10,
                 step_s=0.04, slots=8, version=1):
        super().__init__(fleet, name, service, number, zone, slots=slots)
        self.model, self.events, self.step_s, self.version = model, events, step_s, version
        self.orders, self.loading = 0, None

    def state(self):
        models = [{"Name": self.model, "Version": self.version, "Adapters": []}]
        return {**super().state(), "Stage": "both", "Models": models}

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                line, headers, body = await read_message(reader)
                request = headers.get("x-attempt-id", "")
                wanted = headers.get("x-expected-instance")
                version = headers.get("x-expected-version", str(self.version))
                if (wanted and wanted != self.name) or version != str(self.version):
                    writer.write(self.reply("421 Misdirected Request", request))
                elif line.startswith("GET"):
                    writer.write(self.reply("200 OK", request, json.dumps(self.report()).encode()))
                elif line.split()[1] == "/order":
                    writer.write(self.order(json.loads(body)))
                elif self.loading:
                    writer.write(self.reply("503 Service Unavailable", request, refused=True))
                else:
                    await self.run(writer, request, int(headers.get("last-event-id") or 0))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass  # The sampler exits.
        finally:
            self.tasks.discard(task)
            writer.close()

    def report(self):
        models = [{"Name": self.model, "Version": self.version, "Adapters": []}]
        return {"Stage": "both", "Models": models, "Busy": bool(self.loading),
                "Sequence": self.orders, "Waiting": 0, "Running": self.running,
                "KvCacheUsed": 0, "KvCacheTotal": 90000, "Handles": 0}

    def order(self, order):
        """Takes an order to change the version, which waits for the runs if it says so."""
        self.fleet.record("order", sampler=self.name, version=order["Version"],
                          mode=order["SwitchMode"], holder=order["Holder"])
        if order["Version"] == self.version:
            return self.reply("200 OK", "")
        if self.loading or order.get("Precondition", self.orders) != self.orders:
            return self.reply("409 Conflict", "")
        self.orders += 1
        self.loading = asyncio.create_task(self.load(order["Version"], order["SwitchMode"]))
        return self.reply("202 Accepted", "")

    async def load(self, version, mode):
        while mode == "wait" and self.running:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.9)
        self.version, self.loading = version, None

    async def run(self, writer, request, after):
        Engine.runs += 1
        run = Engine.runs
        self.arrivals.append((now(), request))
        self.fleet.record("run", sampler=self.name, request=request, run=run, after=after,
                          version=self.version)
        self.running += 1
        try:
            writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                          f"X-Attempt-Id: {request}\r\nX-Weight-Versions: {self.version}\r\n"
                          f"X-Response-Stamp: mac-{self.name}-{request}\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n").encode())
            shown = self.version
            for number in range(after + 1, self.events + 1):
                await asyncio.sleep(self.step_s)
                event = f"id: {number}\ndata: {number}:v{self.version}:run{run}\n\n"
                if self.version != shown:
                    event, shown = f"x-weight-versions: {self.version}\n" + event, self.version
                event = event.encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


def manifest(version, routes, services):
    return {
        "Version": version, "Routes": routes, "Services": services,
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    }


def run(case, record_path):
    """Runs a case: a coroutine function that returns whether the rule held.

    Whatever else ends it, an error in the script too, means that the case could not run.
    """
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("begin", trouble=trouble)
    # The processes are ended also when the script is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        held = asyncio.run(asyncio.wait_for(case(record, trouble), 110))
    except Exception as error:
        record("cannot_run", why=repr(error))
        print("cannot run:", repr(error))
        return 2
    except (KeyboardInterrupt, SystemExit):
        record("cannot_run", why="ended by a signal")
        return 2
    record("end", held=held)
    print("the rule held" if held else "the rule was broken")
    return 0 if held else 1
