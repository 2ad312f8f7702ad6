"""Asks a gateway, many at a time, for answers that do not end; see raw_target.py.

endless_callers.py PORT COUNT PATH BEGINNING UNIT

The answers begin with BEGINNING and then repeat UNIT, whose length divides 64.
Fails if one of them looks whole.
"""
import selectors
import socket
import sys
import time

port, count, path = int(sys.argv[1]), int(sys.argv[2]), sys.argv[3]
beginning, unit = (a.encode().decode("unicode_escape").encode("latin-1") for a in sys.argv[4:6])
body = beginning + unit * (64 // len(unit))
LIMIT_S = 30

selector = selectors.DefaultSelector()
answers = {}
for n in range(count):
    connection = socket.create_connection(("127.0.0.1", port))
    connection.sendall((f"POST {path} HTTP/1.1\r\nHost: h.example\r\nApi-Key: k1\r\n"
                        f"Bilberryspool-Attempt-Id: endless-{n}-{time.monotonic_ns()}\r\n"
                        "Connection: close\r\nBilberryspool-Deadline-Ms: 8000\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
    selector.register(connection, selectors.EVENT_READ)
    answers[connection] = b""
end = time.monotonic() + LIMIT_S
while selector.get_map() and time.monotonic() < end:
    for key, _ in selector.select(1):
        try:
            piece = key.fileobj.recv(65536)
        except ConnectionError:
            piece = b""
        answers[key.fileobj] = (answers[key.fileobj] + piece)[:64]
        if not piece:
            selector.unregister(key.fileobj)
served = sum(answer.startswith(b"HTTP/1.1 200") for answer in answers.values())
refused = sum(answer.startswith(b"HTTP/1.1 503") for answer in answers.values())
print(f"{path}: {count} asked, {served} looked whole, {refused} refused")
sys.exit(bool(served or selector.get_map()))
