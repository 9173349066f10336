"""A small fleet on loopback addresses, with stand-ins for samplers, consumers and the operator.

The programs are the project's own, started with the commands of deploy/system.toml. The settings are those that
platform/settings.yaml.template yields for the site jsz-dalmacija, with loopback addresses. Nothing here decides
whether a rule was broken; the cases do.
"""

import asyncio
import itertools
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

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "chicoryfordd")
HOST = "desk.example"
CONTACT_S = 3.0


class CannotRun(Exception):
    """The case could not run; this says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_network(ports):
    """Returns a /24 of the loopback range in which these ports are free on the first address."""
    for _ in range(200):
        net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            for port in ports:
                with socket.socket() as one:
                    one.bind((f"{net}.1", port))
        except OSError:
            continue
        return net
    raise CannotRun("no free loopback network")


class Node:
    """One process of the fleet."""

    def __init__(self, fleet, name, role, ip, zone):
        self.fleet, self.name, self.role, self.ip, self.zone = fleet, name, role, ip, zone
        self.child = None
        self.first = True

    def settings(self):
        f = self.fleet
        seeds = ", ".join(f'"{ip}:{f.control_port}"' for ip in f.control_ips[:3])
        lines = [
            f"node: {self.name}", f"ip: {self.ip}", f"data_centre: {self.zone}", f"link_port: {f.link_port}",
            f"seeds: [{seeds}]", f"first_start: {str(self.first).lower()}",
        ]
        if self.role != "frontend":
            lines.append(f'data: "{os.path.join(f.folder, self.name)}"')
        if self.role == "frontend":
            lines += [f'entry: "{self.ip}:{f.entry_port}"', f'ready: "{self.ip}:{f.ready_port}"']
        if self.role == "core":
            lines.append(f'control: "{self.ip}:{f.control_port}"')
        memory = {"frontend": 260, "core": 256, "storage": 270}[self.role]
        descriptors = {"frontend": 4100, "core": 4096, "storage": 8200}[self.role]
        lines += [
            f'metrics: "{self.ip}:{f.metrics_port}"', "tolerated: 1", "grace_ms: 8000", "lease_ms: 3000",
        ]
        if f.fenced:
            lines.append("fenced: true")
        lines += [
            "duties: []", "keep_s: 120", f"memory_mb: {memory}", f"descriptors: {descriptors}", "policy:",
            "  engine_speeds: true", "  paced_scorers: true", "  connect_fallback: true",
            "  shared_reachability: true", "  overload_protection: true", "second_attempts:", "  share: 0.2",
        ]
        return "\n".join(lines) + "\n"

    def start(self):
        path = os.path.join(self.fleet.folder, f"{self.name}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        if self.role != "frontend":
            os.makedirs(os.path.join(self.fleet.folder, self.name), exist_ok=True)
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "a", encoding="utf-8")
        self.child = subprocess.Popen(
            [PROGRAM, "--node", path], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.first = False
        self.fleet.record.write(f"{self.name} started")

    def signal(self, number):
        self.child.send_signal(number)
        self.fleet.record.write(f"{self.name} got {signal.Signals(number).name}")

    def kill(self):
        if self.child is not None:
            self.child.kill()
            self.child.wait()
            self.child = None
            self.fleet.record.write(f"{self.name} killed")


class Fleet:
    """Three control processes, three stores and two entries, as a small deployment has them."""

    def __init__(self, record, cores=3, stores=3, entries=2, fenced=True):
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"{PROGRAM} is not built")
        self.record, self.fenced = record, fenced
        base = random.randint(20000, 27000)
        (self.link_port, self.entry_port, self.ready_port, self.control_port, self.metrics_port,
         self.app_port) = range(base, base + 6)
        self.net = free_network(range(base, base + 6))
        self.folder = tempfile.mkdtemp(prefix="review-")
        zones = ["ston", "novigrad", "split-port", "zadar-hub"]
        ips = (f"{self.net}.{number}" for number in itertools.count(1))
        plan = [("core", cores), ("storage", stores), ("frontend", entries)]
        self.nodes = []
        for role, count in plan:
            for number in range(count):
                zone = zones[number % 4]
                self.nodes.append(Node(self, f"{role}-{zone}-{number + 1}", role, next(ips), zone))
        self.control_ips = [node.ip for node in self.nodes if node.role == "core"]
        self.cores = [node for node in self.nodes if node.role == "core"]
        self.stores = [node for node in self.nodes if node.role == "storage"]
        self.entries = [node for node in self.nodes if node.role == "frontend"]
        self.next_ip = 100

    def app_ip(self):
        self.next_ip += 1
        return f"{self.net}.{self.next_ip}"

    def controls(self):
        return [(ip, self.control_port) for ip in self.control_ips]

    def start(self):
        for node in self.nodes:
            node.start()

    def stop(self):
        for node in self.nodes:
            try:
                if node.child is not None:
                    node.child.send_signal(signal.SIGCONT)
            except OSError:
                pass
            node.kill()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def configure(self, manifest, limit=25.0):
        """Sends a manifest as the operator does, until it is acknowledged."""
        until = time.monotonic() + limit
        body = json.dumps(manifest).encode()
        for address in itertools.cycle(self.controls()):
            if time.monotonic() > until:
                raise CannotRun("no manifest was acknowledged")
            try:
                status, _, _ = await call(address, "PUT", "/configuration", {}, body, 1.0)
            except (OSError, EOFError, asyncio.TimeoutError):
                status = 0
            if status == 200:
                self.record.write(f"manifest {manifest['Version']} acknowledged")
                return
            await asyncio.sleep(0.1)

    async def wait_ready(self, limit=20.0):
        until = time.monotonic() + limit
        for node in self.entries:
            while True:
                try:
                    status, _, _ = await call((node.ip, self.ready_port), "GET", "/readiness", {}, b"", 1.0)
                    if status == 200:
                        break
                except (OSError, EOFError, asyncio.TimeoutError):
                    pass
                if time.monotonic() > until:
                    raise CannotRun(f"{node.name} is not ready")
                await asyncio.sleep(0.1)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_close):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


async def call(address, method, path, headers, body, limit):
    """Makes one call on a channel of its own. Returns status, headers and body."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in {"Host": "control", **headers}.items()]
            lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            first, answered = await read_head(reader)
            status = int(first.split()[1])
            return status, answered, await read_body(reader, answered, True)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), limit)
    except asyncio.IncompleteReadError as error:
        raise EOFError("the channel ended") from error


