"""Stand-ins for the ranks of one group of model runners, as PROTOCOL.md describes them.

All ranks run passes together. Orders change maps; `policy` may leave an order unanswered and have
it carried out later.
"""

import asyncio
import json
import random

import deployment as d

SETS, EXPERTS, PLACES, SPARE = 4, 64, 5, 2
EXPERT_MB, LINK_MBPS, FORM_MS = 2500.0, 180000.0, 600.0
PICKS = 8           # experts that a token chooses in each set
TOKENS = 600        # read and written in a pass, of each request
GRAIN = 100         # picks of a request that fall on one expert together
PASS_S = 0.03
READ_S = 0.08       # until an idle group begins a pass

ENGINE = {"slots": 12, "kv_capacity_tokens": 494000, "kv_token_bytes": 35136,
          "link_mbps": LINK_MBPS, "stride": 6, "models": [{"name": "m"}], "step_ms": 4.84,
          "per_seq_ms": 0.362, "context_per_k": 0.011, "read_per_s": 74800.0, "pairs_per_m": 0.232,
          "chunk": 512, "report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 8,
          "delays": [], "usual": {"prompt": 835, "answer": 159}, "sets": SETS, "experts": EXPERTS,
          "places": PLACES, "spare": SPARE, "expert_mb": EXPERT_MB, "expert_share": 0.85,
          "form_ms": FORM_MS}


def config(version):
    made = d.config(version, [d.route("draft", "/draft/", "streaming", "drafter", attempts=2,
                                      timeout_ms=8000, target_latency_ms=400, sticky_sessions=True,
                                      resume_streams=True, target_gap_ms=120)], ["drafter"])
    made["services"][0]["engine"] = ENGINE
    return made


