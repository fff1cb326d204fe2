"""An entry's machine is suspended for two seconds. A job that a client sent to
it on an open connection is lost meanwhile and sent again by TCP a second after
the machine woke up, with the end of the connection one round trip behind it. By
then the client has submitted the job to another entry.
"""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import lab3  # noqa: E402

SUSPENDED_S = 2.0
DEADLINE_S = 1.5
RETRY_S = 1.3  # retryMs
LENGTH_MS = 900
STEPS = [{"count": 1, "cpu": 3100, "memMb": 64, "estimateMs": LENGTH_MS}]


class Client:
    """A client that keeps its connection open between its jobs."""

    def __init__(self, lab, address):
        self.lab = lab
        self.address = address

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(*self.address)

    async def post(self, job):
        self.lab.lengths[job] = LENGTH_MS
        body = lab3.json.dumps(
            {"spec": "x" * 40, "bestEffort": True, "steps": STEPS}
        ).encode()
        head = (
            f"POST /q/{job} HTTP/1.1\r\nHost: {lab3.HOST}\r\n"
            f"Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        self.lab.note(f"POST /q/{job} to entry-0 on the open connection")
        self.writer.write(head + body)
        try:
            async with asyncio.timeout(DEADLINE_S):
                got = await lab3.read_message(self.reader)
        except TimeoutError:
            got = None
        if got is None:
            self.lab.note(f"  POST /q/{job}: no answer, the client leaves")
            self.writer.close()
            return None
        status = int(got[0].split()[1])
        self.lab.note(f"  POST /q/{job}: {status}")
        return status


async def case(lab):
    c = lab3.Cluster(lab, entries=3, agents=4)
    await c.begin()
    path = lab3.LossyPath(("127.0.34.1", c.front), (c.entry_ip(0), c.front))
    await path.open()
    for n in range(3):
        await attempt(lab, c, path, n)
        await asyncio.sleep(3)
    for task, worker, run, others in lab.overlaps:
        lab.note(
            f"TWICE: {task} began as run {run} on {worker} while it ran on "
            + ", ".join(f"{w} as run {r}" for w, r in others)
        )
    return bool(lab.overlaps)


async def attempt(lab, c, path, n):
    loop = asyncio.get_running_loop()
    client = Client(lab, path.address)
    await client.connect()
    if await client.post(f"{0xA0 + n:016x}") != 200:
        raise lab3.CannotRun("a job isn't served before")
    job = f"{0xC000 + n:016x}"
    if lab.trouble:
        lab.signal("entry-0", signal.SIGSTOP)
        path.suspended_until = loop.time() + SUSPENDED_S
        loop.call_later(
            SUSPENDED_S, lab.signal, "entry-0", signal.SIGCONT
        )
    await asyncio.sleep(0.02)
    if await client.post(job) is None:
        await asyncio.sleep(RETRY_S)
        await c.submit(1, job, STEPS, length_ms=LENGTH_MS)


lab3.run(HERE, case)
