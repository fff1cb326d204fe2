"""A share of the clients leave before their answer. An entry that has served
them for a while must still answer the clients that wait.
"""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import lab3  # noqa: E402

MAX_FDS = 4100  # of a front machine of kst-pall and of swn-muehle
RATE = 140.7  # requests a second of the whole site swn-muehle
SHARE = 0.4  # of the clients that leave: the largest there
LEAVE_S = 0.1
WINDOW_S = 6  # as long as they leave there
PAUSE_S = 0.25
WINDOWS = 12.5
STEPS = [{"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 200}]


async def case(lab):
    c = lab3.Cluster(lab, entries=3, agents=6, max_fds=MAX_FDS)
    await c.begin()
    # Two of the three front machines are lost for good; the platform sends
    # the clients of their zones to the third.
    for i in (1, 2):
        lab.signal(f"entry-{i}", lab3.signal.SIGKILL)
    await asyncio.sleep(1)
    sent = 0

    async def traffic(seconds, share):
        """Returns the jobs of the clients that waited, and counts the rest."""
        nonlocal sent
        jobs = []
        left = 0
        loop = asyncio.get_running_loop()
        begin = loop.time()
        count = int(seconds * RATE)
        for n in range(count):
            await asyncio.sleep(max(0, begin + n / RATE - loop.time()))
            leaves = int((n + 1) * share) > int(n * share)
            left += leaves
            sent += 1
            jobs.append(
                asyncio.create_task(
                    c.submit(
                        0,
                        f"{sent:016x}",
                        STEPS,
                        length_ms=200,
                        limit_s=LEAVE_S if leaves else 1.5,
                    )
                )
            )
            jobs[-1].leaves = leaves
        await asyncio.gather(*jobs)
        waited = [j.result()[0] for j in jobs if not j.leaves]
        return waited, left

    def report(what, waited, left):
        answered = sum(s is not None for s in waited)
        served = sum(s == 200 for s in waited)
        pid = lab.processes["entry-0"].pid
        open_fds = len(os.listdir(f"/proc/{pid}/fd"))
        lab.note(
            f"{what}: {len(waited)} clients waited, {answered} were answered, "
            f"{served} with 200; {left} left; descriptors {open_fds}"
        )
        return answered

    waited, left = await traffic(3, 0)
    if report("before", waited, left) < 0.9 * len(waited):
        raise lab3.CannotRun("the entry doesn't serve before")
    windows = WINDOWS
    while windows > 0:
        part = min(1, windows)
        windows -= part
        waited, left = await traffic(
            part * WINDOW_S, SHARE if lab.trouble else 0
        )
        report("clients leave" if lab.trouble else "none leave", waited, left)
        await asyncio.sleep(PAUSE_S if windows > 0 else 2)
    lab.note("from here on, no client leaves before its deadline")
    waited, left = await traffic(4, 0)
    answered = report("after", waited, left)
    status, _ = await lab3.call(
        (c.entry_ip(0), c.readiness), "GET", "/v1/readiness", limit_s=1.0
    )
    alive = lab.processes["entry-0"].poll() is None
    lab.note(f"GET /v1/readiness: {status}; the process runs: {alive}")
    return answered < 0.1 * len(waited)


lab3.run(HERE, case)
