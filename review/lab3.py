"""Stand-ins for the cases of REPORT-3: a store, workers, clients and TCP
proxies on loopback addresses, and the two programs of the deploy file as
separate processes. All stand-ins run in one asyncio loop; times in
the record are milliseconds since the script began.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / os.environ.get(
    "AGATEBANKD", "target/packages/daemon/agatebankd"
)
HOST = "desk.example"
MAX_HOLD_MS = 1000
STOP_MS = 20
HEARTBEAT_S = 1.5


class CannotRun(Exception):
    """The case can't be tried here: exit code 2."""


# ports and settings


def free_ports(addresses, count):
    """Ports that are free on all of these addresses."""
    found = []
    probe = 18000 + os.getpid() * 97 % 12000
    while len(found) < count:
        probe += 1
        if probe > 32000:
            raise CannotRun("no free ports")
        for address in addresses:
            with socket.socket() as s:
                s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    s.bind((address, probe))
                except OSError:
                    break
        else:
            found.append(probe)
    return found


def fill_in(template, fields):
    """Fills in a settings template: {{a.b}} and {{a.b|json}} only."""

    def value(match):
        out = fields
        for part in match.group(1).split("."):
            out = out[int(part)] if isinstance(out, list) else out[part]
        return json.dumps(out) if match.group(2) else str(out)

    text = (ROOT / "deploy" / template).read_text()
    return re.sub(r"\{\{([A-Za-z0-9_.]+)(\|json)?\}\}", value, text)


# HTTP


async def read_message(reader):
    """Reads one HTTP message: first line, headers, body. None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(":")
        if colon:
            headers[name.strip().lower()] = text.strip()
    body = b""
    size = int(headers.get("content-length", "0"))
    if size:
        try:
            body = await reader.readexactly(size)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


def to_response(status, document):
    body = json.dumps(document).encode()
    return (
        f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def call(address, method, path, body=None, headers=None, limit_s=5.0):
    """Sends one request on a connection of its own. Returns the status and the
    document, or None and a word if there is no whole answer."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address)
            raw = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            sent = {"Host": HOST, **(headers or {})}
            if raw:
                sent["Content-Type"] = "application/json"
            sent["Content-Length"] = str(len(raw))
            lines += [f"{k}: {v}" for k, v in sent.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + raw)
            await writer.drain()
            got = await read_message(reader)
            if got is None:
                return None, "connection ended"
            document = json.loads(got[2]) if got[2] else {}
            return int(got[0].split()[1]), document
    except TimeoutError:
        return None, "no answer"
    except OSError as e:
        return None, f"connection failed: {e.strerror}"
    finally:
        if writer is not None:
            writer.close()


class Server:
    """A listening HTTP server. The handler returns (status, document), or None
    to leave the call without an answer and break its connection."""

    def __init__(self, lab, address, handler):
        self.lab = lab
        self.address = address
        self.handler = handler
        self.listener = None
        self.writers = set()

    async def open(self):
        self.listener = await asyncio.start_server(
            self.serve, *self.address, backlog=512
        )

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                got = await read_message(reader)
                if got is None:
                    return
                method, target, _ = got[0].split(" ", 2)
                answer = await self.handler(method, target, got[1], got[2])
                if answer is None:
                    return
                writer.write(to_response(*answer))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Ends without a word: connections are reset, new ones refused."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for writer in list(self.writers):
            writer.transport.abort()


# the platform's store


