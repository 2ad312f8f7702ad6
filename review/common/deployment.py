"""A small deployment of the project's own programs, with stand-ins around it.

Starts `bilberryspool gateway|control|sidecar --settings=FILE` as separate
processes on loopback addresses. The settings are made from the templates that
deploy/system.toml names, with fields as DEPLOY.md describes them. Clients and
runners are stand-ins that speak what PROTOCOL.md describes.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ["sahab", "marka", "abdali"]
BOUNDS = {  # the sheet of qlb-amman
    "grace_s": 8, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 94,
}


class CannotRun(Exception):
    """The case could not be set up: exit code 2."""


def find_program():
    named = os.environ.get("BIN")
    for folder in [named] if named else ["build/bin", "target/bin"]:
        path = os.path.join(ROOT, folder, "bilberryspool")
        if os.access(path, os.X_OK):
            return path
    raise CannotRun("no built bilberryspool in build/bin or target/bin")


def free_ports(addresses, count):
    for _ in range(200):
        first = random.randrange(20000, 32000)
        try:
            for address in addresses:
                for port in range(first, first + count):
                    with socket.socket() as probe:
                        probe.bind((address, port))
            return first
        except OSError:
            continue
    raise CannotRun("no free ports")


def render(text, fields):
    def value(match):
        path, _, form = match.group(1).partition("|")
        node = fields
        for part in path.split("."):
            node = node[int(part)] if isinstance(node, list) else node.get(part, "")
        if form == "json":
            return json.dumps(node)
        return str(node).lower() if isinstance(node, bool) else str(node)
    return re.sub(r"\{\{([^}]+)\}\}", value, text)


class Deployment:
    def __init__(self, gateways=3, controls=3, sidecars=0, spare_controls=0):
        self.program = find_program()
        self.folder = tempfile.mkdtemp(prefix="bilberryspool-review-")
        net = random.randrange(10, 250)
        self.gateway_ips = [f"127.{net}.1.{i + 1}" for i in range(gateways)]
        # Those that may serve `control` in the course of the case, and the operator's list.
        self.all_control_ips = [f"127.{net}.2.{i + 1}" for i in range(controls + spare_controls)]
        self.control_ips = self.all_control_ips[:controls]
        self.sidecar_ips = [f"127.{net}.3.{i + 1}" for i in range(sidecars)]
        self.runner_net = f"127.{net}.4."
        self.port = free_ports(self.gateway_ips + self.all_control_ips + self.sidecar_ips +
                               [self.runner_net + "1"], 6)
        self.front, self.ready, self.control = self.port + 2, self.port + 3, self.port + 4
        self.seeds = [f"{ip}:{self.control}" for ip in self.control_ips[:3]]
        self.processes = {}
        self.bootstrap = True
        # Addresses that a process is told in place of the real seeds.
        self.seeds_of = {}

    def fields(self, role, index, ip, app=""):
        return {
            "node": f"{role}-{index + 1}", "ip": ip, "zone": ZONES[index % 3], "app": app,
            "seeds": self.seeds_of.get((role, index), self.seeds),
            "bootstrap": self.bootstrap, "heartbeat_ms": 1200, "bounds": BOUNDS,
            "internal_port_range": [self.port, self.port + 1],
            "listen": {"front": f"{ip}:{self.front}", "control": f"{ip}:{self.control}",
                       "readiness_address": f"{ip}:{self.ready}"},
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "data_dir": os.path.join(self.folder, f"data-{index + 1}"),
        }

    def start(self, role, index, app=""):
        ips = {"gateway": self.gateway_ips, "control": self.all_control_ips,
               "sidecar": self.sidecar_ips}[role]
        with open(os.path.join(ROOT, "platform", role + ".toml.in")) as template:
            text = render(template.read(), self.fields(role, index, ips[index], app))
        name = f"{role}-{index + 1}"
        settings = os.path.join(self.folder, name + ".toml")
        with open(settings, "w") as out:
            out.write(text)
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            process = subprocess.Popen([self.program, role, "--settings=" + settings], cwd=ROOT,
                                       stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.processes[name] = process
        return process

    def start_all(self):
        for index in range(len(self.control_ips)):
            self.start("control", index)
        for index in range(len(self.gateway_ips)):
            self.start("gateway", index)

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        process = self.processes.pop(name)
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()

    def log(self, name):
        with open(os.path.join(self.folder, name + ".log"), errors="replace") as text:
            return text.read()

    def end(self):
        for name in list(self.processes):
            self.kill(name)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def put_config(self, config, limit_s=30):
        """Sends a config as the operator does: to any node, until it is accepted."""
        body = json.dumps(config).encode()
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            ip = random.choice(self.control_ips)
            try:
                answer = await call(ip, self.control, "PUT", "/config",
                                    {"Content-Type": "application/json"}, body, timeout=1.0)
                if answer.status == 200:
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, Broken):
                pass
            await asyncio.sleep(0.2)
        raise CannotRun("no control node accepted the config")

    async def wait_ready(self, indexes=None, limit_s=30):
        end = time.monotonic() + limit_s
        waiting = list(range(len(self.gateway_ips)) if indexes is None else indexes)
        while waiting:
            if time.monotonic() > end:
                raise CannotRun("a gateway is not ready")
            index = waiting[0]
            try:
                answer = await call(self.gateway_ips[index], self.ready, "GET", "/ready", {}, b"",
                                    timeout=1.0)
                if answer.status == 200:
                    waiting.pop(0)
                    continue
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, Broken):
                pass
            await asyncio.sleep(0.1)


class Broken(Exception):
    """The peer sent something that is not a whole answer."""


class Answer:
    def __init__(self, status, headers, body=b""):
        self.status, self.headers, self.body = status, headers, body


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, to_end=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if to_end else b""


def encode_request(method, path, headers, body):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers.items()]
    if body or method in ("PUT", "POST"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(ip, port, method, path, headers, body, timeout):
    """One request on a new connection. Raises where no whole answer comes."""
    async def run():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(encode_request(method, path, {"Host": f"{ip}:{port}", **headers}, body))
            first, answered = await read_head(reader)
            while first.split()[1].startswith("1"):
                first, answered = await read_head(reader)
            return Answer(int(first.split()[1]), answered,
                          await read_body(reader, answered, to_end=True))
        except (ValueError, IndexError) as error:
            raise Broken(str(error)) from error
        finally:
            writer.close()
    return await asyncio.wait_for(run(), timeout)


class Runner:
    """A runner of a service: announces itself and runs requests.

    `serve(runner, request, writer)` writes the answer; a request is an object with
    method, path, headers, body. A request with another id in
    Bilberryspool-Expect-Instance gets 421.
    """

    def __init__(self, deployment, index, service, slots, serve, extra=None):
        self.deployment, self.service, self.slots, self.serve = deployment, service, slots, serve
        self.ip, self.port = deployment.runner_net + str(index + 1), deployment.port + 5
        self.id = "i-%08x" % random.getrandbits(32)
        self.zone, self.extra = ZONES[index % 3], extra
        self.sequence, self.running, self.state = 0, 0, "ready"
        self.beats = None

    async def start(self):
        self.server = await asyncio.start_server(self.handle, self.ip, self.port)
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await self.check_in()
            await asyncio.sleep(1.2 * random.uniform(0.95, 1.05))

    async def check_in(self):
        self.sequence += 1
        body = {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "cold_remaining_ms": 0, "sequence": self.sequence}
        if self.extra:
            body.update(self.extra())
        for ip in random.sample(self.deployment.control_ips, len(self.deployment.control_ips)):
            try:
                answer = await call(ip, self.deployment.control, "PUT", "/instances/" + self.id,
                                    {"Content-Type": "application/json"},
                                    json.dumps(body).encode(), timeout=1.0)
                if answer.status == 200:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, Broken):
                pass
        return False

    async def handle(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                method, path, _ = first.split(" ")
                request = Answer(0, headers, await read_body(reader, headers))
                request.method, request.path = method, path
                if headers.get("bilberryspool-expect-instance", self.id) != self.id:
                    writer.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.running += 1
                try:
                    await self.serve(self, request, writer)
                finally:
                    self.running -= 1
                if writer.is_closing():
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    def head(self, request, status="200 OK", more=""):
        return (f"HTTP/1.1 {status}\r\n"
                f"Bilberryspool-Attempt-Id: {request.headers.get('bilberryspool-attempt-id', '')}\r\n"
                f"Bilberryspool-Response-Seal: seal.{self.id}\r\n"
                f"Bilberryspool-Server-Load: {self.running},0,{self.slots}\r\n{more}")

    def answer(self, request, writer, body, status="200 OK"):
        writer.write((self.head(request, status) + f"Content-Length: {len(body)}\r\n\r\n").encode()
                     + body)


def reset(writer):
    """Closes with a reset, so that nothing unsent is delivered."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    writer.transport.abort()


