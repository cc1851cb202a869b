"""TWICE: the progress row of a large job outgrows the store's rows; its tasks run again and again."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "platform"))
from standin import *  # noqa: E402,F403

TASKS = 3000           # of the large job; the smaller jobs of TROUBLE=0 have as many together
SMALL_TASKS = 100
MINIONS = 2
WATCH_S = 30           # ten times as long as the tasks take on these minions
MINION_CAPACITY = {"cpu": 32000, "mem_mb": 131072, "gpus": 0}


def graph(tasks):
    return {"spec": "count", "phases": [{"count": tasks, "cpu": 100, "mem_mb": 64,
                                         "estimated_ms": 500}]}


async def case(record, work, instances):
    store = Store(record)
    endpoint = await store.endpoint()
    minions = [Minion(record, store, f"m{index}", lambda task: 0.5, "repair-desk",
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
    sizes = [TASKS] if TROUBLE else [SMALL_TASKS] * (TASKS // SMALL_TASKS)
    jobs = [job_id() for _ in sizes]
    answers = await asyncio.gather(*(client.submit(job, graph(size))
                                     for job, size in zip(jobs, sizes)))
    jobs = [job for job, statuses in zip(jobs, answers) if statuses[-1] == 200]
    record.say(f"{len(jobs)} jobs with {TASKS} tasks together: accepted")
    if not jobs:
        return 2
    for second in range(WATCH_S):
        await asyncio.sleep(1)
        if second % 5 == 4:
            runs = sum(len(minion.history) for minion in minions)
            done = {entry[0] for minion in minions for entry in minion.history
                    if entry[5] == "done"}
            record.say(f"{runs} runs so far, {len(done)} of {TASKS} tasks have ended done")
        states = [(await client.state(job))[1] for job in jobs]
        if all(state == "completed" for state in states):
            record.say("all jobs are shown as completed")
            break
    record.say(f"states now: { {state: states.count(state) for state in set(states)} }; "
               f"the store refused {store.refused_rows} rows")
    for job, state in zip(jobs, states):
        if state != "completed":
            for _ in range(5):
                status, _ = await client.call("DELETE", job)
                if status in (200, 410):
                    break
            record.say(f"client cancels job {job}: {status}")
    await asyncio.sleep(4)
    overlapping, restarted = runs_twice(minions)
    runs = sum(len(minion.history) for minion in minions)
    again = {item[0] for item in restarted}
    record.say(f"{TASKS} tasks, {runs} runs; {len(again)} tasks started again after an end `done` "
               f"that was taken note of ({len(restarted)} such starts), "
               f"{len(overlapping)} starts beside another run of the task")
    return 1 if restarted or overlapping else 0


run_case(case, FOLDER)