class Store:
    """Serves the calls that read and follow the table `op`."""

    def __init__(self, lab, address):
        self.lab = lab
        self.version = 10
        self.rows = {}
        self.changed = asyncio.Event()
        self.server = Server(lab, address, self.handle)

    def write(self, key, document):
        """The operator writes a row; the return is the acknowledgement."""
        self.version += 1
        text = json.dumps(document).encode()
        self.rows[key] = (base64.b64encode(text).decode(), self.version)
        self.changed.set()
        self.changed = asyncio.Event()

    def answer(self, after, first="", end="\x7f"):
        rows = [
            {
                "table": "op",
                "part": "",
                "key": key,
                "value": value,
                "schemaVersion": version,
            }
            for key, (value, version) in sorted(self.rows.items())
            if version > after and first <= key < end
        ]
        return {
            "rows": rows,
            "hasMore": False,
            "schemaVersion": self.version,
            "nowMs": int(time.monotonic() * 1000),
        }

    async def handle(self, method, target, headers, body):
        path, _, text = target.partition("?")
        query = dict(p.partition("=")[::2] for p in text.split("&") if p)
        await asyncio.sleep(0.004)
        if path == "/v1/rows-get":
            return 200, self.answer(
                0, query.get("from", ""), query.get("target", "\x7f")
            )
        if path == "/v1/rows-feed":
            after = int(query["after"])
            if self.version <= after:
                try:
                    await asyncio.wait_for(
                        self.changed.wait(), int(query["waitMs"]) / 1000
                    )
                except TimeoutError:
                    pass
            return 200, self.answer(after)
        return 404, {}


# workers


