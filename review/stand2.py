"""Stand-ins for the scripts of the second review: the platform's store, plain workers, model
workers and a small HTTP/1.1 client, all in one asyncio process, on loopback addresses only.

They do what the users' pages say (PROTOCOL.md, DEPLOY.md) and nothing else. Written for
Python 3.9 or newer, with the standard library alone.
"""

import asyncio
import base64
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
PROGRAM = os.path.join(ROOT, "target", "release", "arbutusquay")


# A gateway ends with this process, however that ends (PR_SET_PDEATHSIG of prctl).
LIBC = ctypes.CDLL(None)


def end_with_parent():
    LIBC.prctl(1, signal.SIGKILL, 0, 0, 0)


class Setup(Exception):
    """The case couldn't run."""


def free_ports(ips, n, base=20000, span=10000):
    """Finds n consecutive ports that are free on all addresses, for TCP and UDP."""
    for _ in range(200):
        first = base + random.randrange(span)
        taken = False
        for ip in ips:
            for port in range(first, first + n):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    s = socket.socket(socket.AF_INET, kind)
                    try:
                        s.bind((ip, port))
                    except OSError:
                        taken = True
                    finally:
                        s.close()
                if taken:
                    break
            if taken:
                break
        if not taken:
            return first
    raise Setup("no free ports")


# ---------------------------------------------------------------- HTTP, server side

