"""Streams that are taken three seconds after SIGTERM, and cut when the process exits."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import stand

CUT_BY_SYSTEM = set()

ZONE = "gent-zaal-a"
GRACE_S = 8.0
PIECES = 60
PAUSE_S = 0.1
REPORT_S = 7.5
LIMITS = "CpuShare = 0.19\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\nLinkMbps = 1000.0"
BOUNDS = """StableWindowMs = 3000
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RetryBudgetRatio = 0.2
RetryWindowS = 10
RetrySlack = 54
RequireFencing = false
LeaseMs = 3000
ThawMs = 300"""
CONFIG = {
    "Version": 3,
    "Routes": [
        {"Name": "reply", "Host": "co.example", "PathPrefix": "/reply/", "RouteType": "streaming",
         "TimeoutMs": 15000, "TargetLatencyMs": 200, "TargetGapMs": 150, "MaxAttempts": 1,
         "Priority": 1, "SessionAffinity": True, "Service": "llm"},
        {"Name": "report", "Host": "co.example", "PathPrefix": "/report/",
         "RouteType": "non_idempotent", "TimeoutMs": 15000, "TargetLatencyMs": 8000,
         "MaxAttempts": 1, "Priority": 2, "Service": "portal"},
        {"Name": "notice", "Host": "co.example", "PathPrefix": "/notice/",
         "RouteType": "idempotent", "TimeoutMs": 1000, "TargetLatencyMs": 100, "MaxAttempts": 2,
         "Priority": 2, "Service": "portal"},
    ],
    "Services": [
        {"Name": "llm", "HealthPath": "/healthz", "MaxConnections": 140,
         "Engine": {"Slots": 8, "KvCapacityTokens": 1372208, "KvTokenBytes": 18432.0,
                    "LinkMbps": 630000.0, "SwapS": 3.0}},
        {"Name": "portal", "HealthPath": "/healthz", "MaxConnections": 100},
    ],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
               "IdleTimeoutMs": 15000},
}


async def stream(worker, attempt, headers, reader, writer):
    """Runs a request: a piece each PAUSE_S, within the pause that the sheet allows. It makes no
    piece after the time that Deadline-Ms gives it, and breaks off then."""
    await reader.readexactly(int(headers.get("content-length", 0)))
    deadline_s = int(headers["deadline-ms"]) / 1000
    begun = time.monotonic()
    closed = asyncio.create_task(watch_close(reader))
    worker.record(f"{worker.id} runs {attempt}, Deadline-Ms {headers['deadline-ms']}")
    writer.write(worker.head(attempt, "Content-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n"))
    for piece in range(1, PIECES + 1):
        await asyncio.sleep(PAUSE_S)
        if closed.done():
            worker.record(f"{worker.id}: {attempt} was cut off by the system before piece {piece}, "
                          f"{closed.result() - begun:.3f} s after its start")
            CUT_BY_SYSTEM.add(attempt)
            raise ConnectionResetError
        if time.monotonic() - begun >= deadline_s:
            worker.record(f"{worker.id} breaks {attempt} off at its deadline")
            raise ConnectionResetError
        text = f"id: {piece}\ndata: word {piece}\n\n".encode()
        writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")
        await writer.drain()
    closed.cancel()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    worker.record(f"{worker.id} has ended {attempt}")


async def watch_close(reader):
    """Returns the time at which the system closed the connection of a request that runs."""
    try:
        await reader.read(1)
    except (ConnectionError, OSError):
        pass
    return time.monotonic()


async def plain(worker, attempt, headers, reader, writer):
    await reader.readexactly(int(headers.get("content-length", 0)))
    await asyncio.sleep(REPORT_S if attempt.startswith("report") else 0.015)
    writer.write(worker.head(attempt, "Content-Length: 800\r\n") + b"x" * 800)
    await writer.drain()


class Balancer:
    """Asks each node once a second; a node is out after two misses."""

    def __init__(self, gateways, record):
        self.gateways, self.record = gateways, record
        self.misses = {g.name: 0 for g in gateways}

    async def run(self):
        while True:
            for gateway in self.gateways:
                is_ready = await gateway.is_ready()
                before = self.misses[gateway.name]
                self.misses[gateway.name] = 0 if is_ready else before + 1
                if before + 1 == 2 and not is_ready:
                    self.record(f"balancer: {gateway.name} is out of rotation")
            await asyncio.sleep(1.0)

    def node(self, client):
        """The node for a client's new connection: all of the zone if fewer than half are in."""
        inside = [g for g in self.gateways if self.misses[g.name] < 2]
        nodes = self.gateways if 2 * len(inside) < len(self.gateways) else inside
        return nodes[client % len(nodes)]


async def ask(gateway, attempt, path, more, is_stream):
    """Sends a request on a new connection; returns its status and whether the answer is whole."""
    status, pieces, whole = None, 0, False
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*gateway.front), 1.0)
    except (OSError, asyncio.TimeoutError):
        return None, 0, False
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: co.example\r\nAttempt-Id: {attempt}\r\n"
                     f"{more}\r\n".encode())
        head = await stand.read_head(reader)
        if head is None:
            return "closed", 0, False
        status = int(head[0].split(" ")[1])
        if head[1].get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n"))[:-2], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    whole = True
                    break
                pieces += data.count(b"id: ")
        else:
            await reader.readexactly(int(head[1].get("content-length", 0)))
            whole = True
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()
    return status, pieces, whole


