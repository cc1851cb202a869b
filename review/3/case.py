"""TWICE: the store is down for some seconds; tasks that have ended `done` are run again."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "platform"))
from standin import *  # noqa: E402,F403

MINIONS = 2
DOWN_S = 4.5           # platform_down, as in the site file's troubles
JOBS = 12
TASKS = 200
MINION_CAPACITY = {"cpu": 32000, "mem_mb": 131072, "gpus": 0}


async def case(record, work, instances):
    store = Store(record)
    endpoint = await store.endpoint()
    minions = [Minion(record, store, f"m{index}", lambda task: 0.9, "repair-desk",
                      MINION_CAPACITY, ["a", "r1-0"]) for index in range(MINIONS)]
    store.write("op", "", "config", configuration([route()]))
    for minion in minions:
        await minion.start()
    instances += [Instance(work, f"frontend-{index}", endpoint.port) for index in range(3)]
    for instance in instances:
        instance.start()
    if not await wait_ready(instances):
        return 2
    await asyncio.sleep(2)
    client = Client(record, instances, "desk.example", "/desk/")
    body = {"spec": "count", "phases": [{"count": TASKS, "cpu": 100, "mem_mb": 64,
                                         "estimated_ms": 900}]}
    jobs = [job_id() for _ in range(JOBS)]
    statuses = await asyncio.gather(*(client.submit(job, body) for job in jobs))
    accepted = [job for job, answers in zip(jobs, statuses) if answers[-1] == 200]
    record.say(f"{len(accepted)} jobs of {TASKS} tasks accepted")
    if TROUBLE:
        record.say("the store is down (503)")
        store.down = "busy"
        await asyncio.sleep(DOWN_S)
        store.down = None
        record.say("the store is back")
    else:
        await asyncio.sleep(DOWN_S)
    for _ in range(60):
        states = [(await client.state(job))[1] for job in accepted]
        if all(state == "completed" for state in states):
            break
        await asyncio.sleep(0.5)
    await asyncio.sleep(3)
    overlapping, restarted = runs_twice(minions)
    total = sum(len(minion.history) for minion in minions)
    done = sum(entry[5] == "done" for minion in minions for entry in minion.history)
    for item in restarted[:5]:
        record.say("started after its end `done` was taken note of: task {} first on {} run {}, "
                   "again on {} run {}".format(*item))
    record.say(f"{len(accepted) * TASKS} tasks, {total} runs, {done} ends `done`; "
               f"{len(restarted)} starts after `done`, {len(overlapping)} beside another run")
    return 1 if restarted or overlapping else 0


run_case(case, FOLDER)
