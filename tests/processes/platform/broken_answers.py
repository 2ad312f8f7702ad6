"""Asks a gateway for answers that targets break; see raw_target.py.

broken_answers.py PORT

Fails if the gateway passes on such an answer, or anything of it, or gives no
answer of its own.
"""
import itertools
import socket
import sys
import time

port = int(sys.argv[1])
numbers = itertools.count()
LIMIT_S = 20
OK, BODY = "HTTP/1.1 200 OK\r\n(seal)", "the target's body"
LENGTH = f"Content-Length: {len(BODY)}\r\n"
CHUNKED = f"Transfer-Encoding: chunked\r\n\r\n{len(BODY):x}\r\n{BODY}\r\n0\r\n"


def broken_answers():
    for status in ("000", "001", "099", "101", "600", "999"):
        yield f"HTTP/1.1 {status} OK\r\n(seal){LENGTH}\r\n{BODY}"
    for line in ("Na me: v", "Name : v", " Name: v", "\tName: v", "Na\tme: v", "Na\0me: v",
                 "\1Name: v", "Name\x1f: v", "Na\x7fme: v", ": v", "Content-Length : 3"):
        yield f"{OK}{line}\r\n{LENGTH}\r\n{BODY}"
        yield f"{OK}{LENGTH}{line}\r\n\r\n{BODY}"
    # The length, or the coding, is on the malformed line.
    for line in (f" {LENGTH}", f"\t{LENGTH}", LENGTH.replace(":", " :")):
        yield f"{OK}{line}\r\n{BODY}, and more"
    yield f"{OK} {CHUNKED}\r\n"
    for coding in ("gzip", "gzip, chunked", "chunked, gzip", "identity", "xchunked"):
        yield OK + CHUNKED.replace("chunked", coding)
    # Cut off.
    yield "HTTP/1.1 200 OK"
    yield "HTTP/1.1 200 OK\r\n"
    yield OK
    yield f"{OK}Content-Le"
    yield f"{OK}{LENGTH}"
    yield f"{OK}{LENGTH}\r"
    yield f"{OK}Content-Type: text/event-stream\r\n"
    yield f"{OK}{LENGTH}\r\n{BODY[:-1]}"
    yield OK + CHUNKED
    yield OK + CHUNKED[:-3]


def ask(path, body):
    """Returns the status, the fields and the body of the gateway's answer."""
    head = (f"POST {path} HTTP/1.1\r\nHost: h.example\r\nApi-Key: k1\r\nConnection: close\r\n"
            f"Bilberryspool-Attempt-Id: broken-{next(numbers)}\r\n"
            f"Bilberryspool-Deadline-Ms: 3000\r\nContent-Length: {len(body)}\r\n\r\n")
    with socket.create_connection(("127.0.0.1", port), timeout=LIMIT_S) as connection:
        connection.sendall(head.encode() + body)
        answer = b""
        while piece := connection.recv(65536):
            answer += piece
    head, end, body = answer.decode("latin-1").partition("\r\n\r\n")
    assert end, f"no answer, or one that is not whole: {answer!r}"
    status_line, *lines = head.split("\r\n")
    fields = dict(line.split(": ", 1) for line in lines)
    return status_line.split(" ")[1], fields, body


def ask_target(path, body):
    """Asks again while all targets are in cooldown after a failure."""
    end = time.monotonic() + LIMIT_S
    while time.monotonic() < end:
        answer = ask(path, body)
        if answer[0] != "503":
            return answer
        time.sleep(0.05)
    sys.exit("no target is asked any more")


faults = 0
count = 0
for text in broken_answers():
    for path in ("/a/x", "/again/x", "/stream/x"):
        status, fields, body = ask_target(path, text.encode("latin-1"))
        is_sound = (status == "502" and "Bilberryspool-Response-Seal" not in fields
                    and len(body) == int(fields["Content-Length"]) and BODY[:-1] not in body)
        count += 1
        if not is_sound:
            faults += 1
            print(f"{path}: {text!r} was answered {status} {fields} {body!r}")
        while ask("/a/x", b"order")[0] != "200":
            time.sleep(0.05)
for status in ("100", "102", "103"):
    text = f"HTTP/1.1 {status} Interim\r\nA: b\r\n\r\n{OK}{LENGTH}\r\n{BODY}"
    status, fields, body = ask_target("/a/x", text.encode())
    assert (status, body) == ("200", BODY), f"{text!r} was answered {status} {body!r}"
# Unusual but valid; the fields and the body must arrive as they were sent.
for status, sent in (("299", {}), ("200", {"Odd": "\xc3\xa4\tb  c"}), ("200", {"!#$%&'*+-.^_`|~0Az": "b"})):
    lines = "".join(f"{name}: {value}\r\n" for name, value in sent.items())
    for framing in (f"{LENGTH}\r\n{BODY}",
                    CHUNKED.replace("\r\nthe", ";a=b\r\nthe") + "Trailer: t\r\n\r\n",
                    f"\r\n{BODY}"):
        text = f"HTTP/1.1 {status} \r\n(seal){lines}{framing}"
        for path in ("/a/x", "/again/x", "/stream/x"):
            answer = ask_target(path, text.encode("latin-1"))
            is_same = (answer[0] == status and answer[2] == BODY
                       and answer[1].get("Bilberryspool-Response-Seal") == "seal-of-raw"
                       and sent.items() <= answer[1].items())
            assert is_same, f"{path}: {text!r} was answered {answer}"
print(f"{faults} of {count} broken answers were passed on")
sys.exit(faults > 0)