class Worker:
    """One worker beside an agent. It guards nothing but its fencing token and
    its lease, and starts what it is told to; each start is recorded."""

    def __init__(self, lab, name, address, control, labels, cpu=16000):
        self.lab = lab
        self.name = name
        self.id = name
        self.address = address
        self.control = control
        self.labels = labels
        self.cpu = cpu
        self.state = "ready"
        self.late = {}  # by task: seconds until its start is carried out
        self.left_unanswered = False
        self.server = Server(lab, address, self.handle)
        self.beats = None
        self.up = False

    async def begin(self, labels=None, new_id=None):
        """Begins an incarnation, which knows nothing of before."""
        self.labels = labels or self.labels
        self.id = new_id or self.id
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.sequence = 0
        self.token = 0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.end_count = 0
        self.lease_until = 0.0
        self.changed = asyncio.Event()
        await self.server.open()
        self.up = True
        self.lab.note(
            f"{self.name} begins as {self.id}, born {self.born}, labels "
            f"{','.join(self.labels)}"
        )
        self.beats = asyncio.create_task(self.announce())
        self.guard = asyncio.create_task(self.watch_lease())

    def crash(self):
        """Ends without a word; everything that runs here ends with it."""
        self.up = False
        self.beats.cancel()
        self.guard.cancel()
        for task, run in list(self.runs.items()):
            run["end"].cancel()
            self.lab.run_ended(self, task, run["run"], "lost")
        self.runs = {}
        self.server.close()
        self.lab.note(f"{self.name} ({self.id}) crashes")

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000)

    # announcements

    async def announce(self):
        while True:
            self.sequence += 1
            body = {
                "service": "desk",
                "address": "%s:%d" % self.address,
                "zone": "z1",
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "coldRemainingMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": 65536, "gpus": 0},
                "labels": self.labels,
                "clockMs": self.clock_ms(),
                "born": self.born,
                "sequence": self.sequence,
            }
            path = f"/v1/instances/{self.id}/heartbeat"
            status, _ = await call(
                self.control, "POST", path, body, limit_s=1.0
            )
            # Not acknowledged: called again, as no other daemon serves it.
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.2)

    # runs

    def end_run(self, task, how):
        run = self.runs.pop(task)
        run["end"].cancel()
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.end_count += 1
        self.ends.append([self.end_count, task, run["run"], how, ""])
        self.lab.run_ended(self, task, run["run"], how)
        self.changed.set()
        self.changed = asyncio.Event()

    def extend(self, deadline_ms):
        until = min(
            self.began + deadline_ms / 1000,
            time.monotonic() + MAX_HOLD_MS / 1000,
        )
        self.lease_until = max(self.lease_until, until)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.005)
            if self.runs and time.monotonic() >= self.lease_until:
                for task in list(self.runs):
                    self.end_run(task, "lapsed")

    def reply(self, status, **fields):
        return status, {
            "clockMs": self.clock_ms(),
            "born": self.born,
            **fields,
        }

    async def handle(self, method, target, headers, body):
        born = self.born
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {}
        rq = json.loads(body)
        if target == "/v1/run-start" and rq["task"] in self.late:
            self.carry_out_late(rq)
            await asyncio.Event().wait()  # no answer
        if self.is_fenced(rq):
            return self.reply(409, reason="fence")
        if target == "/v1/hold":
            return await self.hold(rq, born)
        if target == "/v1/run-start":
            return self.start(rq)
        if target == "/v1/run-stop":
            return self.stop(rq)
        return 404, {}

    def is_fenced(self, rq):
        token = rq.get("fencingToken", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def carry_out_late(self, rq):
        """Carries out a start seconds later, by whatever incarnation has the
        id then."""
        delay = self.late[rq["task"]]
        self.left_unanswered = True
        self.lab.note(
            f"{self.name} leaves the start of {rq['task']} run {rq['run']} "
            f"unanswered and carries it out {delay} s later"
        )

        def carry_out():
            if not self.up:
                return
            status, answer = (
                (409, {"reason": "fence"}) if self.is_fenced(rq) else self.start(rq)
            )
            self.lab.note(
                f"{self.name} carries out the late start of {rq['task']}: "
                f"{status} {answer.get('reason', '')}"
            )

        asyncio.get_running_loop().call_later(delay, carry_out)

    def start(self, rq):
        task, run = rq["task"], rq["run"]
        there = self.runs.get(task)
        if there is not None and there["run"] == run:
            return self.reply(200)
        if there is not None or run <= self.highest.get(task, 0):
            self.extend(rq["deadlineMs"])
            return self.reply(409, reason="old")
        if rq["deadlineMs"] < self.clock_ms():
            return self.reply(409, reason="late")
        self.extend(rq["deadlineMs"])
        length = self.lab.length_of(task) / 1000
        loop = asyncio.get_running_loop()
        self.runs[task] = {
            "run": run,
            "began": time.monotonic(),
            "length": length,
            "end": loop.call_later(length, self.end_run, task, "done"),
        }
        self.lab.run_began(self, task, run, rq["spec"])
        return self.reply(200)

    def stop(self, rq):
        task, run = rq["task"], rq["run"]
        there = self.runs.get(task)
        self.highest[task] = max(self.highest.get(task, 0), run)
        if there is not None and there["run"] <= run:
            loop = asyncio.get_running_loop()
            began = self.began

            def stopped():
                if self.began == began and self.runs.get(task) is there:
                    self.end_run(task, "stopped")

            loop.call_later(STOP_MS / 1000, stopped)
        return self.reply(200)

    async def hold(self, rq, born):
        self.ends = [e for e in self.ends if e[0] > rq["lastSeen"]]
        if "deadlineMs" in rq:
            self.extend(rq["deadlineMs"])
        if rq.get("waitMs") and not self.ends:
            try:
                await asyncio.wait_for(
                    self.changed.wait(), rq["waitMs"] / 1000
                )
            except TimeoutError:
                pass
        if born != self.born or not self.up:
            return None
        running = []
        for task, run in self.runs.items():
            share = (time.monotonic() - run["began"]) / run["length"]
            running.append([task, run["run"], "", min(99, int(100 * share)), 1000])
        return self.reply(200, running=running, ended=self.ends[:500])


# proxies


class Proxy:
    """Passes bytes between connections. hold() keeps all bytes back until
    release(), as a partition that heals does; silence() keeps what is open
    silent for good, while new connections work."""

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.flowing = asyncio.Event()
        self.flowing.set()
        self.silent = set()
        self.pairs = set()
        self.listener = None

    async def open(self):
        self.listener = await asyncio.start_server(self.serve, *self.address)

    def hold(self):
        self.flowing.clear()

    def release(self):
        self.flowing.set()

    def silence(self):
        """Silences what is open; returns the number of connections."""
        self.silent |= self.pairs
        return len(self.pairs)

    async def serve(self, reader, writer):
        await self.flowing.wait()
        try:
            there_reader, there_writer = await asyncio.open_connection(
                *self.target
            )
        except OSError:
            writer.transport.abort()
            return
        pair = object()
        self.pairs.add(pair)

        async def pump(source, sink):
            try:
                while True:
                    data = await source.read(65536)
                    if pair in self.silent:
                        await asyncio.Event().wait()
                    await self.flowing.wait()
                    if not data:
                        break
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, OSError):
                pass

        pumps = [
            asyncio.create_task(pump(reader, there_writer)),
            asyncio.create_task(pump(there_reader, writer)),
        ]
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for p in pumps:
            p.cancel()
        self.pairs.discard(pair)
        writer.close()
        there_writer.close()


