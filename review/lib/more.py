"""Scenes that are not cases: faults that REPORT.md names beside the three cases.

usage: more.py silent|silent-accepts|cloud|small-tasks   (TROUBLE=0: without the disruption)
Exit code as of a case. The record goes to the temporary folder that is printed.
"""
import asyncio, os, sys, tempfile, time
sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from standins import *
from sites import *


async def silent(make, trouble, accepts=False):
    """A machine with a cancelled task hangs whole; all controllers end once in an outage of the state service."""
    s = KOLKATA_HUNT_SETTINGS
    site = make(s, KOLKATA_FLAVORS, [KOLKATA[i % 2] for i in range(3)], [("dispatch", 0.0)])
    await site.start()
    for n in range(10):
        await site.cloud.create("kuri", KOLKATA[n % 2], False, age=100.0, boot=0.0)
    for i in range(3):
        await site.launch(i)
    await site.wait_ready()
    await asyncio.sleep(2.0)
    ref, other = "j-000101", "j-000102"
    await site.submit(site.job(other, manner="standing", rank="prod", guess_s=0.0, pieces=8, cpus=6.0, apart=True))
    await site.submit(site.job(ref, manner="standing", rank="prod", guess_s=0.0, pieces=1, cpus=6.0))
    await site.wait_for(lambda: site.running(ref) and len(site.running(other)) == 8, 40.0, "the replicas run")
    (name, _), = site.present[ref + "/0"].keys()
    await asyncio.sleep(8.0)
    site.cloud.hosts[name]["worker"].hang(accepts)
    await asyncio.sleep(0.2)
    _, answer = await site.until_answer("POST", f"/submissions/{ref}/abort")
    told = time.monotonic()
    if trouble:
        await asyncio.sleep(1.0)
        site.state.set_outage(True)
        await asyncio.sleep(1.0)
        for i in range(3):
            await site.kill(i)
        await asyncio.sleep(s["restart_s"])
        for i in range(3):
            await site.launch(i)
    await asyncio.sleep(told + s["cancel_s"] + 1.0 - time.monotonic())
    return [f"ran_cancelled: {t} {time.monotonic() - told:.1f} s after its user was told" for t in site.running(ref)]


async def cloud(make, trouble):
    """All controllers end once while the cloud is in trouble; a job is cancelled."""
    s = KOLKATA_SETTINGS
    site = make(s, KOLKATA_FLAVORS, [KOLKATA[i % 2] for i in range(3)], [("dispatch", 0.0)])
    await site.start()
    for zone in KOLKATA:
        await site.cloud.create("mala", zone, False, age=100.0, boot=0.0)
    for i in range(3):
        await site.launch(i)
    await site.wait_ready()
    await asyncio.sleep(1.0)
    a, b, c = "j-000101", "j-000102", "j-000103"
    for ref in (a, b, c):
        await site.submit(site.job(ref, manner="standing", rank="prod", guess_s=0.0, pieces=2, apart=True))
    await site.wait_for(lambda: all(len(site.running(r)) == 2 for r in (a, b, c)), 30.0, "the replicas run")
    site.cloud.out = trouble
    for i in range(3):
        await site.kill(i)
    await asyncio.sleep(s["restart_s"])
    for i in range(3):
        await site.launch(i)
    await site.wait_ready()
    begun, answered, n = time.monotonic(), {a: 0, b: 0, c: 0}, 0
    while time.monotonic() < begun + 92.0:
        n += 1
        if (await site.user("POST", f"/submissions/{a}/abort", at=n % 3))[0] == 200:
            return []
        for ref in answered:
            answered[ref] += (await site.user("GET", f"/submissions/{ref}", at=(n + 1) % 3, limit=2.0))[0] == 200
        await asyncio.sleep(3.0)
    return [f"forgotten: for 92 s all {n} polls for {a} fail, {answered} of {n} for each were answered"] \
        if answered[a] == 0 and answered[b] > n / 2 else []


async def small_tasks(make, trouble):
    """An array of 2,500 tasks of 0.02 CPUs on a machine with 64; 250 without the trouble."""
    site = make(BRNO_SETTINGS, BRNO_FLAVORS, BRNO, [("trasari", 0.0)], max_hosts=3)
    site.log_tasks = False
    await site.start()
    for i in range(3):
        await site.launch(i)
    await site.cloud.create("velkyvrch", "cechy", False, age=100.0, boot=0.0)
    await site.wait_ready()
    service, batch = "j-000101", "j-000102"
    await site.submit(site.job(service, manner="standing", rank="prod", guess_s=0.0, pieces=2, cpus=2.0, memory_gb=3.0,
                               builds=["velkyvrch"]))
    await site.wait_for(lambda: len(site.running(service)) == 2, 40.0, "the replicas run")
    await site.submit(site.job(batch, pieces=2500 if trouble else 250, cpus=0.02, memory_gb=0.05, run_s=15.0,
                               builds=["velkyvrch"]))
    begun = time.monotonic()
    while time.monotonic() < begun + 90.0:
        await asyncio.sleep(5.0)
        _, answer = await site.user("GET", f"/submissions/{batch}", limit=2.0)
        if isinstance(answer, dict) and answer.get("stage") == "done":
            return []
    killed = [h for h in site.history if h[1].startswith(service) and "expired" in h[3]]
    return [f"{batch} is not done after 90 s: {answer}; replicas of {service} were killed {len(killed)} times, since "
            "no controller takes the report of their machine"]


SCENES = {"silent": silent, "silent-accepts": lambda make, trouble: silent(make, trouble, True), "cloud": cloud,
          "small-tasks": small_tasks}
if len(sys.argv) != 2 or sys.argv[1] not in SCENES:
    sys.exit(__doc__)
folder = tempfile.mkdtemp(prefix="gorseshore-review-record-")
print(f"record: {folder}/record.txt")
main(folder, SCENES[sys.argv[1]])