class Rank(d.Runner):
    def __init__(self, group, deployment, index):
        super().__init__(deployment, index, "drafter", 12, self.handle_request, self.describe)
        self.group, self.index = group, index
        self.ip = deployment.sidecar_ips[index]
        self.counts = [0] * (SETS * EXPERTS)
        self.map, self.content = 0, group.initial(index)
        self.prepared = self.armed = self.held = None   # (version, content), (version, step), step
        self.newest, self.copying, self.orders = 0, None, 0

    def describe(self):
        return {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                "group": {"name": "g0-0", "epoch": self.group.epoch, "rank": self.index,
                          "state": "open"}, "size": len(self.group.ranks)}

    async def handle_request(self, _, request, writer):
        path = request.path.partition("?")[0]
        if path == "/report":
            self.json(writer, 200, self.report())
        elif path == "/picked":
            self.json(writer, 200, self.lists() if "lists" in request.path else
                      {"step": self.group.step, "epoch": self.group.epoch, "counts": self.counts})
        elif path == "/order":
            order = json.loads(request.body)
            late_s = self.group.policy(self, order)
            if late_s is None:
                self.json(writer, self.carry_out(order), {})
                return
            # Left unanswered, and carried out later.
            asyncio.get_running_loop().call_later(late_s, self.carry_out, order)
            await asyncio.sleep(5)
            writer.close()
        else:
            await self.stream(request, writer)

    def json(self, writer, status, body):
        text = json.dumps(body).encode()
        writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                     f"Content-Length: {len(text)}\r\n\r\n".encode() + text)

    def report(self):
        told = {"stage": "both", "models": [], "busy": self.copying is not None,
                "sequence": self.orders, "waiting": 0, "running": self.running - 1,
                "kv_used": 0, "kv_total": 494000, "handles": 0, "step": self.group.step,
                "map": self.map, "pace": 1.0, **{k: v for k, v in self.describe().items()
                                                 if k in ("group", "size")}}
        if self.prepared:
            told["prepared"] = self.prepared[0]
        if self.armed:
            told["armed"] = {"version": self.armed[0], "step": self.armed[1]}
        if self.held is not None:
            told["held"] = self.held
        return told

    def lists(self):
        told = {"step": self.group.step, "epoch": self.group.epoch,
                "map": {"version": self.map, "experts": self.content}}
        if self.prepared:
            told["prepared"] = {"version": self.prepared[0], "experts": self.prepared[1]}
        return told

    def carry_out(self, order):
        status = self.execute(order)
        shown = {k: v for k, v in order.items() if k not in ("map", "epoch")}
        self.group.note(f"rank {self.index} carries out {shown} in step {self.group.step}: {status}")
        return status

    def execute(self, order):
        group, op = self.group, order["op"]
        if order.get("epoch", group.epoch) != group.epoch:
            return 409
        step, version = order.get("step"), order.get("version")
        if op == "prepare":
            if self.prepared and self.prepared[0] == version:
                return 200
            if self.copying == version:
                return 202
            content = [by_rank[self.index] for by_rank in order["map"]]
            new = [len(set(a) - set(b)) for a, b in zip(content, self.content)]
            if (version <= self.newest or self.armed or max(new) > SPARE or
                    max(map(len, content)) > PLACES):
                return 409
            self.orders += 1
            self.newest, self.copying, self.prepared = version, version, None
            copy_s = sum(new) * EXPERT_MB * 8 / LINK_MBPS / 1000
            asyncio.get_running_loop().call_later(max(copy_s, 0.001), self.copied, version, content)
            return 202
        if op == "arm":
            if self.armed == (version, step):
                return 200
            if not self.prepared or self.prepared[0] != version or step <= group.step:
                return 409
            self.orders += 1
            self.armed = (version, step)
            return 200
        if op == "disarm":
            if self.map == version:
                return 409
            if self.armed and self.armed[0] == version:
                self.orders += 1
                self.armed = None
            return 200
        if op == "hold":
            if self.held == step:
                return 200
            if self.held is not None or step <= group.step:
                return 409
            self.orders += 1
            self.held = step
            return 200
        if op == "go":
            if self.held == step:
                self.orders += 1
                self.held = None
            return 200
        return 400

    def copied(self, version, content):
        if self.copying == version:
            self.copying, self.prepared = None, (version, content)

    async def stream(self, request, writer):
        attempt = request.headers["bilberryspool-attempt-id"]
        first = int(request.headers.get("last-event-id", "0")) + 1
        self.group.run(attempt, self)
        writer.write((self.head(request) + "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        for event in range(first, self.group.events + 1):
            await self.group.take_pass(self)
            text = f"id: {event}\ndata: {event}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Group:
    def __init__(self, deployment, record, ranks=16):
        self.record, self.epoch, self.step, self.events = record, 1, 0, 4
        self.hot, self.waiting, self.broken, self.is_idle = 0, [], None, True
        self.policy = lambda rank, order: None
        self.size, self.tokens = ranks, TOKENS
        self.ranks = []
        self.ranks = [Rank(self, deployment, i) for i in range(ranks)]

    def initial(self, index):
        return [[e for e in range(EXPERTS) if e % self.size == index] for _ in range(SETS)]

    def note(self, text):
        self.record.add("runners", text)

    def run(self, attempt, rank):
        self.record.add("run", f"{attempt} at rank {rank.index}")

    async def start(self):
        for rank in self.ranks:
            await rank.start()
        self.passes = asyncio.create_task(self.run_passes())

    async def take_pass(self, rank):
        done = asyncio.get_running_loop().create_future()
        self.waiting.append((rank, done))
        await done

    def held_ranks(self, step):
        return [rank.index for rank in self.ranks if rank.held == step]

    async def run_passes(self):
        while True:
            if not self.waiting or self.held_ranks(self.step + 1):
                await asyncio.sleep(0.002)
                continue
            if self.is_idle:
                # Prompts are read before the first token.
                await asyncio.sleep(READ_S)
                self.is_idle = False
                continue
            self.begin_pass()
            batch, self.waiting = self.waiting, []
            await asyncio.sleep(PASS_S)
            self.is_idle = not self.waiting
            for rank, done in batch:
                self.count(rank)
                if not done.done():
                    done.set_result(None)

    def begin_pass(self):
        self.step += 1
        for rank in self.ranks:
            if rank.armed and rank.armed[1] == self.step:
                rank.map, rank.content = rank.prepared
                rank.armed = rank.prepared = None
        maps = sorted({rank.map for rank in self.ranks})
        if len(maps) > 1:
            which = {m: [r.index for r in self.ranks if r.map == m] for m in maps}
            self.note(f"pass {self.step} begins with different maps: {which}")
            self.broken = self.broken or (self.step, which)

    # A request's tokens choose some experts far more often than others.
    def count(self, rank):
        hot = [(self.hot + i * self.size) % EXPERTS for i in range(EXPERTS // self.size)]
        for layer in range(SETS):
            for _ in range(self.tokens * PICKS // GRAIN):
                expert = (random.choice(hot) if random.random() < 0.5 else
                          random.randrange(EXPERTS))
                rank.counts[layer * EXPERTS + expert] += GRAIN


class Callers:
    """Clients that stream from the group through the gateways."""

    def __init__(self, deployment, record, count):
        self.deployment, self.record = deployment, record
        self.answered, self.failed, self.active = 0, 0, True
        self.tasks = [asyncio.create_task(self.run()) for _ in range(count)]

    async def run(self):
        while True:
            if not self.active:
                await asyncio.sleep(0.01)
                continue
            await self.once()
            await asyncio.sleep(random.uniform(0.05, 0.15))

    async def once(self):
        attempt = "%016x" % random.getrandbits(64)
        self.record.add("sent", attempt)
        try:
            answer = await d.call(
                random.choice(self.deployment.gateway_ips), self.deployment.front, "POST",
                "/draft/2f", {"Host": "h.example", "Api-Key": "key-of-works",
                              "Bilberryspool-Attempt-Id": attempt, "Bilberryspool-Model": "m",
                              "Bilberryspool-Token-Usage": "8,24",
                              "Bilberryspool-Prompt-Prefix": "%08x:8" % random.getrandbits(32),
                              "Bilberryspool-Deadline-Ms": "8000"}, b"a prompt", timeout=8.0)
            self.answered += answer.status == 200
            self.failed += answer.status != 200
            self.record.add("answered", f"{attempt} {answer.status}")
            if answer.status != 200:
                await asyncio.sleep(0.5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, d.Broken) as error:
            self.failed += 1
            self.record.add("answered", f"{attempt} nothing: {error!r}")


class Leaders:
    """Who leads, as the control processes' logs say."""

    def __init__(self, deployment):
        self.deployment = deployment

    def now(self):
        best = (0, None)
        for name in self.deployment.processes:
            if name.startswith("control"):
                for line in self.deployment.log(name).splitlines():
                    if "Role changed. role=leader" in line:
                        term = int(line.split("term=")[1].split()[0])
                        best = max(best, (term, name))
        return best

    async def after(self, term, limit_s=6.0):
        loop = asyncio.get_running_loop()
        end = loop.time() + limit_s
        while loop.time() < end:
            found = self.now()
            if found[0] > term:
                return found
            await asyncio.sleep(0.01)
        raise d.CannotRun(f"no leader after term {term}")
