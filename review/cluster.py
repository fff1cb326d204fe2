"""Starts the project's programs with the commands of the deploy file, on
loopback addresses, and stand-ins of the store, the workers and the clients,
which speak what PROTOCOL.md says. Used by the scripts of the second review.
Needs nothing but Python's standard library."""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# Of the sheet of kst-pall.
BOUNDS = {"contactMs": 3000, "configApplyMs": 2000, "drainMs": 2000,
          "cancel_ms": 3000, "stopTimeoutMs": 50, "maxHoldMs": 1000,
          "retryMs": 1300, "farFactor": 1.5, "graceS": 6}
HEARTBEAT_MS = 1500


class CaseError(Exception):
    """The case couldn't run."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """record.txt: what was sent, answered and run, with seconds since the
    start of the script."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w",
                         encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


# HTTP

async def read_message(reader):
    """Start line, headers with lower-case names, body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


def to_response(status, body):
    text = json.dumps(body).encode()
    return (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(text)}\r\n\r\n").encode() + text


class HttpServer:
    """Calls handler(method, target, headers, body), which returns a status and
    a body, or None for no answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def listen(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port,
                                                 reuse_address=True,
                                                 backlog=1024)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                writer.write(to_response(*answer))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Ends as a killed process does: connections break."""
        if self.server:
            self.server.close()
            self.server = None
        for it in list(self.writers):
            it.transport.abort()


async def call(address, method, path, headers, body=None, timeout=5.0,
               connection=None):
    """One request. Returns status and body; status 0 without an answer."""
    try:
        return await asyncio.wait_for(
            send_and_read(address, method, path, headers, body, connection),
            timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError,
            ConnectionError, OSError):
        return 0, b""


async def send_and_read(address, method, path, headers, body, connection):
    reader, writer = connection or await asyncio.open_connection(*address)
    try:
        writer.write(to_request(address, method, path, headers, body))
        line, _, data = await read_message(reader)
        return int(line.split(" ")[1]), data
    finally:
        if connection is None:
            writer.close()


def to_request(address, method, path, headers, body=None):
    text = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1"]
    if "Host" not in headers:
        lines.append(f"Host: {address[0]}:{address[1]}")
    lines += [f"{k}: {v}" for k, v in headers.items()]
    if body is not None:
        lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(text)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + text


# the platform's store

class Store:
    """Table service: GET /v1/rows-get and /v1/rows-feed on the table op."""

    def __init__(self, record):
        self.record = record
        self.version = 10
        self.rows = {}
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)

    def put(self, key, value):
        """The operator writes a row; the return is the acknowledgement."""
        self.version += 1
        self.rows[key] = (json.dumps(value), self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def configure(self, version, prefixes, **fields):
        routes = []
        for it in prefixes:
            route = {"name": "r" + it.replace("/", "-"),
                     "host": "desk.example", "pathPrefix": it,
                     "kind": "unsafe", "timeoutMs": 1500,
                     "targetLatencyMs": 60, "priority": 0, "service": "desk",
                     "maxAttempts": 3, "stretch": 1.6}
            route.update(fields)
            routes.append(route)
        self.put("config", {"version": version, "routes": routes,
                            "services": [{"name": "desk",
                                          "enforcesCapacity": True}]})
        self.record(f"operator: configuration {version} is acknowledged, "
                    f"routes {' '.join(prefixes)}")

    def answer(self, rows):
        return {"rows": [{"table": "op", "part": "", "key": k,
                          "value": base64.b64encode(v.encode()).decode(),
                          "schemaVersion": n} for k, (v, n) in rows],
                "hasMore": False, "schemaVersion": self.version,
                "nowMs": int(time.monotonic() * 1000)}

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        q = dict(urllib.parse.parse_qsl(query))
        if path == "/v1/rows-get":
            rows = [r for r in sorted(self.rows.items())
                    if q.get("from", "") <= r[0]
                    and (not q.get("target") or r[0] < q["target"])]
            return 200, self.answer(rows)
        if path == "/v1/rows-feed":
            after = int(q["after"])
            end = time.monotonic() + int(q.get("waitMs", "0")) / 1000
            while self.version <= after and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(),
                                           end - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            rows = sorted((r for r in self.rows.items() if r[1][1] > after),
                          key=lambda r: r[1][1])
            return 200, self.answer(rows)
        return 404, {}


# workers

class Worker:
    """A worker beside an agent. Tasks take the milliseconds that their spec
    names ("ms:900"), or 60."""

    def __init__(self, record, number, ip, port, agent, events):
        self.record = record
        self.id = f"i-{number:08x}"
        self.number = number
        self.address = (ip, port)
        self.agent = agent
        self.events = events  # (time, "start" or an end, task, run, worker)
        self.capacity = {"cpu": 16000, "memMb": 65536, "gpus": 0}
        self.labels = ["a", f"r1-{number // 3}"]
        self.state = "ready"
        self.heartbeats = None
        self.on_heartbeat = None
        self.server = HttpServer(self.handle)
        self.begin()

    def begin(self):
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.sequence = 0
        self.token = 0
        self.runs = {}     # task -> [run, start, length, timer]
        self.highest = {}  # task -> highest run stopped or ended here
        self.ended = []    # [N, task, run, how, saved]
        self.last_end = 0
        self.lease_until = 0.0
        self.lease_timer = None
        self.any_end = asyncio.Event()

    def clock(self):
        return 70000 + int((time.monotonic() - self.started) * 1000)

    async def start(self):
        await self.server.listen(*self.address)
        self.heartbeats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            asyncio.create_task(self.announce())
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def announce(self):
        self.sequence += 1
        state = self.state
        body = {"service": "desk",
                "address": f"{self.address[0]}:{self.address[1]}",
                "zone": "z1", "version": "v1", "slots": 8, "state": state,
                "coldRemainingMs": 0, "capacity": self.capacity,
                "labels": self.labels, "clockMs": self.clock(),
                "born": self.born, "sequence": self.sequence}
        status, _ = await call(self.agent, "POST",
                               f"/v1/instances/{self.id}/heartbeat", {}, body,
                               1.0)
        if self.on_heartbeat:
            self.on_heartbeat(state, status)

    def crash(self):
        """Everything on it ends; connections break and are refused."""
        self.heartbeats.cancel()
        self.server.close()
        self.record(f"worker {self.id} crashes with {sorted(self.runs)}")
        for task in list(self.runs):
            self.end(task, "lost")
        if self.lease_timer:
            self.lease_timer.cancel()

    async def restart(self):
        """A new incarnation under the same id."""
        self.begin()
        self.server = HttpServer(self.handle)
        await self.start()
        self.record(f"worker {self.id} is up again, labels {self.labels}")

    async def handle(self, method, target, headers, body):
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {}
        b = json.loads(body)
        life = self.born
        if b.get("fencingToken", 0) < self.token:
            return 409, self.tell({"reason": "fence"})
        self.token = b.get("fencingToken", 0)
        if target == "/v1/run-start":
            return self.run_start(b)
        if target == "/v1/run-stop":
            return self.run_stop(b)
        if target == "/v1/hold":
            return await self.hold(b, life)
        return 404, self.tell({})

    def tell(self, fields):
        return {"clockMs": self.clock(), "born": self.born, **fields}

    def extend(self, deadline):
        left = min(deadline - self.clock(), BOUNDS["maxHoldMs"]) / 1000
        until = time.monotonic() + left
        if until <= self.lease_until:
            return
        self.lease_until = until
        if self.lease_timer:
            self.lease_timer.cancel()
        self.lease_timer = asyncio.get_running_loop().call_later(
            left, self.lapse)

    def lapse(self):
        for task in list(self.runs):
            self.end(task, "lapsed")

    def run_start(self, b):
        task, run = b["task"], b["run"]
        here = self.runs.get(task)
        if here and here[0] == run:
            return 200, self.tell({})
        reason = None
        if here or self.highest.get(task, 0) >= run:
            reason = "old"
        elif b["deadlineMs"] < self.clock():
            reason = "late"
        elif len(self.runs) >= self.capacity["cpu"] // 1600:
            reason = "room"
        if reason in ("old", "room"):
            self.extend(b["deadlineMs"])
        if reason:
            self.record(f"worker {self.id} refuses {task} run {run}: {reason}")
            return 409, self.tell({"reason": reason})
        length = 0.06
        if b["spec"].startswith("ms:"):
            length = int(b["spec"].split(":")[1]) / 1000
        timer = asyncio.get_running_loop().call_later(
            length, lambda: self.end(task, "done"))
        self.runs[task] = [run, time.monotonic(), length, timer]
        self.events.append((self.record.now(), "start", task, run, self.id,
                            list(self.labels)))
        self.record(f"worker {self.id} starts {task} run {run}")
        self.extend(b["deadlineMs"])
        return 200, self.tell({})

    def run_stop(self, b):
        task, run = b["task"], b["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        here = self.runs.get(task)
        if here and here[0] == run:
            asyncio.get_running_loop().call_later(
                0.02, lambda: self.end(task, "stopped", run))
        return 200, self.tell({})

    async def hold(self, b, life):
        self.ended = [e for e in self.ended if e[0] > b.get("lastSeen", 0)]
        if "deadlineMs" in b:
            self.extend(b["deadlineMs"])
        if b.get("waitMs") and not self.ended:
            try:
                await asyncio.wait_for(self.any_end.wait(),
                                       b["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        if life != self.born:
            return None
        now = time.monotonic()
        running = [[t, r[0], "", min(99, int(100 * (now - r[1]) / r[2])),
                    1600] for t, r in self.runs.items()]
        return 200, self.tell({"running": running, "ended": self.ended[:500]})

    def end(self, task, how, run=None):
        here = self.runs.get(task)
        if not here or (run is not None and here[0] != run):
            return
        del self.runs[task]
        here[3].cancel()
        self.highest[task] = max(self.highest.get(task, 0), here[0])
        self.last_end += 1
        self.ended.append([self.last_end, task, here[0], how, ""])
        self.events.append((self.record.now(), how, task, here[0], self.id,
                            list(self.labels)))
        self.record(f"worker {self.id}: {task} run {here[0]} ended {how}")
        self.any_end.set()
        self.any_end = asyncio.Event()


# relays

class Relay:
    """A TCP relay. silence() makes the open connections silent for good,
    without a reset, while new ones work."""

    def __init__(self, to):
        self.to = to
        self.pairs = []
        self.server = None

    async def listen(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.to)
        except OSError:
            writer.transport.abort()
            return
        pair = {"silent": False}
        self.pairs.append(pair)
        await asyncio.gather(self.pump(reader, far_writer, pair),
                             self.pump(far_reader, writer, pair))

    @staticmethod
    async def pump(reader, writer, pair):
        try:
            while data := await reader.read(65536):
                if not pair["silent"]:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, OSError):
            pass
        if not pair["silent"]:
            writer.close()

    def silence(self):
        for it in self.pairs:
            it["silent"] = True


# the system

def fill_template(text, fields):
    """The placeholders that the project's templates use."""
    def lookup(path):
        value = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) \
                else value.get(part)
        return value

    def replace(m):
        path, as_json = m.group(1), m.group(2)
        value = lookup(path)
        return json.dumps(value) if as_json else str(value)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", replace, text)


