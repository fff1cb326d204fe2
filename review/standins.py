"""Stand-ins of the platform for the scripts of this folder, and the record.

They follow PROTOCOL.md and DEPLOY.md: a store, workers, the platform's
balancer, callers, and the platform's way to start, stop and restart a process.
Only Python's standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = "target/packages/daemon/agatebankd"
HOST = "desk.example"
PREFIX = "/booking/"
SERVICE = "pall-booking"


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    pass


class Record:
    """What was sent, answered and run, in order, with times in seconds."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        self.file.write("%9.4f %s\n" % (self.now(), text))
        self.file.flush()


# HTTP


async def read_message(reader):
    """Returns the first line, the headers and the body of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


def message(first, headers, body):
    lines = [first] + ["%s: %s" % it for it in headers.items()]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Calls handle(method, path, query, headers, body) for each request. It
    returns (status, object), or None to leave the request unanswered."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.tasks = set()

    async def listen(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, backlog=512)

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                answer = await self.handle(method, url.path, query, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                text = json.dumps(answer[1]).encode()
                writer.write(
                    message(
                        "HTTP/1.1 %d X" % answer[0],
                        {"Content-Type": "application/json"},
                        text,
                    )
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    def close(self):
        if self.server:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


async def call(ip, port, method, path, body=None, headers=None, timeout=1.0):
    """One request on a connection of its own; returns (status, object)."""

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            text = b"" if body is None else json.dumps(body).encode()
            all_headers = {"Host": HOST, "Content-Type": "application/json"}
            all_headers.update(headers or {})
            writer.write(message("%s %s HTTP/1.1" % (method, path), all_headers, text))
            await writer.drain()
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), json.loads(answer or b"{}")
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, {}


# the platform's store


class Store:
    """The rows of the table 'op', with a feed of their changes."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.changed = asyncio.Event()
        self.http = HttpServer(self.handle)

    def put(self, key, value):
        self.version += 1
        self.rows[key] = (self.version, base64.b64encode(value.encode()).decode())
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, key):
        version, value = self.rows[key]
        return {
            "table": "op",
            "part": "",
            "key": key,
            "value": value,
            "schemaVersion": version,
        }

    async def handle(self, method, path, query, headers, body):
        if query.get("table") != "op":
            return 200, {"rows": [], "schemaVersion": self.version, "nowMs": 1, "hasMore": False}
        if path == "/v1/rows-get":
            begin, end = query.get("from", ""), query.get("target", "\x7f")
            keys = sorted(k for k in self.rows if begin <= k < end)
            rows = [self.row(k) for k in keys]
            return 200, {"rows": rows, "hasMore": False, "schemaVersion": self.version, "nowMs": 1}
        if path == "/v1/rows-feed":
            after = int(query.get("after", "0"))
            until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            while after >= self.version:
                left = until - time.monotonic()
                if left <= 0:
                    break
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    break
            keys = sorted((v[0], k) for k, v in self.rows.items() if v[0] > after)
            rows = [self.row(k) for _, k in keys]
            return 200, {"rows": rows, "schemaVersion": self.version, "nowMs": 1}
        return 404, {}


# a worker

MAX_HOLD_MS = 1000
STOP_S = 0.02
HEARTBEAT_S = 1.5
CAPACITY_RUNS = 10  # 16 cores, 1.6 for each task of the scripts


