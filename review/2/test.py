import asyncio, os, sys, time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import *
from sites import *


async def case(make, trouble):
    s = KOLKATA_HUNT_SETTINGS
    site = make(s, KOLKATA_FLAVORS, [KOLKATA[i % 2] for i in range(3)], [("dispatch", 0.0)])
    await site.start()
    for i in range(3):
        await site.launch(i)
    for n in range(6):
        await site.cloud.create("kuri", KOLKATA[n % 2], False, age=100.0, boot=0.5)
    await site.wait_ready()
    # A service and another job, so that other machines hold work as well.
    ref, other = "j-000101", "j-000102"
    await site.submit(site.job(ref, manner="standing", rank="prod", guess_s=0.0, pieces=1))
    await site.submit(site.job(other, manner="standing", rank="prod", guess_s=0.0, pieces=4, apart=True))
    await site.wait_for(lambda: site.running(ref) and len(site.running(other)) == 4, 40.0, "the replicas run")
    (name, _), = site.present[ref + "/0"].keys()
    worker = site.cloud.hosts[name]["worker"]
    await asyncio.sleep(3.0)
    # The machine's last answered report is recent as the trouble begins.
    worker.answered_at = None
    await site.wait_for(lambda: worker.answered_at, 10.0, "a report is answered")
    await asyncio.sleep(0.3)
    if trouble:
        worker.set_deaf(True)
    _, answer = await site.until_answer("POST", f"/submissions/{ref}/abort", order=[0, 1, 2])
    told = time.monotonic()
    site.record(f"the user is told: {answer}")
    if answer["stage"] != "aborted":
        raise CannotRun(f"the answer is {answer}")
    if trouble:
        await asyncio.sleep(1.0)
        site.state.set_outage(True)
        await asyncio.sleep(told + 14.0 - time.monotonic())
        for i in range(3):
            await site.kill(i)
        await asyncio.sleep(s["restart_s"])
        for i in range(3):
            await site.launch(i)
        worker.set_deaf(False)
    deadline = told + s["cancel_s"]
    await asyncio.sleep(deadline - time.monotonic())
    broken = []
    while time.monotonic() < deadline + 4.0:
        if site.running(ref) and time.monotonic() > deadline + 0.5:
            broken = [f"ran_cancelled: {site.running(ref)} is on {[list(site.present[t]) for t in site.running(ref)]} "
                      f"{time.monotonic() - told:.1f} s after its user was told, the limit is {s['cancel_s']} s"]
        await asyncio.sleep(0.1)
    if site.ended():
        raise CannotRun(f"ended by itself: {site.ended()}")
    return broken


main(os.path.dirname(os.path.abspath(__file__)), case)
