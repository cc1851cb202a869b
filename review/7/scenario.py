"""A gang that can't start while a service's lasting tasks run reserves the free capacity of all workers;
small jobs that fit beside both are accepted and never start."""
import asyncio, sys

from case import TROUBLE, FINISH_S, run
from stand_ins import config


async def scenario(case):
    queues = [{"name": "services", "priority": 1},
              {"name": "nightly", "priority": 1, "target_duration_ms": 30000},
              {"name": "batch", "priority": 1, "target_duration_ms": 500}]
    configuration = config(1, queues)
    for route in configuration["routes"]:
        route["stretch"] = 2.0
    workers = [("w%02d" % i, ["a", "r%d" % (i // 8)]) for i in range(8)]
    await case.start(configuration, workers)
    lasting = {"count": 8, "cpu": 14000, "mem_mb": 1000, "long_running": True, "max_per_server": 1}
    service = await case.submit("services", lasting, None)
    await asyncio.sleep(2)
    case.record("tasks at work:", len(case.runs_of(service)))
    batch = {"count": 2, "cpu": 1000, "mem_mb": 100, "estimated_ms": 1000}
    jobs = [await case.submit("batch", batch, 1.0, index) for index in range(20)]
    await asyncio.sleep(3)
    small = {"count": 4, "cpu": 1000, "mem_mb": 100, "gang": True, "estimated_ms": 500}
    for index in range(20):
        await case.submit("nightly", small, 0.5, index)
    await asyncio.sleep(3)
    if TROUBLE:
        large = {"count": 8, "cpu": 20000, "mem_mb": 1000, "gang": True, "estimated_ms": 4000}
        await case.submit("nightly", large, 4.0)
    for index in range(5):
        jobs.append(await case.submit("batch", batch, 1.0, index))
        await asyncio.sleep(0.3)
    await asyncio.sleep(FINISH_S)
    broken = await case.watch_lost([job for job in jobs if job], 40)
    return ["LOST: job %s has nothing running for %.1f s" % (job.id, job.longest_idle_s)
            for job in broken]


run(sys.argv[1], scenario)