class Worker:
    """One application worker. A task runs for the seconds that its spec says:
    'run SECONDS'."""

    def __init__(self, system, index, ip, port, control_port, zone):
        self.system = system
        self.record = system.record
        self.name = "w%d" % index
        self.ip, self.port, self.control_port, self.zone = ip, port, control_port, zone
        self.labels = ["a", "r%d" % (index // 3)]
        self.state = "ready"
        self.network = None  # stands between the agent and the worker, if set
        self.lives = 0
        self.begin_life()

    def begin_life(self):
        self.lives += 1
        self.id = "i-%s-%d" % (self.name, self.lives)
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.token = 0
        self.sequence = 0
        self.runs = {}  # task: (run, began, seconds, timer)
        self.highest = {}  # task: highest run that was stopped or has ended
        self.ended = []
        self.last_end = 0
        self.lease_until = 0.0
        self.lease_timer = None
        self.waiting = asyncio.Event()
        self.http = HttpServer(self.handle)

    async def start(self):
        if self.network:
            await self.http.listen(self.ip, self.network.inner_port)
            await self.network.open()
        else:
            await self.http.listen(self.ip, self.port)
        self.beats = asyncio.ensure_future(self.beat())

    def stop(self):
        self.beats.cancel()
        self.http.close()
        if self.network:
            self.network.close()

    def clock_ms(self):
        return 70000 + int((time.monotonic() - self.began) * 1000)

    def heartbeat(self):
        return {
            "service": SERVICE,
            "address": "%s:%d" % (self.ip, self.port),
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": 16000, "memMb": 65536, "gpus": 0},
            "labels": self.labels,
            "clockMs": self.clock_ms(),
            "born": self.born,
            "sequence": self.sequence,
        }

    async def announce(self, body):
        path = "/v1/instances/%s/heartbeat" % self.id
        status, _ = await call(self.ip, self.control_port, "POST", path, body)
        return status

    async def beat(self):
        await asyncio.sleep(random.random() * 0.3)
        while True:
            self.sequence += 1
            status = 0
            if not (self.network and self.network.is_cut):
                status = await self.announce(self.heartbeat())
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.3)

    async def drain(self):
        """Says that it leaves; returns when that was acknowledged."""
        self.state = "draining"
        self.sequence += 1
        while await self.announce(self.heartbeat()) != 200:
            await asyncio.sleep(0.1)
            self.sequence += 1

    async def handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, {}
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {}
        request = json.loads(body)
        if request.get("fencingToken", 0) < self.token:
            return self.refuse("fence")
        self.token = request.get("fencingToken", 0)
        if path == "/v1/run-start":
            return self.start_run(request)
        if path == "/v1/run-stop":
            return self.stop_run(request)
        if path == "/v1/hold":
            return await self.hold(request)
        return 404, {}

    def refuse(self, why):
        return 409, {"clockMs": self.clock_ms(), "reason": why, "born": self.born}

    def start_run(self, request):
        task, run = request["task"], request["run"]
        here = self.runs.get(task)
        if here and here[0] == run:
            self.extend(request)
            return 200, {"clockMs": self.clock_ms()}
        if here or self.highest.get(task, 0) >= run:
            self.extend(request)
            return self.refuse("old")
        if request["deadlineMs"] < self.clock_ms():
            return self.refuse("late")
        if len(self.runs) >= CAPACITY_RUNS:
            self.extend(request)
            return self.refuse("room")
        seconds = float(request["spec"].split(" ")[1])
        timer = asyncio.get_running_loop().call_later(seconds, self.end, task, run, "done")
        self.runs[task] = (run, time.monotonic(), seconds, timer)
        self.extend(request)
        self.system.on_start(self, task, run, request["spec"])
        return 200, {"clockMs": self.clock_ms()}

    def stop_run(self, request):
        task, run = request["task"], request["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        if task in self.runs and self.runs[task][0] <= run:
            asyncio.get_running_loop().call_later(
                STOP_S, self.end, task, self.runs[task][0], "stopped"
            )
        return 200, {"clockMs": self.clock_ms()}

    def end(self, task, run, how):
        if task not in self.runs or self.runs[task][0] != run:
            return
        self.runs.pop(task)[3].cancel()
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.last_end += 1
        self.ended.append([self.last_end, task, run, how, ""])
        self.system.on_end(self, task, run, how)
        self.waiting.set()
        self.waiting = asyncio.Event()

    def extend(self, request):
        if "deadlineMs" not in request:
            return
        left_ms = min(request["deadlineMs"] - self.clock_ms(), MAX_HOLD_MS)
        until = time.monotonic() + left_ms / 1000
        if until > self.lease_until:
            self.lease_until = until
            if self.lease_timer:
                self.lease_timer.cancel()
            self.lease_timer = asyncio.get_running_loop().call_later(
                left_ms / 1000, self.lapse
            )

    def lapse(self):
        for task, it in list(self.runs.items()):
            self.end(task, it[0], "lapsed")

    async def hold(self, request):
        seen = request.get("lastSeen", 0)
        self.ended = [e for e in self.ended if e[0] > seen]
        self.extend(request)
        if not self.ended and request.get("waitMs", 0) > 0:
            try:
                await asyncio.wait_for(self.waiting.wait(), request["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = [
            [task, run, "", min(99, int(100 * (now - began) / seconds)), 1600]
            for task, (run, began, seconds, _) in self.runs.items()
        ]
        return 200, {
            "clockMs": self.clock_ms(),
            "born": self.born,
            "running": running,
            "ended": self.ended[:500],
        }


class Network:
    """A path of the network, such as that between a worker and its machine's
    agent: a proxy that can be cut. A cut that refuses resets what is open and
    refuses new connections; a worker that is cut off runs on, and its heartbeats
    don't get through."""

    def __init__(self, ip, outer_port, inner_ip, inner_port):
        self.ip, self.outer_port = ip, outer_port
        self.inner_ip, self.inner_port = inner_ip, inner_port
        self.server = None
        self.is_cut = False
        self.writers = set()
        self.silent = set()

    async def open(self):
        self.is_cut = False
        self.server = await asyncio.start_server(
            self.forward, self.ip, self.outer_port, backlog=512
        )

    async def forward(self, reader, writer):
        try:
            inner_reader, inner_writer = await asyncio.open_connection(
                self.inner_ip, self.inner_port
            )
        except OSError:
            writer.close()
            return
        self.writers |= {writer, inner_writer}
        await asyncio.gather(
            self.copy(reader, inner_writer), self.copy(inner_reader, writer)
        )
        self.writers -= {writer, inner_writer}

    async def copy(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if writer in self.silent:
                    continue
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def silence(self):
        """What is open goes silent for good, without a reset; new connections
        work."""
        self.silent |= self.writers

    def cut_and_refuse(self):
        self.is_cut = True
        self.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            writer.transport.abort()

    def close(self):
        if self.server:
            self.server.close()
            self.server = None


# processes


def fill(template, fields):
    """Fills a settings template in, as far as this project's templates go."""

    def value(match):
        name, as_json = match.group(1), match.group(2)
        out = fields
        for part in name.split("."):
            out = out[int(part)] if isinstance(out, list) else out[part]
        return json.dumps(out) if as_json else str(out)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


class Process:
    """A process of one role, started as the deploy file says."""

    def __init__(self, system, role, fields):
        self.system, self.role, self.fields = system, role, fields
        self.name = fields["nodeName"]
        self.process = None

    async def start(self):
        with open(os.path.join(ROOT, "deploy", self.role + ".json.in")) as f:
            text = fill(f.read(), self.fields)
        path = os.path.join(self.system.folder, self.name + ".json")
        with open(path, "w") as f:
            f.write(text)
        log = open(os.path.join(self.system.folder, self.name + ".log"), "a")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM,
            self.role,
            "--config",
            path,
            cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class System:
    """A small deployment: entries, workers with their agents, and a store."""

    def __init__(self, folder, entries=3, spare_entries=0, workers=6):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="agatebank-review-")
        self.net = "127.%d.%d" % (random.randint(20, 220), random.randint(1, 250))
        self.ports = self.free_ports(8)
        (
            self.link_port,
            self.front_port,
            self.ready_port,
            self.control_port,
            self.app_port,
            self.store_port,
            self.metrics_port,
            self.inner_port,
        ) = self.ports
        self.store = Store()
        self.starts = []  # (time, worker, task, run)
        self.ends = []
        self.overlaps = []
        self.networks = []
        self.running = {}  # task: set of (worker, run)
        self.zones = ["zone-%d" % (i + 1) for i in range(3)]
        seeds = [
            "%s.%d:%d" % (self.net, i + 1, self.control_port) for i in range(entries)
        ]
        self.entries, self.agents, self.workers = [], [], []
        for i in range(entries + spare_entries):
            fields = self.common("front-%d" % (i + 1), "%s.%d" % (self.net, i + 1), i, seeds)
            ip = fields["ip"]
            fields["listenAddrs"] = {
                "front": "%s:%d" % (ip, self.front_port),
                "readiness": "%s:%d" % (ip, self.ready_port),
                "control": "%s:%d" % (ip, self.control_port),
            }
            self.entries.append(Process(self, "entry", fields))
        for i in range(workers):
            ip = "%s.%d" % (self.net, 101 + i)
            fields = self.common("side-%d" % (i + 1), ip, i, seeds)
            fields["limits"]["cpuShare"] = 0.15
            fields["listenAddrs"] = {"control": "%s:%d" % (ip, self.control_port)}
            fields["app"] = "%s:%d" % (ip, self.app_port)
            self.agents.append(Process(self, "agent", fields))
            self.workers.append(
                Worker(self, i + 1, ip, self.app_port, self.control_port, fields["zone"])
            )
        self.first_entries = entries
        self.first_prefixes = (PREFIX,)

    def free_ports(self, count):
        held = []
        while len(held) < count:
            s = socket.socket()
            s.bind(("127.0.0.1", 0))
            held.append(s)
        out = [s.getsockname()[1] for s in held]
        for s in held:
            s.close()
        return out

    def common(self, name, ip, index, seeds):
        return {
            "nodeName": name,
            "ip": ip,
            "zone": self.zones[index % len(self.zones)],
            "internalPorts": [self.link_port, self.link_port],
            "seeds": seeds,
            "limits": {"cpuShare": 0.25},
            "platform": {"address": "%s.250:%d" % (self.net, self.store_port)},
            "bounds": {"farFactor": 1.5, "maxHoldMs": MAX_HOLD_MS},
            "heartbeatMs": int(HEARTBEAT_S * 1000),
        }

    def configure(self, version, timeout_ms=1500, prefixes=(PREFIX,)):
        routes = [
            {
                "name": "r-%s" % prefix.strip("/"),
                "host": HOST,
                "pathPrefix": prefix,
                "kind": "unsafe",
                "timeoutMs": timeout_ms,
                "targetLatencyMs": 60,
                "priority": 0,
                "service": SERVICE,
                "maxAttempts": 3,
                "stretch": 1.6,
            }
            for prefix in prefixes
        ]
        service = {
            "name": SERVICE,
            "healthPath": "/health",
            "maxConnections": 64,
            "protocol": "h1",
            "tls": False,
            "enforcesCapacity": True,
            "spare": False,
        }
        self.store.put(
            "config", json.dumps({"version": version, "routes": routes, "services": [service]})
        )

    def put_store_behind_networks(self):
        """Gives each entry a path of its own to the store."""
        out = []
        for i, it in enumerate(self.entries):
            ip = "%s.%d" % (self.net, 201 + i)
            it.fields["platform"] = {"address": "%s:%d" % (ip, self.store_port)}
            out.append(Network(ip, self.store_port, "%s.250" % self.net, self.store_port))
        self.networks += out
        return out

    async def start(self, timeout_ms=1500):
        if not os.access(os.path.join(ROOT, PROGRAM), os.X_OK):
            raise CannotRun(PROGRAM + " is missing: run the deploy file's build")
        await self.store.http.listen("%s.250" % self.net, self.store_port)
        self.configure(1, timeout_ms, self.first_prefixes)
        for it in self.networks:
            await it.open()
        for it in self.entries[: self.first_entries] + self.agents:
            await it.start()
        for it in self.workers:
            await it.start()
        for it in self.entries[: self.first_entries]:
            await self.wait_ready(it)
        await asyncio.sleep(2.5)

    async def readiness(self, entry):
        status, _ = await call(entry.fields["ip"], self.ready_port, "GET", "/v1/readiness")
        return status == 200

    async def wait_ready(self, entry, limit_s=15.0):
        until = time.monotonic() + limit_s
        while not await self.readiness(entry):
            if time.monotonic() > until:
                raise CannotRun(entry.name + " didn't become ready")
            await asyncio.sleep(0.1)

    async def stop(self):
        for it in self.workers:
            it.stop()
        for it in self.entries + self.agents:
            await it.end()
        for it in self.networks:
            it.close()
        self.store.http.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs in " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def cut_worker(self, index):
        """Puts a network that can be cut between a worker and its agent."""
        worker = self.workers[index]
        worker.network = Network(worker.ip, worker.port, worker.ip, self.inner_port)
        return worker

    def on_start(self, worker, task, run, spec):
        now = self.record.now()
        others = self.running.get(task, set())
        if others:
            where = ", ".join("%s run %d" % it for it in sorted(others))
            self.overlaps.append((now, worker.name, task, run, where))
            self.record.add(
                "TWO RUNS: %s run %d starts at %s while %s runs on"
                % (task, run, worker.name, where)
            )
        self.starts.append((now, worker, task, run))
        self.record.add("%s starts %s run %d (%s)" % (worker.name, task, run, spec))
        self.running.setdefault(task, set()).add((worker.name, run))

    def on_end(self, worker, task, run, how):
        self.ends.append((self.record.now(), worker, task, run, how))
        self.record.add("%s ends %s run %d: %s" % (worker.name, task, run, how))
        self.running.get(task, set()).discard((worker.name, run))


# the platform's balancer


class Balancer:
    """Forwards each new connection of a zone to a front of the zone, selected
    by a hash of the client; asks for readiness once a second."""

    def __init__(self, system):
        self.system = system
        self.misses = {}
        self.members = list(system.entries[: system.first_entries])
        self.servers = []

    async def start(self):
        self.checks = asyncio.ensure_future(self.check())

    async def check(self):
        while True:
            began = time.monotonic()
            for it in list(self.members):
                asyncio.ensure_future(self.check_one(it))
            await asyncio.sleep(max(0.0, 1.0 - (time.monotonic() - began)))

    async def check_one(self, entry):
        good = await self.system.readiness(entry)
        misses = 0 if good else self.misses.get(entry.name, 0) + 1
        if misses == 2:
            self.system.record.add("platform: %s leaves the rotation" % entry.name)
        self.misses[entry.name] = misses

    def in_rotation(self, entry):
        return self.misses.get(entry.name, 0) < 2

    def choose(self, client, zone):
        own = [e for e in self.members if e.fields["zone"] == zone]
        ready = [e for e in own if self.in_rotation(e)]
        if not ready:
            fit = [e for e in self.members if self.in_rotation(e)] or own
        elif 2 * len(ready) < len(own):
            fit = own
        else:
            fit = ready
        return fit[client % len(fit)]

    async def connect(self, client, zone):
        entry = self.choose(client, zone)
        reader, writer = await asyncio.open_connection(
            entry.fields["ip"], self.system.front_port
        )
        return entry, reader, writer

    def stop(self):
        self.checks.cancel()


def new_id():
    return "%016x" % random.getrandbits(64)


def run_case(folder, case, limit_s=115):
    """Runs case(folder), which returns whether the rule held, and exits."""
    # Ends the processes of the case also when the script itself is ended.
    signal.signal(signal.SIGTERM, signal.default_int_handler)

    async def bounded():
        return await asyncio.wait_for(case(folder), limit_s)

    try:
        held = asyncio.run(bounded())
    except CannotRun as e:
        print("could not run: %s" % e)
        sys.exit(2)
    except asyncio.TimeoutError:
        print("could not run: over the time limit")
        sys.exit(2)
    except (Exception, KeyboardInterrupt):
        traceback.print_exc()
        sys.exit(2)
    sys.exit(0 if held else 1)