class Sampler:
    """A sampler of a plain service. It runs what it is sent, and announces itself."""

    def __init__(self, fleet, service, work_s=0.025, slots=6, zone="ston"):
        self.fleet, self.record = fleet, fleet.record
        self.service, self.work_s, self.slots, self.zone = service, work_s, slots, zone
        self.id = "i-%08x" % random.getrandbits(32)
        self.ip = fleet.app_ip()
        self.sequence = 0
        self.state = "ready"
        self.beating = None
        self.server = None
        self.runs = []
        self.writers = set()
        self.at = random.randrange(len(fleet.controls()))
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.fleet.app_port)
        self.beating = asyncio.create_task(self.beat())

    def announcement(self):
        self.sequence += 1
        return {
            "Service": self.service, "Address": f"{self.ip}:{self.fleet.app_port}", "Zone": self.zone,
            "Version": "v1", "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0,
            "Sequence": self.sequence,
        }

    async def tell(self, method, body, limit=1.0):
        """Makes one call to control; the next node is called if this one does not acknowledge it."""
        controls = self.fleet.controls()
        address = self.address or controls[self.at % len(controls)]
        try:
            status, _, answer = await call(address, method, f"/instances/{self.id}", {}, body, limit)
        except (OSError, EOFError, asyncio.TimeoutError):
            status, answer = 0, b""
        if 200 <= status < 300:
            if method == "PUT":
                named = json.loads(answer or b"{}").get("HeartbeatAddress")
                if named:
                    host, _, port = named.partition(":")
                    self.address = (host, int(port))
            return True
        self.address = None
        self.at += 1
        return False

    async def beat(self):
        while True:
            body = json.dumps(self.announcement()).encode()
            acknowledged = await self.tell("PUT", body)
            await asyncio.sleep(random.uniform(1.1, 1.3) if acknowledged else 0.2)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers, False)
                if not await self.answer(first, headers, body, reader, writer):
                    return
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass  # The caller has left, or the script ends.
        finally:
            self.writers.discard(writer)
            writer.close()

    def write(self, writer, status, headers, body):
        lines = [f"HTTP/1.1 {status} Any"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def answer(self, first, headers, body, reader, writer):
        attempt = headers.get("x-attempt-id", "")
        echo = {"X-Attempt-Id": attempt}
        if headers.get("x-expected-instance", self.id) != self.id:
            self.write(writer, 421, {**echo, "X-Not-Executed": "1"}, b"")
            await writer.drain()
            return True
        if " /health" in first:
            self.write(writer, 200 if self.state == "ready" else 503, {"X-Instance-Id": self.id}, b"")
            await writer.drain()
            return True
        if not attempt:
            self.write(writer, 400, {"X-Not-Executed": "1"}, b"")
            await writer.drain()
            return True
        self.runs.append((self.record.now(), attempt))
        self.record.write(f"{self.id} runs {attempt} ({first.split()[1]})")
        await asyncio.sleep(self.work_s)
        stamp = "%x.%s" % (random.getrandbits(32), attempt)
        self.write(writer, 200, {**echo, "X-Response-Stamp": stamp}, b"answer to " + attempt.encode())
        await writer.drain()
        return True

    async def leave_now(self):
        """Deregisters without saying `draining` first. Returns when that was acknowledged."""
        self.beating.cancel()
        while not await self.tell("DELETE", b""):
            await asyncio.sleep(0.1)
        return self.record.now()

    async def end(self):
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Consumer:
    """Sends requests at a steady rate to the entries in turn, each on a channel of its own."""

    def __init__(self, fleet, path, per_s, limit_s=1.5, method="POST"):
        self.fleet, self.path, self.per_s, self.limit_s, self.method = fleet, path, per_s, limit_s, method
        self.sent = {}
        self.answers = {}

    async def run(self):
        tasks = []
        try:
            for number in itertools.count():
                tasks.append(asyncio.create_task(self.send(number)))
                await asyncio.sleep(random.expovariate(self.per_s))
        finally:
            for task in tasks:
                task.cancel()

    async def send(self, number):
        node = self.fleet.entries[number % len(self.fleet.entries)]
        attempt = "%016x" % random.getrandbits(64)
        headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": int(self.limit_s * 1000)}
        record = self.fleet.record
        self.sent[attempt] = (record.now(), node.name)
        record.write(f"consumer sends {attempt} to {node.name}")
        try:
            body = b"q" * 64
            path = f"{self.path}{attempt}"
            status, answered, body = await call(
                (node.ip, self.fleet.entry_port), self.method, path, headers, body, self.limit_s + 0.5)
            self.answers[attempt] = (status, answered, body)
            record.write(f"consumer got {status} for {attempt}")
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            self.answers[attempt] = (0, {}, b"")
            record.write(f"consumer got no answer for {attempt}: {type(error).__name__}")


def manifest(version, routes, services):
    return {
        "Version": version, "Routes": routes, "Services": services,
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    }


def run_case(folder, case):
    """Runs a case and returns its exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble={int(trouble)}")
    try:
        code = asyncio.run(asyncio.wait_for(case(record, trouble), 115))
    except CannotRun as error:
        record.write(f"could not run: {error}")
        print(f"could not run: {error}")
        return 2
    except asyncio.TimeoutError:
        record.write("could not run: out of time")
        return 2
    except Exception as error:  # A fault of the script must not look like a broken rule.
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    verdict = "broken" if code else "held"
    record.write(f"verdict: {verdict}")
    print(verdict)
    return code


def main(folder, case):
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(run_case(folder, case))