async def read_head(reader):
    """Reads a request's head: method, target and headers (lower-case names); None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return method, target, headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readline()
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer_bytes(status, headers, body):
    head = f"HTTP/1.1 {status} X\r\n"
    for name, value in headers:
        head += f"{name}: {value}\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


# ---------------------------------------------------------------- the platform's store

class Store:
    """Rows in tables, as PROTOCOL.md describes them."""

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.rows = {}      # (table, part, key) -> (value, ver)
        self.changes = []   # (ver, table, part, key, value or None)
        self.ver = 1
        self.started = time.monotonic()
        self.changed = asyncio.Event()
        self.server = None
        self.writers = set()

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 21)

    def apply(self, writes, removes):
        """Applies a transaction's entries and returns its version."""
        self.ver += 1
        for (table, part, key), value in writes:
            self.rows[table, part, key] = (value, self.ver)
            self.changes.append((self.ver, table, part, key, value))
        for table, part, key in removes:
            if self.rows.pop((table, part, key), None) is not None:
                self.changes.append((self.ver, table, part, key, None))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.ver

    def put(self, table, key, value):
        """What the operator and the workers write."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return self.apply([((table, "", key), text)], [])

    def drop(self, table, key):
        return self.apply([], [(table, "", key)])

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, headers = head
                body = await read_body(reader, headers)
                status, value = await self.call(method, target, body)
                await asyncio.sleep(0.004)
                text = json.dumps(value).encode()
                writer.write(answer_bytes(status, [("Content-Type", "application/json")], text))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def call(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/rows-get":
            return 200, self.read(query)
        if url.path == "/rows-feed":
            return await self.feed(query)
        if url.path == "/rows-parts":
            return 200, {"parts": [""], "HasMore": False, "Ver": self.ver, "NowMs": self.now_ms()}
        if url.path == "/rows-tx" and method == "POST":
            return self.transact(json.loads(body))
        return 404, {}

    def row(self, table, part, key):
        value, ver = self.rows[table, part, key]
        return {"Table": table, "part": part, "Key": key, "Value": value, "Ver": ver}

    def read(self, query):
        table, part = query["Table"], query.get("part", "")
        first, last = query.get("From", ""), query.get("To")
        keys = sorted(k for t, p, k in self.rows if (t, p) == (table, part))
        keys = [k for k in keys if k >= first and (last is None or k < last)]
        limit = min(int(query.get("Limit", "500")), 500)
        return {"Rows": [self.row(table, part, k) for k in keys[:limit]],
                "HasMore": len(keys) > limit, "Ver": self.ver, "NowMs": self.now_ms()}

    async def feed(self, query):
        table, after = query["Table"], int(query["after"])
        until = time.monotonic() + min(int(query.get("WaitMs", "0")), 30000) / 1000
        while True:
            newest = {}
            for ver, t, part, key, value in self.changes:
                if t == table and ver > after:
                    newest.pop((part, key), None)
                    newest[part, key] = (ver, value)
            left = until - time.monotonic()
            if newest or left <= 0:
                rows = []
                for (part, key), (ver, value) in newest.items():
                    row = {"Table": table, "part": part, "Key": key, "Ver": ver}
                    if value is None:
                        row["Deleted"] = True
                    else:
                        row["Value"] = value
                    rows.append(row)
                return 200, {"Rows": rows, "Ver": self.ver, "NowMs": self.now_ms()}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, tx):
        def name(entry):
            return entry["Table"], entry.get("part", ""), entry["Key"]
        expected = tx.get("ExpectedRevision") or []
        for entry in expected:
            known = self.rows.get(name(entry), (None, 0))[1]
            if known != entry["Ver"]:
                rows = [self.row(*name(e)) for e in expected if name(e) in self.rows]
                return 412, {"Rows": rows, "Ver": self.ver, "NowMs": self.now_ms()}
        writes = [(name(w), w["Value"]) for w in tx.get("Writes") or []]
        removes = [name(r) for r in tx.get("Remove") or []]
        if any(key[0] in ("op", "servers") for key, _ in writes):
            return 403, {}
        return 200, {"Ver": self.apply(writes, removes), "NowMs": self.now_ms()}


# ---------------------------------------------------------------- workers

# Requests that wait at a worker beyond its slots, as in the site files.
QUEUE = 24


class Worker:
    """A worker of a service. `work` is called with (request, writer) and runs the request; by
    default it answers 200 after `work_s`. Rejects what is beyond its slots and its queue."""

    def __init__(self, store, service, ip, port, zone="zone-a", slots=8, work_s=0.01, work=None):
        self.store, self.service, self.ip, self.port = store, service, ip, port
        self.zone, self.slots, self.work_s = zone, slots, work_s
        self.work = work or self.plain
        self.id = f"i-{random.getrandbits(32):08x}"
        self.arrivals = []  # (time, Attempt-Id) of each request that was handed to it
        self.sequence = 0
        self.state = "ready"
        self.server = None
        self.beats = None
        self.free = asyncio.Semaphore(slots)
        self.held = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 21)
        self.register()
        self.beats = asyncio.ensure_future(self.beat())

    def register(self):
        self.sequence += 1
        self.store.put("servers", self.id, {
            "Service": self.service, "Address": f"{self.ip}:{self.port}", "Zone": self.zone,
            "Version": "1", "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0,
            "Sequence": self.sequence})

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.register()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, headers = head
                body = await read_body(reader, headers)
                if "attempt-id" not in headers:
                    writer.write(answer_bytes(404, [], b""))
                    continue
                if headers.get("expect-instance", self.id) != self.id:
                    writer.write(answer_bytes(421, [("Attempt-Id", headers["attempt-id"]),
                                                    ("Not-Executed", "1")], b""))
                    continue
                if self.held >= self.slots + QUEUE:
                    writer.write(answer_bytes(503, [("Attempt-Id", headers["attempt-id"]),
                                                    ("Not-Executed", "1")], b""))
                    await writer.drain()
                    continue
                self.held += 1
                try:
                    async with self.free:
                        self.arrivals.append((time.monotonic(), headers["attempt-id"]))
                        await self.work((method, target, headers, body), writer)
                finally:
                    self.held -= 1
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def answer(self, request, status=200, body=b"answer"):
        headers = [("Attempt-Id", request[2]["attempt-id"]), ("Keep-Alive", "timeout=15"),
                   ("Response-Signature", f"{self.id}.{request[2]['attempt-id']}")]
        return answer_bytes(status, headers, body)

    async def plain(self, request, writer):
        await asyncio.sleep(self.work_s)
        writer.write(self.answer(request))

    def stop(self):
        if self.beats:
            self.beats.cancel()
        if self.server:
            self.server.close()


# ---------------------------------------------------------------- clients

class Conn:
    """A client's kept connection."""

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.ip, self.port, limit=1 << 21), 1)

    async def send(self, method, target, headers, body=b""):
        text = f"{method} {target} HTTP/1.1\r\n"
        for name, value in headers:
            text += f"{name}: {value}\r\n"
        if body or method == "POST":
            text += f"Content-Length: {len(body)}\r\n"
        self.writer.write((text + "\r\n").encode("latin-1") + body)
        await self.writer.drain()

    async def receive(self):
        """Reads an answer: status, headers, body."""
        raw = await self.reader.readuntil(b"\r\n\r\n")
        lines = raw.decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        headers = {}
        for line in lines[1:]:
            if line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        return status, headers, await read_body(self.reader, headers)

    async def ask(self, method, target, headers, body=b"", timeout=5):
        await self.send(method, target, headers, body)
        return await asyncio.wait_for(self.receive(), timeout)

    def close(self):
        if self.writer:
            self.writer.close()