def route(name, prefix, kind, service, **more):
    return {"name": name, "host": "h.example", "path_prefix": prefix, "kind": kind,
            "timeout_ms": 4000, "target_latency_ms": 300, "priority": 1, "service": service,
            "attempts": 1, "allow_anonymous": False, **more}


def config(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health", "max_connections": 358,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "works", "api_keys": ["key-of-works"], "priority": 1}]}


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.path, self.lines, self.start = os.path.join(folder, "record.txt"), [], time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, what, text):
        self.lines.append(f"{self.now():9.3f} {what:<9} {text}")

    def write(self, verdict):
        with open(self.path, "w") as out:
            out.write("\n".join(self.lines + ["", verdict, ""]))
        print(verdict)


def run_case(folder, main, limit_s=115):
    """Runs `main(deployment_holder, record, trouble)`; exits as the order of work says."""
    record, holder, code = Record(folder), [], 2
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def stop(*_):
        for deployment in holder:
            deployment.end()
        os._exit(2)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)

    async def whole():
        # Connections that end with the case are no news.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        return await asyncio.wait_for(main(holder, record, trouble), limit_s)

    loop = asyncio.new_event_loop()
    try:
        verdict, broken = loop.run_until_complete(whole())
        code = 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        verdict = f"could not run: {error!r}"
    finally:
        for deployment in holder:
            deployment.end()
    record.write(("BROKEN: " if code == 1 else "HELD: " if code == 0 else "") + verdict)
    sys.stdout.flush()
    os._exit(code)
