"""LOST: an odd entry among those of the minions stops all commits and all recovery of the cell."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "platform"))
from standin import *  # noqa: E402,F403

MINIONS = 8
TRAFFIC_S = 12
TROUBLE_AT_S = 4
FINISH_S = 14          # bounds.finish_s
CAPACITY = {"cpu": 32000, "mem_mb": 131072, "gpus": 0}
STEP = {"count": 2, "cpu": 2000, "mem_mb": 1024, "estimated_ms": 700}
BODY = {"spec": "order", "phases": [STEP, {**STEP, "after": [0]}, {**STEP, "after": [1]}]}
TASKS = 6


def odd_entry():
    """An entry of another writer: its service is none that is named, and is a long text. The whole
    entry is smaller than `row_bytes`, so that the store takes it."""
    entry = {"service": "x" * 65200, "address": f"{HOST}:{free_ports(1)[0]}", "zone": "z1",
             "version": "1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
             "capacity": CAPACITY, "labels": ["a", "r1-0"], "born": int(time.time() * 1000)}
    return json.dumps(entry).encode()


async def case(record, work, instances):
    store = Store(record)
    endpoint = await store.endpoint()
    minions = [Minion(record, store, f"m{index}", lambda task: 0.7, "repair-desk", CAPACITY,
                      ["a", f"r1-{index // 4}"]) for index in range(MINIONS)]
    store.write("op", "", "config", configuration([route()]))
    for minion in minions:
        minion.needs = lambda task: (STEP["cpu"], STEP["mem_mb"])
        await minion.start()
    instances += [Instance(work, f"frontend-{index}", endpoint.port) for index in range(3)]
    for instance in instances:
        instance.start()
    if not await wait_ready(instances):
        return 2
    await asyncio.sleep(2)
    client = Client(record, instances, "desk.example", "/desk/")
    accepted, not_accepted, began = [], [], record.now()

    async def hand_in():
        job = job_id()
        statuses = await client.submit(job, BODY)
        (accepted if statuses[-1] == 200 else not_accepted).append(job)

    async def trouble():
        await asyncio.sleep(TROUBLE_AT_S)
        entry = odd_entry()
        if TROUBLE:
            store.write("servers", "", "odd", entry)
            record.say(f"another writer leaves the entry `odd` of {len(entry)} bytes")

    pending = [asyncio.ensure_future(trouble())]
    while record.now() - began < TRAFFIC_S:
        pending.append(asyncio.ensure_future(hand_in()))
        await asyncio.sleep(0.25)
    await asyncio.gather(*pending)
    record.say(f"end of traffic: {len(accepted)} jobs accepted, {len(not_accepted)} not")
    if not accepted:
        return 2
    await asyncio.sleep(FINISH_S)

    # Jobs are asked for; then each accepted job is watched for 3 s.
    starts = lambda: sum(len(minion.history) for minion in minions)
    runs_of = lambda: {entry[0][:16] for minion in minions for entry in minion.history
                       if entry[4] is None or time.monotonic() - entry[4] < 3}
    unanswered, states = [], {}
    for job in accepted:
        for _ in range(3):
            status, state = await client.state(job)
            if status in (200, 410):
                break
        if status != 200:
            unanswered.append((job, status))
        states[job] = state
    await asyncio.sleep(3.2)
    ran_lately = runs_of()
    done = lambda job: len({entry[0] for minion in minions for entry in minion.history
                            if entry[0].startswith(job) and entry[5] == "done"})
    busy = sum(len(minion.running) for minion in minions)
    room = sum(minion.capacity["cpu"] for minion in minions)
    in_use = sum(minion.needs(task)[0] for minion in minions for task in minion.running)
    stalled = [] if in_use * 2 > room else [job for job in accepted if done(job) < TASKS and job not in ran_lately
               and states[job] not in ("completed", "failed", "cancelled")]
    for job in stalled[:3]:
        record.say(f"LOST: job {job} is shown as {states[job]}; {done(job)} of its {TASKS} tasks "
                   "have ended done, and none has run for 3 s")
    record.say(f"{len(accepted)} accepted jobs, {starts()} starts: {len(unanswered)} without an "
               f"answer, {len(stalled)} with a task whose turn has come and nothing running; "
               f"{busy} tasks run on {MINIONS} minions; the store refused "
               f"{store.refused_rows} rows")
    return 1 if unanswered or stalled else 0


run_case(case, FOLDER)
