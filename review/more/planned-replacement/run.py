"""An acknowledged config is gone after a planned replacement and one lost disk."""

import asyncio
import os
import random
import shutil
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(FOLDER)), "common"))
import deployment as d  # noqa: E402

SUCCESSOR_RUNS_S = 4.7    # longer than catch_up_s
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

    await put(3)
    await deployment.wait_ready()
    deployment.bootstrap = False
    await asyncio.sleep(2)
    if trouble:
        deployment.control_ips.append(deployment.all_control_ips[3])
        deployment.seeds_of[("control", 3)] = [f"{ip}:{deployment.control}"
                                               for ip in deployment.control_ips[1:]]
        deployment.start("control", 3)
        await asyncio.sleep(SUCCESSOR_RUNS_S)
        deployment.signal("control-3", signal.SIGTERM)
        deployment.processes["control-3"].wait()
        deployment.kill("control-3")
        wipe(2)
        deployment.control_ips.remove(deployment.all_control_ips[2])
        record.add("platform", "control-3 is gone after SIGTERM; control-4 runs for 4.7 s")
    await put(9)
    if trouble:
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
    text = f"version 9 was acknowledged; {len(running)} of {len(deployment.processes)} processes run; reads: {counts}"
    if len(running) != len(deployment.processes):
        raise d.CannotRun(text)
    return text, "version 9" not in counts


d.run_case(FOLDER, main)
