"""TWICE: a leader that is cut off from the store and its peers goes on extending the lease of a
minion that its successor cannot reach, and the successor runs the minion's task elsewhere."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "platform"))
from standin import *  # noqa: E402,F403

INSTANCES = 4
MINIONS = 5
CORE_CUT_S = 5.5       # core_cut: `for_s` in the site file's troubles
SRV_CUT_S = 5.0        # srv_cut: the default of `for_s`; one of five minions, one of four machines
TASK_S = 20.0
CAPACITY = {"cpu": 32000, "mem_mb": 131072, "gpus": 0}


async def case(record, work, instances):
    store = Store(record)
    minions = [Minion(record, store, f"m{index}", lambda task: TASK_S, "repair-desk", CAPACITY,
                      ["a", f"r1-{index // 2}"], paths=INSTANCES) for index in range(MINIONS)]
    store.write("op", "", "config", configuration([route()]))
    for minion in minions:
        await minion.start()
    by_name = {minion.name: minion for minion in minions}
    links, endpoints = [], []
    for index in range(INSTANCES):
        # Each instance has paths of its own to the store and to each minion.
        def view(key, entry, index=index):
            if key in by_name:
                entry["address"] = f"{HOST}:{by_name[key].ports[index]}"
            return entry
        endpoints.append(await store.endpoint(view))
        links.append(Link())
        await links[index].start()
    shares = [0.25, 0.25] + [0.18] * (INSTANCES - 2)
    instances += [Instance(work, f"frontend-{index}", endpoints[index].port, shares[index],
                           links[index]) for index in range(INSTANCES)]
    instances[0].start()
    if not await wait_ready(instances[:1]):
        return 2
    for instance in instances[1:]:
        instance.start()
    if not await wait_ready(instances):
        return 2
    await asyncio.sleep(2)
    if leader_of(instances) is not instances[0]:
        record.say("another instance than the first leads")
        return 2
    client = Client(record, instances[1:], "desk.example", "/desk/")
    job = job_id()
    statuses = await client.submit(job, {"spec": "order", "phases": [
        {"count": MINIONS, "cpu": 14000, "mem_mb": 2048, "estimated_ms": int(TASK_S * 1000)}]})
    await asyncio.sleep(1.5)
    at_work = [minion for minion in minions if minion.running]
    if statuses[-1] != 200 or not at_work:
        record.say("the tasks don't run as planned")
        return 2
    victim = at_work[0]
    record.say(f"job {job} is accepted; its {MINIONS} tasks run, {len(victim.running)} of them on "
               f"{victim.name}")

    def leader_row():
        row = store.rows.get(("leader", "cell", "cell"))
        return row["ver"] if row else 0

    claimed = leader_row()

    def cut_core(cut):
        endpoints[0].silent = cut
        links[0].cut = cut
        for link in links[1:]:
            link.banned = f"{HOST}:{links[0].port}" if cut else None

    if TROUBLE:
        cut_core(True)
        record.say("the leader is cut off from the store and from the other instances")
        core_back_at = record.now() + CORE_CUT_S
        while leader_row() == claimed and record.now() < core_back_at:
            await asyncio.sleep(0.001)
        successor = 1
        victim.servers[successor].silent = True
        srv_back_at = record.now() + SRV_CUT_S
        record.say(f"another instance has claimed the epoch; {victim.name} loses its path to "
                   f"{instances[successor].name}")
        while record.now() < srv_back_at:
            await asyncio.sleep(0.01)
            if record.now() >= core_back_at and endpoints[0].silent:
                cut_core(False)
                record.say("the former leader has its paths back")
        victim.servers[successor].silent = False
        record.say(f"{victim.name} has its path back")
        cut_core(False)
    else:
        await asyncio.sleep(CORE_CUT_S + 1)
    await asyncio.sleep(8)
    last = leader_of(instances)
    record.say(f"leader now: {last.name if last else None}")
    if TROUBLE and last is not instances[1]:
        record.say("another instance than planned took over, which reached all minions")
        return 2
    overlapping, restarted = runs_twice(minions)
    for item in overlapping:
        record.say("TWICE: task {} runs on {} (run {}) and on {} (run {}) at once, for {:.3f} s"
                   .format(*item))
    lapsed = sum(entry[5] == "lapsed" for minion in minions for entry in minion.history)
    record.say(f"{len(overlapping)} runs beside another run of the task, {lapsed} lapsed leases")
    return 1 if overlapping or restarted else 0


run_case(case, FOLDER)