def attempt_id():
    return f"{random.getrandbits(64):016x}"


# ---------------------------------------------------------------- gateways

SETTINGS = """NodeName = "{name}"
Role = "gateway"
MachineClass = "edge"
Serves = ["edge"]
Ip = "{ip}"
Zone = "{zone}"
Region = "region-a"
InternalPorts = [{peer}, {peer_last}]
Seeds = []
Bootstrap = {bootstrap}
FaultCounted = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = {contracts}
[Zones]
zone-a = "region-a"
zone-b = "region-a"
zone-c = "region-a"
zone-d = "region-a"
[Listen]
Front = "{ip}:{front}"
ReadyAddr = "{ip}:{ready}"
[Limits]
CpuShare = 1.0
Cores = 1
MemoryMb = 260
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
{bounds}
[Platform]
Address = "{store}"
form = "table"
WritesPerS = 400
ReadsPerS = 2000
TxMs = 5.0
PartitionWritesS = 200
RowBytes = 65536
Across = false
HistoryS = 20
BlobBytes = 8388608
BlobMs = 25.0
BlobMbS = 80.0
{more}
"""

BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": 3000, "AckMs": 4000, "CatchUpS": 4,
    "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250, "SkewMaxMs": 5000, "RetryBudgetRatio": 0.2, "RetryWindowS": 10,
    "RetrySlack": 54, "RecoveryS": 12, "TransitMs": 120, "RetryAfterS": 3,
    "RequireFencing": "false", "LeaseMs": 3000, "ThawMs": 300,
}


CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine",
             "platform"]


class Gateway:
    """A process of the system, as the deploy file starts it."""

    contracts = CONTRACTS

    def __init__(self, folder, name, ip, ports, store, zone="zone-a", bounds=None, more=""):
        self.folder, self.name, self.ip, self.zone = folder, name, ip, zone
        self.front, self.ready, self.peer = ports, ports + 1, ports + 2
        self.store, self.more = store, more
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.file = os.path.join(folder, f"{name}.toml")
        self.process = None
        # The whole system starts for the first time.
        self.bootstrap = "true"

    def write_settings(self):
        text = SETTINGS.format(
            name=self.name, ip=self.ip, zone=self.zone, peer=self.peer, peer_last=self.peer + 9,
            front=self.front, ready=self.ready, store=f"{self.store.ip}:{self.store.port}",
            bootstrap=self.bootstrap, more=self.more,
            contracts=json.dumps(self.contracts),
            bounds="\n".join(f"{k} = {v}" for k, v in self.bounds.items()))
        with open(self.file + ".new", "w") as f:
            f.write(text)
        os.replace(self.file + ".new", self.file)

    async def start(self):
        self.write_settings()
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["ARBUTUSQUAY_NODE_FILE"] = self.file
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "gateway", cwd=ROOT, env=env, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL, preexec_fn=end_with_parent)
        log.close()

    async def is_ready(self):
        conn = Conn(self.ip, self.ready)
        try:
            await conn.open()
            status, _, _ = await conn.ask("GET", "/readyz", [("Host", "x")], timeout=1)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            conn.close()

    async def wait_ready(self, timeout=20):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise Setup(f"{self.name} isn't ready")

    def signal(self, number):
        """Sends a signal to this process alone, by its id."""
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            await self.process.wait()


class Record:
    """record.txt of a case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.started = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.started:9.3f} s  {text}\n")
        self.file.flush()


def run_case(case, folder):
    """Runs a case in a temporary folder and exits with 0, 1 or 2."""
    if not os.path.exists(PROGRAM):
        print("build the program first")
        raise SystemExit(2)
    scratch = tempfile.mkdtemp(prefix="arbutusquay-review-")
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"trouble: {'yes' if trouble else 'no'}")
    gateways = []

    async def main():
        # An interrupted case ends its processes too.
        for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(case(scratch, record, trouble, gateways), 110)
        finally:
            for gateway in gateways:
                await gateway.kill()
            rest = [t for t in asyncio.all_tasks() if t is not asyncio.current_task()]
            for task in rest:
                task.cancel()
            await asyncio.gather(*rest, return_exceptions=True)
            await asyncio.sleep(0.1)

    try:
        broken = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as e:
        record.line(f"couldn't run: {e!r}")
        print(f"couldn't run: {e!r}")
        raise SystemExit(2)
    finally:
        if "KEEP" in os.environ:
            print(scratch)
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    record.line("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    raise SystemExit(1 if broken else 0)