class Cluster:
    def __init__(self, folder, entries=3, agents=4, store_relays=False,
                 max_fds=None):
        self.folder = folder
        self.record = Record(folder)
        self.events = []
        self.processes = {}
        self.store_relays = store_relays
        self.max_fds = max_fds
        self.temporary = tempfile.mkdtemp(prefix="agatebank-review-")
        self.base = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.ports = {}
        for name in ("link", "front", "readiness", "control", "store", "app",
                     "metrics"):
            self.ports[name] = self.free_port()
        self.entries = entries
        self.entry_hosts = [10 + i for i in range(entries)]
        self.store = Store(self.record)
        self.relays = []
        self.workers = [
            Worker(self.record, i + 1, self.agent_ip(i), self.ports["app"],
                   (self.agent_ip(i), self.ports["control"]), self.events)
            for i in range(agents)]
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as f:
            self.roles = tomllib.load(f)["roles"]

    def free_port(self):
        while True:
            with socket.socket() as s:
                s.bind((f"{self.base}.1", 0))
                port = s.getsockname()[1]
            if port not in self.ports.values():
                return port

    def entry_ip(self, i):
        return f"{self.base}.{self.entry_hosts[i]}"

    def agent_ip(self, i):
        return f"{self.base}.{100 + i}"

    def front(self, i):
        return (self.entry_ip(i), self.ports["front"])

    async def start(self, prefixes=("/q/",), **fields):
        store_ip = f"{self.base}.2"
        await self.store.server.listen(store_ip, self.ports["store"])
        self.store.configure(1, list(prefixes), **fields)
        for i in range(self.entries):
            if self.store_relays:
                relay = Relay((store_ip, self.ports["store"]))
                await relay.listen(f"{self.base}.{60 + i}",
                                   self.ports["store"])
                self.relays.append(relay)
            self.start_entry(i)
        for i, worker in enumerate(self.workers):
            self.start_agent(i)
            await worker.start()
        await self.wait_ready()

    def fields(self, name, ip, serves):
        store_ip = f"{self.base}.2"
        if name.startswith("front") and self.store_relays:
            store_ip = f"{self.base}.{60 + int(name.split('-')[1])}"
        return {
            "nodeName": name, "zone": "z1", "ip": ip, "serves": serves,
            "seeds": [f"{self.entry_ip(i)}:{self.ports['control']}"
                      for i in range(min(3, self.entries))],
            "internalPorts": [self.ports["link"], self.ports["link"] + 15],
            "limits": {"cpuShare": 0.25}, "bounds": BOUNDS,
            "heartbeatMs": HEARTBEAT_MS,
            "listenAddrs": {k: f"{ip}:{self.ports[k]}"
                            for k in ("front", "readiness", "control")},
            "app": f"{ip}:{self.ports['app']}",
            "platform": {"address": f"{store_ip}:{self.ports['store']}"}}

    def write_settings(self, role, name, ip):
        """What the platform does at each start, and when settings change."""
        spec = self.roles[role]
        with open(os.path.join(ROOT, spec["template"]), encoding="utf-8") as f:
            text = fill_template(f.read(), self.fields(name, ip,
                                                       spec["serves"]))
        # Only the metrics' port is not the platform's to give.
        text = text.replace(":9464", f":{self.ports['metrics']}")
        path = os.path.join(self.temporary, name + ".json")
        with open(path, "w", encoding="utf-8") as f:
            f.write(text)
        return path

    def run(self, role, name, ip):
        spec = self.roles[role]
        path = self.write_settings(role, name, ip)
        command = spec["run"].replace("/etc/agatebank/settings.toml",
                                      path).split()
        command[0] = os.environ.get("AGATEBANKD",
                                    os.path.join(ROOT, command[0]))
        if not os.access(command[0], os.X_OK):
            raise CaseError(f"{command[0]} is missing: build the deploy file")
        log = os.open(os.path.join(self.temporary, name + ".log"),
                      os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        pid = os.posix_spawn(command[0], command,
                             {"PATH": os.environ.get("PATH", ""),
                              "HOME": self.temporary,
                              "LANG": "C.UTF-8"},
                             file_actions=[(os.POSIX_SPAWN_DUP2, log, 1),
                                           (os.POSIX_SPAWN_DUP2, log, 2)])
        os.close(log)
        self.processes[name] = pid
        self.record(f"process {name} started")

    def start_entry(self, i):
        self.run("entry", f"front-{i}", self.entry_ip(i))

    def start_agent(self, i):
        self.run("agent", f"side-{i}", self.agent_ip(i))

    def signal(self, name, number):
        self.record(f"process {name}: {signal.Signals(number).name}")
        os.kill(self.processes[name], number)
        if number == signal.SIGKILL:
            os.waitpid(self.processes.pop(name), 0)

    def has_ended(self, name):
        """Whether a process has ended by itself."""
        pid = self.processes.get(name)
        if pid is None:
            return True
        if os.waitpid(pid, os.WNOHANG)[0] == 0:
            return False
        del self.processes[name]
        return True

    async def readiness(self, i, timeout=1.0):
        status, _ = await call((self.entry_ip(i), self.ports["readiness"]),
                               "GET", "/v1/readiness", {}, timeout=timeout)
        return status

    async def wait_ready(self):
        for i in range(self.entries):
            for _ in range(200):
                if await self.readiness(i) == 200:
                    break
                await asyncio.sleep(0.05)
            else:
                raise CaseError(f"entry {i} is not ready after 10 s")
        await asyncio.sleep(2.5)
        self.record("all entries are ready")

    async def post(self, entry, job, steps, spec="ms:60", deadline_ms=1500,
                   prefix="/q/", connection=None):
        body = {"spec": spec, "bestEffort": True, "steps": steps}
        self.record(f"client: POST {prefix}{job} to entry {entry}")
        status, data = await call(
            self.front(entry), "POST", prefix + job,
            {"Host": "desk.example", "Deadline-Ms": str(deadline_ms)}, body,
            deadline_ms / 1000, connection)
        self.record(f"client: POST {prefix}{job} answered {status} "
                    f"{data.decode(errors='replace')}")
        return status, data

    async def stop(self):
        for worker in self.workers:
            if worker.heartbeats:
                worker.heartbeats.cancel()
        for pid in self.processes.values():
            try:
                os.kill(pid, signal.SIGKILL)
                os.waitpid(pid, 0)
            except (ProcessLookupError, ChildProcessError):
                pass
        if os.environ.get("KEEP_LOGS"):
            print(self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def step(count, ms, **fields):
    return {"count": count, "cpu": 1600, "memMb": 64, "estimateMs": ms,
            **fields}


def job_id():
    return f"{random.getrandbits(64):016x}"


def main(file, case, **options):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held and 2
    if the case couldn't run. case(cluster) returns the breaches as texts."""
    folder = os.path.dirname(os.path.abspath(file))

    async def run():
        cluster = Cluster(folder, **options)
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        try:
            breaches = await asyncio.wait_for(case(cluster), 116)
        finally:
            await cluster.stop()
        for it in breaches:
            cluster.record("BREACH " + it)
            print("BREACH " + it)
        cluster.record(f"{len(breaches)} breaches")
        print(f"{len(breaches)} breaches")
        return 1 if breaches else 0

    try:
        code = asyncio.run(run())
    except (CaseError, asyncio.TimeoutError, asyncio.CancelledError, OSError,
            KeyError) as e:
        print(f"the case couldn't run: {e!r}")
        code = 2
    sys.stdout.flush()
    os._exit(code)