# When TCP sends unacknowledged bytes again: after 200 ms, doubled each time.
SENT_AGAIN_S = [0.0, 0.2, 0.6, 1.4, 3.0, 6.2]
ROUND_TRIP_S = 0.006  # kst-pall: "3 ms to clients", one way


class LossyPath:
    """The way to a machine that receives nothing while it is suspended. What is
    sent to it meanwhile is lost, and sent again by TCP."""

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.suspended_until = 0.0

    async def open(self):
        self.listener = await asyncio.start_server(self.serve, *self.address)

    async def arrive(self):
        """Waits until a segment that is sent now arrives. Returns whether it
        was lost at first."""
        sent = asyncio.get_running_loop().time()
        for delay in SENT_AGAIN_S:
            if sent + delay >= self.suspended_until:
                await asyncio.sleep(delay)
                return delay > 0
        raise CannotRun("suspended for too long")

    async def serve(self, reader, writer):
        there_reader, there_writer = await asyncio.open_connection(*self.target)
        forward = asyncio.create_task(self.forward(reader, there_writer))
        try:
            while data := await there_reader.read(65536):
                writer.write(data)
        except OSError:
            pass
        writer.close()
        await forward

    async def forward(self, reader, there_writer):
        data = b" "
        while data:
            try:
                data = await reader.read(65536)
            except OSError:
                data = b""  # the end of the connection
            lost = await self.arrive()
            if not data:
                break
            there_writer.write(data)
            await there_writer.drain()
            if lost:
                # What is behind a segment that was sent again follows when
                # that has been acknowledged.
                await asyncio.sleep(ROUND_TRIP_S)
        there_writer.close()


# the laboratory


