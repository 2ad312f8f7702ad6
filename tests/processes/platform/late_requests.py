"""Sends requests to a gateway while it is stopped.

late_requests.py PORT PID GRACE_S RUNS

Ends the process with SIGTERM. Fails if a request that it has read gets no whole
answer, if one that becomes whole late in the grace is passed on to a target that
answers after it, or not refused at once, or if one that ran (RUNS: the output of
raw_target.py) has no answer.
"""
import os
import select
import signal
import socket
import sys
import time

port, pid, grace_s, runs = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), sys.argv[4]
STEP_S = 0.5
SLACK_S = 1.0
ROUTES = ("/a", "/again", "/stream")
TOO_SLOW = "/slow-20"


class Request:
    """A request whose last byte is sent `at` seconds after SIGTERM: the others long
    before, or with it, on a connection that has served another one."""

    def __init__(self, path, at, is_in_pieces):
        self.name = f"late{path.replace('/', '-')}-{'pieces' if is_in_pieces else 'kept'}-{at}"
        self.path, self.at, self.is_in_pieces = path, at, is_in_pieces
        self.answer, self.whole_at, self.answered_at = b"", None, None
        self.connection = socket.create_connection(("127.0.0.1", port))
        self.rest = self.text(path, self.name)
        if is_in_pieces:
            self.connection.sendall(self.rest[:-1])
            self.rest = self.rest[-1:]
            return
        self.connection.sendall(self.text("/a/x", self.name + "-first"))
        assert self.connection.recv(65536).endswith(b"sound")

    @staticmethod
    def text(path, name):
        return (f"POST {path} HTTP/1.1\r\nHost: h.example\r\nApi-Key: k1\r\n"
                f"Bilberryspool-Attempt-Id: {name}\r\nBilberryspool-Deadline-Ms: 8000\r\n"
                "Content-Length: 5\r\n\r\norder").encode()

    def finish(self):
        self.whole_at = time.monotonic()
        try:
            self.connection.sendall(self.rest)
        except OSError:
            pass

    def read(self):
        """Returns whether there will be more."""
        try:
            piece = self.connection.recv(65536)
        except OSError:
            piece = b""
        self.answer += piece
        self.answered_at = time.monotonic()
        return bool(piece)

    def fault(self, has_run):
        if not self.answer and not self.is_in_pieces and not has_run:
            return ""
        head, end, body = self.answer.decode().partition("\r\n\r\n")
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:])
        if not end or len(body) != int(fields.get("Content-Length", -1)):
            return f"no whole answer: {self.answer!r}"
        status, took = head.split(" ")[1], self.answered_at - self.whole_at
        if status == "503" and has_run:
            return "refused, and has run"
        if not self.path.endswith(TOO_SLOW):
            return "" if status in ("200", "503") else f"was answered {status}"
        if status == "200":
            return "200 from a target that has not answered"
        if self.at > grace_s / 2 and (status != "503" or took > SLACK_S):
            return f"came late and was answered {status} after {took:.2f} s"
        return ""


times = [step * STEP_S for step in range(int((grace_s - SLACK_S) / STEP_S))]
requests = [Request(route + TOO_SLOW, at, True) for route in ROUTES for at in times]
for work in ("/slow-2", "/slow-4"):
    # Work of 4 s takes all the time of the plain route.
    for route in ROUTES if work == "/slow-2" else ROUTES[2:]:
        requests += [Request(route + work, at, is_in_pieces)
                     for at in times for is_in_pieces in (True, False)]
# Those that are in progress when the process is told to stop.
for request in requests:
    if request.at == 0:
        request.finish()
time.sleep(STEP_S)
os.kill(pid, signal.SIGTERM)
begun = time.monotonic()
waiting = set(requests)
while waiting and time.monotonic() < begun + grace_s:
    for request in waiting:
        if request.whole_at is None and time.monotonic() >= begun + request.at:
            request.finish()
    for request in list(waiting):
        if select.select([request.connection], [], [], 0)[0] and not request.read():
            waiting.remove(request)
    time.sleep(0.01)
with open(runs) as lines:
    ran = {line.split()[1] for line in lines if line.startswith("run ")}
faults = {r.name: fault for r in requests if (fault := r.fault(r.name in ran))}
for name, fault in faults.items():
    print(f"{name}: {fault}")
answered = sum(bool(r.answer) for r in requests)
print(f"{len(faults)} of {len(requests)} requests broke a promise, {answered} were answered")
sys.exit(bool(faults))
