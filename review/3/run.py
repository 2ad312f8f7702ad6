"""A control process that stands still while ranks are armed never answers again."""

import asyncio
import os
import random
import shutil
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
import deployment as d  # noqa: E402
import engines  # noqa: E402

RANKS = 16
FROZEN_S = 1.0
RECOVERY_S = 12.0
READ_S = 6.0


async def main(holder, record, trouble):
    deployment = d.Deployment(gateways=2, sidecars=RANKS)
    holder.append(deployment)
    deployment.start_all()
    group = engines.Group(deployment, record, RANKS)
    for rank in group.ranks:
        deployment.start("sidecar", rank.index, f"{rank.ip}:{rank.port}")
    await group.start()
    await deployment.put_config(engines.config(3))
    await deployment.wait_ready()
    deployment.bootstrap = False
    callers = engines.Callers(deployment, record, 60)
    leaders = engines.Leaders(deployment)

    async def changed(limit_s):
        before, end = group.ranks[0].map, record.now() + limit_s
        while group.ranks[0].map == before:
            if record.now() > end:
                raise d.CannotRun("the map does not change")
            group.hot = (group.hot + 1) % RANKS if random.random() < 0.01 else group.hot
            await asyncio.sleep(0.01)

    await asyncio.sleep(2)
    await changed(20)
    record.add("runners", "the first change of the map is over")
    dropped = asyncio.Event()

    # Workers leave orders unanswered and carry them out late.
    def policy(rank, order):
        if order["op"] != "arm" or rank.index < RANKS // 2:
            return None
        record.add("runners", f"rank {rank.index} leaves {order['op']} unanswered")
        dropped.set()
        return 6.0

    frozen = None
    if trouble:
        group.policy = policy
        group.hot = (group.hot + 5) % RANKS
        for _ in range(200):
            if dropped.is_set():
                break
            await asyncio.sleep(0.1)
            if random.random() < 0.05:
                group.hot = (group.hot + 3) % RANKS
        if not dropped.is_set():
            raise d.CannotRun("no rank was armed")
        await asyncio.sleep(float(os.environ.get("AFTER_S", "0.1")))
        term, frozen = leaders.now()
        record.add("platform", f"{frozen}, which leads, freezes")
        deployment.signal(frozen, signal.SIGSTOP)
        await asyncio.sleep(FROZEN_S)
        record.add("platform", f"{frozen} wakes again")
        deployment.signal(frozen, signal.SIGCONT)
        await asyncio.sleep(1)
        group.policy = lambda rank, order: None
    await asyncio.sleep(10)

    async def read(ip):
        try:
            answer = await d.call(ip, deployment.control, "GET", "/config", {}, b"", timeout=1.0)
            found = (str(answer.status) if answer.status != 200 else
                     "version %s" % d.json.loads(answer.body)["version"])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, d.Broken) as error:
            found = type(error).__name__
        record.add("operator", f"GET /config at {ip}: {found}")
        return found

    before = {ip: await read(ip) for ip in deployment.control_ips}
    await deployment.put_config(engines.config(5))
    record.add("operator", "PUT /config version 5: acknowledged")
    if trouble:
        others = [f"control-{i + 1}" for i in range(3) if f"control-{i + 1}" != frozen]
        victim = others[0]
        record.add("platform", f"{victim} loses its disk and is back 0.5 s later")
        deployment.kill(victim)
        index = int(victim[-1]) - 1
        shutil.rmtree(os.path.join(deployment.folder, f"data-{index + 1}"), ignore_errors=True)
        await asyncio.sleep(0.5)
        deployment.start("control", index)
    await asyncio.sleep(RECOVERY_S)
    found, end = [], record.now() + READ_S
    while record.now() < end:
        found.append(await read(random.choice(deployment.control_ips)))
        await asyncio.sleep(0.25)
    counts = {text: found.count(text) for text in sorted(set(found))}
    running = [n for n, process in deployment.processes.items() if process.poll() is None]
    cpu = ""
    if frozen:
        with open(f"/proc/{deployment.processes[frozen].pid}/stat") as stat:
            ticks = sum(map(int, stat.read().rsplit(")", 1)[1].split()[11:13]))
        cpu = f"; {frozen} used {ticks / os.sysconf('SC_CLK_TCK'):.1f} s of a processor"
    text = (f"before the disk was lost: {before}; version 5 was acknowledged; "
            f"reads at the end: {counts}; {len(running)} of {len(deployment.processes)} processes "
            f"run; {callers.answered} streams served{cpu}; different maps: {group.broken}")
    return text, "version 5" not in counts


d.run_case(FOLDER, main)
