"""Targets that answer with any bytes.

raw_target.py ADDRESS FIRST_PORT COUNT [CONTROL,...]

Announces COUNT targets of the users' platform at the control nodes (IP:PORT), if
there are any.

A request whose body begins with "HTTP/" is answered with that body as it is, but
for "(seal)", which stands for the field of the digest; then the connection is
closed. The path says what else an answer is like:
/.../endless    the last 64 bytes of the body follow again and again, as fast as
                they are read, until the caller closes
/.../dripping   the same, 16 KB every 200 ms
/.../slow-N     a sound answer after N seconds
/load           the report of an idle engine; once /.../endless_load was asked for,
                bytes without an end
All others get a sound answer.
"""
import json
import os
import socket
import sys
import threading
import time
import urllib.request

address, first_port, count = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
controls = sys.argv[4].split(",") if len(sys.argv) > 4 else []
endless_load = threading.Event()
SEAL = "Bilberryspool-Response-Seal: seal-of-raw\r\n"
DRIPPING = "/dripping"
ENDLESS = ("/endless", DRIPPING)


def announce():
    for sequence in range(1, 1 << 30):
        for n in range(count):
            body = {"service": "model", "address": f"{address}:{first_port + n}", "zone": "z1",
                    "slots": 512, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence}
            for control in controls:
                call = urllib.request.Request(f"http://{control}/instances/raw-{n}", method="PUT",
                                              data=json.dumps(body).encode())
                try:
                    urllib.request.urlopen(call, timeout=1).close()
                    break
                except OSError:
                    continue
        time.sleep(0.3)


def read_request(connection):
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(65536)
        if not piece:
            return None
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines[1:])
    while len(body) < int(fields.get("content-length", 0)):
        body += connection.recv(65536)
    return lines[0].split(" ")[1], fields.get("bilberryspool-attempt-id", ""), body


def send_without_end(connection, piece, pause_s=0.0):
    while True:
        connection.sendall(piece)
        time.sleep(pause_s)


def serve(connection):
    with connection:
        request = read_request(connection)
        if request is None:
            return
        path, attempt, body = request
        if path.endswith(ENDLESS):
            connection.sendall(body.replace(b"(seal)", SEAL.encode()))
            if path.endswith(DRIPPING):
                send_without_end(connection, body[-64:] * 256, 0.2)
            send_without_end(connection, body[-64:] * 1024)
        if "/slow-" in path:
            # In one write: print() of several threads mixes their lines.
            os.write(1, f"run {attempt}\n".encode())
            time.sleep(int(path.rpartition("-")[2]))
        if path.endswith("/endless_load"):
            endless_load.set()
        if path == "/load":
            body = b"HTTP/1.1 200 OK\r\nContent-Length: 24\r\n\r\n" + b'{"running":0,"queued":0}'
            if endless_load.is_set():
                connection.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
                send_without_end(connection, b"[" * 65536)
        if not body.startswith(b"HTTP/"):
            body = (f"HTTP/1.1 200 OK\r\n{SEAL}Bilberryspool-Attempt-Id: {attempt}\r\n"
                    "Content-Length: 5\r\n\r\nsound").encode()
        connection.sendall(body.replace(b"(seal)", SEAL.encode()))


def serve_quietly(connection):
    try:
        serve(connection)
    except OSError:
        pass


def listen(port):
    with socket.create_server((address, port), backlog=512) as server:
        while True:
            threading.Thread(target=serve_quietly, args=(server.accept()[0],), daemon=True).start()


for n in range(count):
    threading.Thread(target=listen, args=(first_port + n,), daemon=True).start()
announce()
