"""Fault: no request is served after one control process was killed at the first start."""

import asyncio
import json
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(FOLDER)), "common"))
import deployment as d  # noqa: E402

# Of the control nodes; all machines start within 0.3 s of each other.
STARTED_AT_S = [0.0, 0.15, 0.3]
VICTIM = 0
KILLED_AT_S = 0.2
RESTART_AFTER_S = 0.5
TRAFFIC_S = 40.0


async def main(holder, record, trouble):
    deployment = d.Deployment(gateways=3)
    holder.append(deployment)

    async def serve(runner, request, writer):
        record.add("run", f"{request.headers['bilberryspool-attempt-id']} at {runner.id}")
        runner.answer(request, writer, b"plant meter reading")

    async def start_controls():
        begun = record.now()
        steps = [(at, "start", index) for index, at in enumerate(STARTED_AT_S)]
        if trouble:
            steps.append((KILLED_AT_S, "kill", VICTIM))
            steps.append((KILLED_AT_S + RESTART_AFTER_S, "restart", VICTIM))
        for at, what, index in sorted(steps):
            await asyncio.sleep(max(0.0, begun + at - record.now()))
            name = f"control-{index + 1}"
            record.add("platform", f"{what} {name}")
            if what == "kill":
                deployment.kill(name)
            else:
                # The whole system no longer starts for the first time.
                deployment.bootstrap = what == "start"
                deployment.start("control", index)

    for index in range(3):
        deployment.start("gateway", index)
    await start_controls()
    for i in range(3):
        await d.Runner(deployment, i, "dispatch", 6, serve).start()

    body = json.dumps(d.config(
        2, [d.route("meter-read", "/meter/", "safe", "dispatch", attempts=2)], ["dispatch"])).encode()
    accepted_at = None

    # The operator sends the first config again until it is accepted.
    async def operator():
        nonlocal accepted_at
        while accepted_at is None:
            ip = random.choice(deployment.control_ips)
            status = None
            try:
                answer = await d.call(ip, deployment.control, "PUT", "/config",
                                      {"Content-Type": "application/json"}, body, timeout=1.0)
                status = answer.status
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, d.Broken) as error:
                status = repr(error)
            record.add("operator", f"PUT /config version 2 at {ip}: {status}")
            if status == 200:
                accepted_at = record.now()
                return
            await asyncio.sleep(0.5)

    served = refused = 0

    async def client():
        nonlocal served, refused
        while True:
            attempt = "%016x" % random.getrandbits(64)
            try:
                answer = await d.call(
                    random.choice(deployment.gateway_ips), deployment.front, "GET", "/meter/2f",
                    {"Host": "h.example", "Api-Key": "key-of-works",
                     "Bilberryspool-Attempt-Id": attempt, "Bilberryspool-Deadline-Ms": "4000"},
                    b"", timeout=4.0)
                status = answer.status
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, d.Broken) as error:
                status = repr(error)
            record.add("answered", f"{attempt} {status}")
            served += status == 200
            refused += status != 200
            await asyncio.sleep(0.2)

    orders = asyncio.create_task(operator())
    await asyncio.sleep(10)  # traffic starts 10 s after the machines do
    clients = [asyncio.create_task(client()) for _ in range(5)]
    await asyncio.sleep(TRAFFIC_S)
    for task in clients + [orders]:
        task.cancel()

    # The operator reads the config back, at each node, for stable_window_ms.
    reads = []
    for _ in range(6):
        for ip in deployment.control_ips:
            try:
                answer = await d.call(ip, deployment.control, "GET", "/config", {}, b"", timeout=1.0)
                reads.append(answer.status)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, d.Broken) as error:
                reads.append(repr(error))
            record.add("operator", f"GET /config at {ip}: {reads[-1]}")
        await asyncio.sleep(0.5)
    alive = [name for name, process in deployment.processes.items() if process.poll() is None]
    text = (f"{served} requests served, {refused} not; config "
            + (f"accepted after {accepted_at:.1f} s" if accepted_at is not None
               else f"never accepted in {record.now():.0f} s")
            + f"; reads of it: {sorted(set(map(str, reads)))}; {len(alive)} of 6 processes run")
    if served + refused < 100 or len(alive) < 6:
        raise d.CannotRun(text)
    return text, served == 0


d.run_case(FOLDER, main)
