"""Two of thirty workers are lost for good. The lasting tasks that only they could run wait from then on;
jobs of a queue with advice that other workers could run at once are accepted and never start."""
import asyncio, sys

from case import TROUBLE, FINISH_S, run
from stand_ins import config

ADVICE = {"decide_ms": 49, "each_ms": 0.71, "valid_ms": 2500}


async def scenario(case):
    queues = [{"name": "services", "priority": 1},
              {"name": "batch", "priority": 2, "advice": ADVICE}]
    workers = [("w%02d" % i, ["b" if i < 2 else "a", "r%d" % (i // 8)]) for i in range(30)]
    await case.start(config(1, queues), workers, ADVICE)
    lasting = {"count": 520, "cpu": 100, "mem_mb": 100, "long_running": True, "node_selector": "b"}
    service = await case.submit("services", lasting, None)
    batch = {"count": 2, "cpu": 1000, "mem_mb": 100, "estimated_ms": 1000}
    before = [await case.submit("batch", batch, 1.0, index) for index in range(5)]
    await asyncio.sleep(6)
    case.record("tasks at work:", len(case.runs_of(service)))
    if TROUBLE:
        for id in ("w00", "w01"):
            case.record("worker", id, "is lost for good")
            await case.world.workers[id].stop()
        await asyncio.sleep(4.5)
        for id in ("w00", "w01"):
            # After three heartbeat intervals of silence the platform removes the entry.
            case.world.store.put("servers", id, None)
    else:
        await asyncio.sleep(4.5)
    await asyncio.sleep(6)
    after = [await case.submit("batch", batch, 1.0, index) for index in range(5)]
    await asyncio.sleep(FINISH_S)
    jobs = [job for job in before + after if job]
    broken = await case.watch_lost(jobs, 6)
    return ["LOST: job %s has nothing running for %.1f s" % (job.id, job.longest_idle_s)
            for job in broken]


run(sys.argv[1], scenario)