class Lab:
    """Processes, stand-ins and the record of one script."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.folder = pathlib.Path(folder)
        self.scratch = pathlib.Path(tempfile.mkdtemp(prefix="agatebank-"))
        self.record = (self.folder / "record.txt").open("w")
        self.processes = {}
        self.lengths = {}
        self.running = {}  # by task: set of (worker, run)
        self.starts = []  # (ms, worker id, labels, task, run)
        self.overlaps = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM.relative_to(ROOT)} is not built")

    def ms(self):
        return int((time.monotonic() - self.began) * 1000)

    def note(self, text):
        self.record.write(f"{self.ms():7d} {text}\n")
        self.record.flush()

    # runs

    def length_of(self, task):
        return self.lengths.get(task.split(".")[0], 60)

    def run_began(self, worker, task, run, spec):
        self.note(f"{worker.name} ({worker.id}) starts {task} run {run}")
        self.starts.append(
            (self.ms(), worker.id, list(worker.labels), task, run)
        )
        others = self.running.setdefault(task, set())
        if others:
            self.overlaps.append((task, worker.name, run, sorted(others)))
            self.note(f"  {task} runs elsewhere too: {sorted(others)}")
        others.add((worker.name, run))

    def run_ended(self, worker, task, run, how):
        self.note(f"{worker.name} ({worker.id}) ends {task} run {run}: {how}")
        self.running.get(task, set()).discard((worker.name, run))

    # processes

    def start(self, name, role, settings, max_fds=None):
        """Starts a program with the command of the deploy file, with as many
        descriptors as the deployment grants it, if they are stated."""

        def limit():
            if max_fds is not None:
                resource.setrlimit(resource.RLIMIT_NOFILE, (max_fds, max_fds))

        path = self.scratch / f"{name}.json"
        path.write_text(settings)
        log = (self.scratch / f"{name}.log").open("a")
        self.processes[name] = subprocess.Popen(
            [str(PROGRAM), role, "--config", str(path)],
            cwd=ROOT,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            preexec_fn=limit,
        )
        self.note(f"{name} started as agatebankd {role}")

    def signal(self, name, number):
        self.note(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def log_of(self, name):
        return (self.scratch / f"{name}.log").read_text()

    def end(self):
        for p in self.processes.values():
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
        for p in self.processes.values():
            p.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.scratch)
        else:
            shutil.rmtree(self.scratch, ignore_errors=True)
        self.record.close()


def route(prefix, **more):
    return {
        "name": "r" + prefix.strip("/"),
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "unsafe",
        "timeoutMs": 1500,
        "targetLatencyMs": 60,
        "priority": 0,
        "service": "desk",
        "maxAttempts": 3,
        "stretch": 1.6,
        **more,
    }


def configuration(version, prefixes):
    return {
        "version": version,
        "routes": [route(p) for p in prefixes],
        "services": [{"name": "desk", "enforcesCapacity": True}],
        "limits": {},
    }


class Cluster:
    """Entries and agents with a worker each, in the form of a small site."""

    def __init__(self, lab, entries=3, agents=4, labels=None, link_proxy=False,
                 store_proxy=False, max_fds=None):
        self.max_fds = max_fds  # of each entry
        self.lab = lab
        self.entries = entries
        self.agents = agents
        self.labels = labels or [["a", f"r1-{i // 3}"] for i in range(agents)]
        self.link_proxy = link_proxy
        self.store_proxy = store_proxy
        names = [self.entry_ip(i) for i in range(entries)]
        names += [self.seen_ip(i) for i in range(entries)]
        names += [self.agent_ip(i) for i in range(agents)]
        names += ["127.0.34.1", "127.0.41.1", "127.0.42.1"]
        ports = free_ports(names, 7)
        (self.front, self.readiness, self.control, self.link, self.app,
         self.store_port, self.metrics) = ports
        self.store = Store(lab, ("127.0.41.1", self.store_port))
        self.store_relay = Proxy(
            ("127.0.42.1", self.store_port), ("127.0.41.1", self.store_port)
        )
        self.link_relays = [
            Proxy((self.seen_ip(i), self.link), (self.entry_ip(i), self.link))
            for i in range(entries)
        ]
        self.workers = [
            Worker(
                lab,
                f"worker-{i}",
                (self.agent_ip(i), self.app),
                (self.agent_ip(i), self.control),
                self.labels[i],
            )
            for i in range(agents)
        ]

    def entry_ip(self, i):
        return f"127.0.31.{i + 1}"

    def seen_ip(self, i):
        """Where others reach an entry's links."""
        return f"127.0.32.{i + 1}" if self.link_proxy else self.entry_ip(i)

    def agent_ip(self, i):
        return f"127.0.33.{i + 1}"

    def fields(self, name, ip):
        seeds = [
            f"{self.seen_ip(i)}:{self.control}"
            for i in range(min(3, self.entries))
        ]
        store_ip = "127.0.42.1" if self.store_proxy else "127.0.41.1"
        return {
            "nodeName": name,
            "zone": "z1",
            "ip": ip,
            "seeds": seeds,
            "internalPorts": [self.link, self.link],
            "limits": {"cpuShare": 0.25},
            "listenAddrs": {
                "front": f"{ip}:{self.front}",
                "readiness": f"{ip}:{self.readiness}",
                "control": f"{ip}:{self.control}",
            },
            "platform": {"address": f"{store_ip}:{self.store_port}"},
            "bounds": {"farFactor": 1.5, "maxHoldMs": MAX_HOLD_MS},
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "app": f"{ip}:{self.app}",
        }

    def start_entry(self, i):
        text = fill_in("entry.json.in", self.fields(f"entry-{i}", self.entry_ip(i)))
        settings = json.loads(text)
        # The metrics port is the same in both templates; agents and entries
        # have addresses of their own here.
        settings["node"]["metrics"] = f"{self.entry_ip(i)}:{self.metrics}"
        if self.link_proxy:
            settings["node"]["advertised_address"] = self.seen_ip(i)
        self.lab.start(
            f"entry-{i}", "entry", json.dumps(settings), self.max_fds
        )

    def start_agent(self, i):
        text = fill_in("agent.json.in", self.fields(f"agent-{i}", self.agent_ip(i)))
        settings = json.loads(text)
        settings["node"]["metrics"] = f"{self.agent_ip(i)}:{self.metrics}"
        self.lab.start(f"agent-{i}", "agent", json.dumps(settings))

    async def begin(self, prefixes=("/q/",)):
        await self.store.server.open()
        self.store.write("config", configuration(1, prefixes))
        if self.store_proxy:
            await self.store_relay.open()
        if self.link_proxy:
            for relay in self.link_relays:
                await relay.open()
        for i in range(self.entries):
            self.start_entry(i)
        for i in range(self.agents):
            self.start_agent(i)
        for worker in self.workers:
            await worker.begin()
        for i in range(self.entries):
            for _ in range(100):
                status, _ = await call(
                    (self.entry_ip(i), self.readiness), "GET", "/v1/readiness"
                )
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun(f"entry-{i} is not ready")
        await asyncio.sleep(2.5)
        self.lab.note("all entries are ready")

    # clients

    async def submit(self, entry, job, steps, length_ms=60, deadline_ms=1500,
                     prefix="/q/", limit_s=None, quiet=False):
        """Sends a job and waits until its client leaves."""
        note = (lambda _: None) if quiet else self.lab.note
        self.lab.lengths[job] = length_ms
        body = {"spec": "x" * 40, "bestEffort": True, "steps": steps}
        note(f"POST {prefix}{job} to entry-{entry}")
        status, document = await call(
            (self.entry_ip(entry), self.front), "POST", prefix + job, body,
            {"Deadline-Ms": str(deadline_ms)}, limit_s or deadline_ms / 1000,
        )
        note(f"  POST {prefix}{job}: {status} {document}")
        return status, document


def run(folder, case):
    """Runs a case: case(lab) returns True if the rule was broken."""

    async def bounded():
        # Connections that are cut off raise in tasks that nobody waits for.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        async with asyncio.timeout(116):
            return await case(lab)

    def on_term(*_):
        raise CannotRun("told to stop")

    signal.signal(signal.SIGTERM, on_term)
    lab = None
    code = 2
    try:
        lab = Lab(folder)
        lab.note("with the disruption" if lab.trouble else "without the disruption")
        loop = asyncio.new_event_loop()
        broken = loop.run_until_complete(bounded())
        lab.note("the rule was broken" if broken else "the rule held")
        print("the rule was broken" if broken else "the rule held")
        code = 1 if broken else 0
    except Exception as e:  # whatever it is, the rule wasn't judged
        print(f"the case couldn't run: {e!r}")
    finally:
        if lab is not None:
            lab.end()
    # Without the tasks of open connections, which would only complain.
    sys.stdout.flush()
    os._exit(code)
