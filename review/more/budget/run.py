"""BUDGET: repeats in one window against ratio x requests + slack."""

import asyncio
import bisect
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(FOLDER)), "common"))
import deployment as d  # noqa: E402

GATEWAYS = 9          # as on the sheet of qlb-amman
PER_S = 16.0          # requests of clients, all of one safe route
QUIET_S = 20.0        # traffic before the answers are lost
LOST_S = 12.0         # twice the longest answer_lost of the site files (6 s)
LOST_SHARE = 0.8      # twice the largest x of the site files (0.4)
AFTER_S = 12.0
WORK_S = 0.06


async def main(holder, record, trouble):
    deployment = d.Deployment(gateways=GATEWAYS)
    holder.append(deployment)
    deployment.start_all()
    arrivals, requests, sent_ids = [], [], {}
    losing = False

    async def serve(runner, request, writer):
        attempt = request.headers["bilberryspool-attempt-id"]
        arrivals.append((record.now(), attempt))
        await asyncio.sleep(WORK_S)
        if losing and random.random() < LOST_SHARE:
            record.add("run", f"{attempt} at {runner.id}, its answer is lost by a reset")
            d.reset(writer)
            return
        record.add("run", f"{attempt} at {runner.id}, answered")
        runner.answer(request, writer, b"plant meter reading")

    runners = [d.Runner(deployment, i, "dispatch", 6, serve) for i in range(3)]
    for runner in runners:
        await runner.start()
    await deployment.put_config(d.config(
        3, [d.route("meter-read", "/meter/", "safe", "dispatch", attempts=2)], ["dispatch"]))
    await deployment.wait_ready()
    await asyncio.sleep(4)

    async def attempt_once(number, retry):
        attempt = "%016x" % random.getrandbits(64)
        requests.append(record.now())
        record.add("sent", f"{attempt} (request {number}{', sent again' if retry else ''})")
        try:
            answer = await d.call(
                random.choice(deployment.gateway_ips), deployment.front, "GET", "/meter/2f",
                {"Host": "h.example", "Api-Key": "key-of-works", "Bilberryspool-Attempt-Id": attempt,
                 "Bilberryspool-Deadline-Ms": "4000"}, b"", timeout=4.0)
            record.add("answered", f"{attempt} {answer.status}")
            return answer
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, d.Broken) as error:
            record.add("answered", f"{attempt} nothing: {error!r}")
            return None

    # Clients repeat a safe request once after any failure, as PROTOCOL.md says.
    async def client(number):
        answer = await attempt_once(number, False)
        if answer is not None and answer.status == 200:
            return
        if answer is not None and answer.status in (408, 421, 429, 503):
            await asyncio.sleep(min(float(answer.headers.get("retry-after", "0")), 1.3))
        await attempt_once(number, True)

    begun, number, clients = record.now(), 0, []
    end = QUIET_S + LOST_S + AFTER_S
    while record.now() - begun < end:
        losing = trouble and QUIET_S <= record.now() - begun < QUIET_S + LOST_S
        number += 1
        clients.append(asyncio.create_task(client(number)))
        await asyncio.sleep(max(0.0, begun + number / PER_S - record.now()))
    await asyncio.gather(*clients)

    # The rule: any span of budget_window_s. The requests are those of that window, the one
    # before it or the one half a window before it, whichever has most.
    window = float(d.BOUNDS["budget_window_s"])
    seen, repeats = set(), []
    for at, attempt in arrivals:
        if attempt in seen:
            repeats.append(at)
        seen.add(attempt)
    requests.sort()

    def count(times, start):
        return bisect.bisect_right(times, start + window) - bisect.bisect_left(times, start)

    worst = (-1e9, 0, 0, 0.0, 0.0)
    for start in repeats:
        most = max(count(requests, start - back) for back in (0.0, window / 2, window))
        allowed = d.BOUNDS["retry_budget_ratio"] * most + d.BOUNDS["budget_slack"]
        worst = max(worst, (count(repeats, start) - allowed, count(repeats, start), most, allowed,
                            start))
    over, made, most, allowed, start = worst
    text = (f"{len(requests)} requests, {len(arrivals)} arrivals, {len(repeats)} repeats in all; "
            f"worst window from {start:.1f} s: {made} repeats, allowed {allowed:.1f} "
            f"(0.2 x {most} + 94)")
    if not repeats:
        text = f"{len(requests)} requests, no repeats"
    if len(seen) < 200:
        raise d.CannotRun("too few requests arrived: " + text)
    return text, over > 0


d.run_case(FOLDER, main)
