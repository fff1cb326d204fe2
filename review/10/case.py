"""A worker numbers its heartbeats by its clock in milliseconds, so that the
number increases with each call, by about 1,480. It drains, which the agent
acknowledges and doesn't follow for two further heartbeats."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))
import cluster as cl  # noqa: E402

cl.HEARTBEAT_MS = 1480  # approximately heartbeatMs, 1,500
DRAIN_S = cl.BOUNDS["drainMs"] / 1000
LEAVE_AFTER_S = 3.2  # drainMs and a little longer
# It drains from the heartbeat on that follows this many acknowledged ones.
DRAINS_AT = 4
JOB_SPACING_S = 0.03


class ClockedWorker(cl.Worker):
    """Its sequence is its clock."""

    async def announce(self):
        if cl.trouble():
            self.sequence = self.clock() - 1
        await super().announce()


async def case(c):
    worker = c.workers[0]
    acknowledged = []  # (time, state) of the heartbeats answered with 2xx
    drained = asyncio.Event()

    def on_heartbeat(state, status):
        c.record(f"worker {worker.id}: heartbeat {worker.sequence}, {state}, "
                 f"answered {status}")
        if 200 <= status < 300:
            acknowledged.append((c.record.now(), state))
            if len(acknowledged) == DRAINS_AT:
                worker.state = "draining"
            if state == "draining":
                drained.set()

    worker.on_heartbeat = on_heartbeat
    await c.start()
    end = asyncio.Event()
    tasks = []

    async def load():
        while not end.is_set():
            tasks.append(asyncio.create_task(
                c.post(0, cl.job_id(), [cl.step(6, 60)])))
            await asyncio.sleep(JOB_SPACING_S)

    loading = asyncio.create_task(load())
    await asyncio.wait_for(drained.wait(), 30)
    since = next(t for t, state in acknowledged if state == "draining")
    c.record(f"it is acknowledged that worker {worker.id} drains")
    await asyncio.sleep(LEAVE_AFTER_S)
    status, _ = await cl.call(worker.agent, "POST",
                              f"/v1/instances/{worker.id}/deregister", {}, {})
    c.record(f"worker {worker.id}: deregister answered {status}")
    worker.crash()
    end.set()
    await asyncio.gather(loading, *tasks)
    return [f"{name} was told to start {task} run {run} {at - since:.3f} s "
            f"after it was acknowledged that it drains"
            for at, what, task, run, name, _ in c.events
            if what == "start" and name == worker.id
            and at > since + DRAIN_S]


cl.Worker = ClockedWorker
cl.main(__file__, case, entries=1, agents=4)
