"""Opens many connections to one port that break HTTP's limits, and keeps them.

crowd.py PORT SHAPE COUNT BYTES [CHUNK] [--path=P] [--back] [--address=A]
         [--seed=N]

Each connection sends its BYTES, a little at a time and all connections in turn,
and then stays open. Prints "stalled" once none can send any more: all have sent
theirs, are closed, or are not read from. With --back a connection that is
closed is opened anew. Ends when it is killed.
"""
import itertools
import random
import selectors
import socket
import sys
import time

flags = dict(a[2:].partition("=")[::2] for a in sys.argv[1:] if a.startswith("--"))
arguments = [a for a in sys.argv[1:] if not a.startswith("--")]
port, shape = int(arguments[0]), arguments[1]
count, total = int(arguments[2]), int(arguments[3])
chunk = int(arguments[4]) if len(arguments) > 4 else 65536
PIECE = 65536
QUIET_S = 4.0
SHAPES = ["silent", "head", "short_fields", "trailers", "extension", "chunks", "announced",
          "nearly", "whole"]
chance = random.Random(int(flags.get("seed", 1)))
numbers = itertools.count()


def head(lines):
    return (f"POST {flags.get('path', '/a/crowd')} HTTP/1.1\r\nHost: h.example\r\n"
            f"Api-Key: k1\r\nBilberryspool-Attempt-Id: crowd-{next(numbers)}\r\n"
            "Bilberryspool-Deadline-Ms: 8000\r\n" + lines).encode()


def repeated(unit):
    piece = unit * (PIECE // len(unit) + 1)
    sent = 0
    while sent < total:
        yield piece
        sent += len(piece)


def request():
    if shape == "mixed":
        return mixed()
    return make_request(shape)


def mixed():
    """One of all shapes, of any size up to BYTES, cut off anywhere."""
    global total, chunk
    most, total, chunk = total, chance.randint(1, total), chance.choice([1, 2, 16, 999, 65536])
    total = min(total, 4000 * chunk)
    pieces = list(make_request(chance.choice(SHAPES)))
    total = most
    return iter(pieces[:chance.randint(1, 2 * len(pieces) + 1)])


def make_request(shape):
    chunked = head("Transfer-Encoding: chunked\r\n\r\n")
    if shape == "silent":
        return iter(())
    if shape == "head":
        return itertools.chain([head("")], repeated(b"X-Filler: " + b"a" * 100 + b"\r\n"))
    if shape == "short_fields":
        fields = b"".join(b"%x:\r\n" % (n % 16) for n in range(total // 4))
        return iter([head("Content-Length: 0\r\n") + fields + b"\r\n"])
    if shape == "trailers":
        return itertools.chain([chunked + b"1\r\nx\r\n0\r\n"],
                               repeated(b"X-Filler: " + b"a" * 100 + b"\r\n"))
    if shape == "extension":
        return itertools.chain([chunked + b"1;"], repeated(b"a" * 100))
    if shape == "chunks":
        return itertools.chain([chunked], repeated(b"%x\r\n" % chunk + b"a" * chunk + b"\r\n"))
    if shape == "announced":
        return itertools.chain([head(f"Content-Length: {total * 4}\r\n\r\n")], repeated(b"a" * 100))
    if shape == "nearly":
        body = b"a" * PIECE
        pieces = [body] * ((total - 1) // PIECE) + [body[:(total - 1) % PIECE]]
        return itertools.chain([head(f"Content-Length: {total}\r\n\r\n")], pieces)
    if shape == "whole":
        body = b"a" * PIECE
        pieces = [body] * (total // PIECE) + [body[:total % PIECE]]
        return itertools.chain([head(f"Content-Length: {total}\r\n\r\n")], pieces)
    raise SystemExit(f"unknown shape {shape}")


class Client:
    def __init__(self):
        next(opened)
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex((flags.get("address", "127.0.0.1"), port))
        self.pieces = request()
        self.rest = b""
        selector.register(self.socket, selectors.EVENT_WRITE, self)

    def send(self):
        """Sends one piece; returns whether the connection made progress."""
        try:
            if not self.rest:
                self.rest = next(self.pieces, b"")
            if not self.rest:
                selector.modify(self.socket, selectors.EVENT_READ, self)
                return True
            self.rest = self.rest[self.socket.send(self.rest):]
            return True
        except BlockingIOError:
            return False
        except OSError:
            return self.close()

    def receive(self):
        """Notices a close; whole requests leave their answers unread."""
        try:
            if self.socket.recv(1, socket.MSG_PEEK):
                selector.unregister(self.socket)
                return False
        except BlockingIOError:
            return False
        except OSError:
            pass
        return self.close()

    def close(self):
        selector.unregister(self.socket)
        self.socket.close()
        clients.remove(self)
        if "back" in flags:
            clients.add(Client())
        return True


selector = selectors.DefaultSelector()
clients = set()
opened = itertools.count()
for _ in range(count):
    clients.add(Client())
last_progress = time.monotonic()
is_stalled = False
while True:
    for key, events in selector.select(0.2):
        client = key.data
        moved = client.send() if events & selectors.EVENT_WRITE else client.receive()
        if moved:
            last_progress = time.monotonic()
    is_quiet = time.monotonic() - last_progress > QUIET_S
    has_come_back = "back" in flags and next(opened) > 4 * count
    if not is_stalled and (is_quiet or has_come_back):
        is_stalled = True
        print("stalled", flush=True)
