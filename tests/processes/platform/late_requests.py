"""Sends requests to a gateway while it is stopped.

late_requests.py PORT PID GRACE_S

All go to targets that answer after the end of the grace. Ends the process with
SIGTERM, and fails if a request gets no whole answer within the grace, or if one
that becomes whole late in it is passed on, or not refused at once.
"""
import os
import select
import signal
import socket
import sys
import time

port, pid, grace_s = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
STEP_S = 0.5
SLACK_S = 1.0


class Request:
    """A request whose last byte is sent `at` seconds after SIGTERM."""

    def __init__(self, path, at):
        self.name, self.at = f"late-{path.strip('/').replace('/', '-')}-{at}", at
        self.answer, self.whole_at, self.answered_at = b"", None, None
        self.connection = socket.create_connection(("127.0.0.1", port))
        self.connection.sendall((f"POST {path} HTTP/1.1\r\nHost: h.example\r\nApi-Key: k1\r\n"
                                 f"Bilberryspool-Attempt-Id: {self.name}\r\n"
                                 "Bilberryspool-Deadline-Ms: 8000\r\nContent-Length: 5\r\n\r\n"
                                 "orde").encode())

    def finish(self):
        self.connection.sendall(b"r")
        self.whole_at = time.monotonic()

    def read(self):
        """Returns whether there will be more."""
        try:
            piece = self.connection.recv(65536)
        except ConnectionError:
            piece = b""
        self.answer += piece
        self.answered_at = time.monotonic()
        return bool(piece)

    def fault(self):
        head, end, body = self.answer.decode().partition("\r\n\r\n")
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:])
        if not end or len(body) != int(fields.get("Content-Length", -1)):
            return f"no whole answer: {self.answer!r}"
        status, took = head.split(" ")[1], self.answered_at - self.whole_at
        if status == "200":
            return "200 from a target that has not answered"
        if self.at > grace_s / 2 and (status != "503" or took > SLACK_S):
            return f"came late and was answered {status} after {took:.2f} s"
        return ""


PATHS = ("/a/slow", "/again/slow", "/stream/slow")
requests = [Request(path, step * STEP_S) for path in PATHS
            for step in range(int((grace_s - SLACK_S) / STEP_S))]
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
faults = [(r.name, r.fault()) for r in requests if r.fault()]
for name, fault in faults:
    print(f"{name}: {fault}")
print(f"{len(faults)} of {len(requests)} requests broke a promise")
sys.exit(bool(faults))
