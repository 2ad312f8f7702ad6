"""LOST: an acknowledged config is gone after one disk was lost."""

import asyncio
import os
import random
import shutil
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import deployment as d  # noqa: E402

SETTLE_S = 12.0       # three times catch_up_s, between any two losses of a disk
SUCCESSOR_AFTER_S = 1.0
RECOVERY_S = 12.0
READ_S = 6.0          # twice stable_window_ms


async def main(holder, record, trouble):
    deployment = d.Deployment(gateways=2, spare_controls=3)
    holder.append(deployment)
    deployment.start_all()

    def folder_of(index):
        return os.path.join(deployment.folder, f"data-{index + 1}")

    def wipe(index):
        shutil.rmtree(folder_of(index), ignore_errors=True)

    async def put(version):
        await deployment.put_config(d.config(
            version, [d.route("meter-read", "/meter/", "safe", "dispatch", attempts=2)],
            ["dispatch"]))
        record.add("operator", f"PUT /config version {version}: acknowledged")

    async def read():
        ip = random.choice(deployment.control_ips)
        try:
            answer = await d.call(ip, deployment.control, "GET", "/config", {}, b"", timeout=1.0)
            found = (str(answer.status) if answer.status != 200 else
                     "version %s" % d.json.loads(answer.body)["version"])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, d.Broken) as error:
            found = type(error).__name__
        record.add("operator", f"GET /config at {ip}: {found}")
        return found

    # A machine of the core is removed for good; another one, with an empty disk, is added at a
    # new address. Its settings hold the operator's list as it is then.
    async def replace(old, new):
        record.add("platform", f"control-{old + 1} is removed for good")
        deployment.kill(f"control-{old + 1}")
        wipe(old)
        deployment.control_ips.remove(deployment.all_control_ips[old])
        await asyncio.sleep(SUCCESSOR_AFTER_S)
        deployment.control_ips.append(deployment.all_control_ips[new])
        deployment.seeds_of[("control", new)] = [f"{ip}:{deployment.control}"
                                                 for ip in deployment.control_ips]
        record.add("platform", f"control-{new + 1} is added, with an empty disk")
        deployment.start("control", new)
        await asyncio.sleep(SETTLE_S)

    await put(3)
    await deployment.wait_ready()
    deployment.bootstrap = False
    await asyncio.sleep(2)
    if trouble:
        await replace(2, 3)
        await put(5)
        await replace(3, 4)
        await put(7)
        await replace(4, 5)
    await put(9)
    if os.environ.get("TROUBLE") != "0" or os.environ.get("WIPE") == "1":
        # The final fault: one machine loses its disk right after the acknowledgement.
        record.add("platform", "control-2 loses its disk and is back 0.5 s later")
        deployment.kill("control-2")
        wipe(1)
        await asyncio.sleep(0.5)
        deployment.start("control", 1)
    await asyncio.sleep(RECOVERY_S)

    found, end = [], record.now() + READ_S
    while record.now() < end:
        found.append(await read())
        await asyncio.sleep(0.25)
    running = [name for name, process in deployment.processes.items() if process.poll() is None]
    for name in running:
        for line in deployment.log(name).splitlines():
            if "[replica]" in line and any(
                    word in line for word in ("voter", "learner", "member", "Role changed")):
                record.add(name, line.split("[replica] ")[1])
    counts = {text: found.count(text) for text in sorted(set(found))}
    text = f"version 9 was acknowledged; {len(running)} of 5 processes run; reads: {counts}"
    if len(running) != 5:
        raise d.CannotRun(text)
    return text, "version 9" not in counts


d.run_case(FOLDER, main)