async def case(net, folder, record, has_trouble, gateways):
    store = stand.Store()
    await store.start(net.ip(1), net.base)
    await store.put("op", "config", CONFIG)
    workers = [stand.Worker(store, record, f"i-llm{n}", "llm", ZONE, 8, stage, stream)
               for n, stage in enumerate(["prefill", "decode", "decode", "decode"])]
    workers += [stand.Worker(store, record, f"i-portal{n}", "portal", ZONE, 6, None, plain)
                for n in range(2)]
    for n, worker in enumerate(workers):
        await worker.start(net.ip(50 + n), net.base)
    for n in (1, 2, 3):
        gateways.append(stand.Gateway(net, folder, record, n, ZONE, LIMITS, BOUNDS, store))
        gateways[-1].start()
    for gateway in gateways:
        await gateway.wait_ready()
    balancer = Balancer(gateways, record)
    tasks = [asyncio.create_task(balancer.run())]
    notices = {"sent": 0, "200": 0}

    async def notice(number):
        notices["sent"] += 1
        node = balancer.node(number)
        status, _, whole = await ask(node, f"notice{number}", f"/notice/{number}",
                                     "Deadline-Ms: 1000\r\n", False)
        notices["200"] += status == 200 and whole

    async def send_notices():
        number = 0
        while True:
            tasks.append(asyncio.create_task(notice(number)))
            number += 1
            await asyncio.sleep(0.05)

    tasks.append(asyncio.create_task(send_notices()))
    # The machines are calm for longer than StableWindowMs before the planned work.
    await asyncio.sleep(6.0)
    term = {}

    async def stop_in_turn():
        """roll_term with gap_s = 1: two of the three hosts."""
        for gateway in gateways[:2]:
            record(f"SIGTERM to {gateway.name}" if has_trouble else f"no SIGTERM to {gateway.name}")
            term[gateway.name] = asyncio.get_running_loop().time()
            if has_trouble:
                gateway.send(signal.SIGTERM)
            await asyncio.sleep(1.0)

    async def start_again(gateway):
        """Kills a process at the end of GraceS, and starts it again once it has ended."""
        while gateway.name not in term:
            await asyncio.sleep(0.05)
        while has_trouble:
            if gateway.process.poll() is not None:
                record(f"{gateway.name} has ended")
                await asyncio.sleep(0.5)
                gateway.start()
                return
            if asyncio.get_running_loop().time() >= term[gateway.name] + GRACE_S:
                record(f"{gateway.name} is killed at the end of GraceS")
                gateway.send(signal.SIGKILL)
            await asyncio.sleep(0.05)

    async def report(number):
        """A request that runs for long; it is sent a second before the stops begin."""
        node = balancer.node(number)
        record(f"report{number} sent to {node.name}")
        status, _, whole = await ask(node, f"report{number}", f"/report/{number}",
                                     "Deadline-Ms: 15000\r\n", False)
        record(f"report{number} got {status}, {'whole' if whole else 'CUT'}")

    reports = [asyncio.create_task(report(number)) for number in range(len(gateways))]
    await asyncio.sleep(1.0)

    start = asyncio.get_running_loop().time()
    tasks.append(asyncio.create_task(stop_in_turn()))
    tasks += [asyncio.create_task(start_again(g)) for g in gateways[:2]]
    cut = []

    async def reply(number):
        node = balancer.node(number)
        attempt = f"reply{number}"
        sent_at = asyncio.get_running_loop().time()
        after = sent_at - term[node.name] if node.name in term else None
        record(f"{attempt} sent to {node.name}"
               + (f", {after:.3f} s after its SIGTERM" if after is not None and has_trouble else ""))
        parts = f"{0xa000 + number % 4:x}:79,{0xb000 + number:x}:62"
        more = (f"Deadline-Ms: 15000\r\nModel: m\r\nToken-Counts: 141,{PIECES}\r\n"
                f"Length-Hint: {PIECES}\r\nPrompt-Prefix: {parts}\r\n")
        status, pieces, whole = await ask(node, attempt, f"/reply/{number}", more, True)
        took = asyncio.get_running_loop().time() - sent_at
        record(f"{attempt} got {status}, {pieces} pieces, {'whole' if whole else 'CUT'} "
               f"after {took:.3f} s")
        # LOST: passed on to a worker, no complete answer, sent later than 3 s after SIGTERM, and
        # neither the deadline nor the route's timeout was reached.
        if has_trouble and status is not None and not whole and took < 14.5 and after is not None:
            if 3.0 < after < GRACE_S + 1.0:
                cut.append((attempt, node.name, after, pieces, took))

    replies = []
    number = 0
    while asyncio.get_running_loop().time() < start + 3.05:
        await asyncio.sleep(0.01)
    while asyncio.get_running_loop().time() < start + 4.6:
        replies.append(asyncio.create_task(reply(number)))
        number += 1
        await asyncio.sleep(0.2)
    await asyncio.gather(*replies, *reports)
    record(f"notices: {notices}")
    # The worker didn't break it off.
    await asyncio.sleep(2 * PAUSE_S)
    broken = [c for c in cut if c[0] in CUT_BY_SYSTEM]
    for attempt, name, after, pieces, took in broken:
        record(f"LOST: {attempt} at {name}, sent {after:.3f} s after its SIGTERM, was cut after "
               f"{took:.3f} s and {pieces} of {PIECES} pieces")
    if not replies:
        raise stand.CannotRun("no stream was sent")
    for task in tasks:
        task.cancel()
    return not broken


stand.run(HERE, case)
