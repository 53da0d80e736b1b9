"""Machines fail every task that they start, and recover: does a job that met them run then?"""
import asyncio, os, sys, time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import *
from sites import *

WAITING_S = 90.0  # kit/more/hunt/LATER.md
SICK_S = 5.0


async def case(make, trouble):
    site = make(KOLKATA_HUNT_SETTINGS, KOLKATA_FLAVORS, [KOLKATA[i % 2] for i in range(3)],
                [("dispatch", 0.0), ("florists", 0.0)])
    await site.start()
    for zone in KOLKATA:  # up at the start
        await site.cloud.create("mala", zone, False, age=100.0, boot=0.0)
    for i in range(3):
        await site.launch(i)
    await site.wait_ready()
    await asyncio.sleep(2.0)
    desk, batch, late = "j-000101", "j-000102", "j-000103"
    await site.submit(site.job(desk, crew="florists", manner="standing", rank="prod", guess_s=0.0, pieces=2,
                               apart=True))
    await site.wait_for(lambda: len(site.running(desk)) == 2, 30.0, "the replicas run")
    await asyncio.sleep(3.0)
    def up():
        return [h["worker"] for h in site.cloud.hosts.values() if h["gone"] is None and h["worker"].alive
                and h["up"] <= time.monotonic()]
    sick = up()
    if len(sick) != 2:
        raise CannotRun(f"{len(sick)} machines are up")
    if trouble:
        for w in sick:
            w.set_sick(True)
    # A job like those of route-batch.
    job = site.job(batch, lot="route-batch", pieces=12, cpus=4.0, memory_gb=9.3, run_s=15.0, loaners=True, mark_s=15.0,
                   stow_s=3.0)
    await site.submit(job)
    # And a service like those of order-desk.
    service = site.job(late, crew="florists", manner="standing", rank="prod", guess_s=0.0, pieces=2, apart=True)
    await site.submit(service)
    await asyncio.sleep(SICK_S)
    for w in sick:
        if w.sick:
            w.set_sick(False)
    site.record("the trouble is over")
    over = time.monotonic()
    def room(w, job):
        live = [site.jobs[k[0].split("/")[0]] for k, t in w.tasks.items() if t[0] != "exited"]
        return all(w.size[f] - sum(j[f] for j in live) >= job[f] for f in ("cpus", "memory_gb"))
    def begun(ref):  # a task of it is on a machine, or on its way there
        return any(k[0].split("/")[0] == ref and t[0] != "exited" for w in up() for k, t in w.tasks.items())
    waiting_since, stages, polled = {batch: over, late: over}, {}, 0.0
    while time.monotonic() < over + WAITING_S + 2.0:
        if time.monotonic() > polled + 5.0:  # as users do
            polled = time.monotonic()
            for ref in waiting_since:
                _, answer = await site.user("GET", f"/submissions/{ref}", limit=2.0)
                if isinstance(answer, dict) and "stage" in answer:
                    stages[ref] = answer["stage"]
        for ref in waiting_since:
            if stages.get(ref) == "done" or begun(ref) or not any(room(w, site.jobs[ref]) for w in up()):
                waiting_since[ref] = time.monotonic()
        await asyncio.sleep(0.2)
    return [f"left waiting: {ref} ({stages.get(ref)}) has had no task on any machine for {time.monotonic() - since:.0f} s, "
            f"the limit is {WAITING_S:.0f} s; {[w.name for w in up() if room(w, site.jobs[ref])]} have room and its team "
            f"has no limit" for ref, since in waiting_since.items() if time.monotonic() - since > WAITING_S]


main(os.path.dirname(os.path.abspath(__file__)), case)
