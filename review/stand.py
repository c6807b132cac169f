"""Stand-ins that the cases share: the users' store, workers, balancer and clients.

They speak what PROTOCOL.md and DEPLOY.md say, on plain sockets and on loopback addresses. Nothing
is delayed, lost or wrong unless a case says so.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "arbutusquay")
BEAT_S = 1.2


class CannotRun(Exception):
    """The case couldn't run: exit code 2."""


class Record:
    """Writes record.txt: seconds since the start, and what happened."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f}  {text}\n")


async def read_head(reader):
    """Reads the head of a message: its first line and its headers; None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Net:
    """A free network of loopback addresses, 127.A.B.0/24, and free ports on it."""

    def __init__(self):
        for _ in range(200):
            self.prefix = f"127.{random.randint(70, 200)}.{random.randint(1, 250)}."
            self.base = random.randint(20000, 28000)
            if self.is_free():
                return
        raise CannotRun("no free addresses")

    def is_free(self):
        for host in (1, 10):
            for port in range(self.base, self.base + 20):
                with socket.socket() as probe:
                    try:
                        probe.bind((self.prefix + str(host), port))
                    except OSError:
                        return False
        return True

    def ip(self, host):
        return self.prefix + str(host)


class Store:
    """The metadata store: rows-get, rows-feed and rows-tx."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changed = None

    async def start(self, ip, port):
        self.changed = asyncio.Condition()
        self.address = f"{ip}:{port}"
        self.server = await asyncio.start_server(self.serve, ip, port)

    async def put(self, table, key, value):
        """Writes a row; the return is the acknowledgement."""
        async with self.changed:
            self.version += 1
            text = base64.b64encode(json.dumps(value).encode()).decode()
            self.rows[(table, key)] = (text, self.version)
            self.changed.notify_all()

    def row(self, table, key):
        value, version = self.rows[(table, key)]
        row = {"Table": table, "part": "", "Key": key, "Ver": version}
        if value is None:
            return row | {"Deleted": True}
        return row | {"Value": value}

    def version_of(self, entry):
        value, version = self.rows.get((entry["Table"], entry["Key"]), (None, 0))
        return 0 if value is None else version

    def tail(self):
        return {"Ver": self.version, "NowMs": int(time.monotonic() * 1000)}

    async def get(self, query):
        table, low, high = query["Table"], query.get("From", ""), query.get("To")
        limit = min(int(query.get("Limit", 500)), 500)
        keys = sorted(
            key
            for (t, key), (value, _) in self.rows.items()
            if t == table and value is not None and key >= low and (high is None or key < high)
        )
        rows = [self.row(table, key) for key in keys[:limit]]
        return 200, {"Rows": rows, "HasMore": len(keys) > limit} | self.tail()

    async def feed(self, query):
        table, after = query["Table"], int(query["after"])
        until = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        async with self.changed:
            while True:
                keys = [k for (t, k), (_, ver) in self.rows.items() if t == table and ver > after]
                left = until - time.monotonic()
                if keys or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            rows = sorted((self.row(table, key) for key in keys), key=lambda row: row["Ver"])
            return 200, {"Rows": rows} | self.tail()

    async def transact(self, body):
        entries = json.loads(body)
        expected = entries.get("ExpectedRevision") or []
        async with self.changed:
            if any(self.version_of(entry) != entry["Ver"] for entry in expected):
                present = [e for e in expected if self.version_of(e) > 0]
                rows = [self.row(e["Table"], e["Key"]) for e in present]
                return 412, {"Rows": rows} | self.tail()
            self.version += 1
            for entry in entries.get("Writes") or []:
                self.rows[(entry["Table"], entry["Key"])] = (entry["Value"], self.version)
            for entry in entries.get("Remove") or []:
                if self.version_of(entry) > 0:
                    self.rows[(entry["Table"], entry["Key"])] = (None, self.version)
            self.changed.notify_all()
            return 200, self.tail()

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                target = urlsplit(line.split(" ")[1])
                query = {k: v[0] for k, v in parse_qs(target.query, keep_blank_values=True).items()}
                await asyncio.sleep(0.004)
                match target.path:
                    case "/rows-get":
                        status, answer = await self.get(query)
                    case "/rows-feed":
                        status, answer = await self.feed(query)
                    case "/rows-tx":
                        status, answer = await self.transact(body)
                    case _:
                        status, answer = 404, {}
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode()
                )
                writer.write(text)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Worker:
    """A worker, which registers itself and beats. `answer` handles one request that it runs."""

    def __init__(self, store, record, worker_id, service, zone, slots, stage, answer):
        self.store, self.record, self.id, self.service = store, record, worker_id, service
        self.zone, self.slots, self.stage, self.answer = zone, slots, stage, answer
        self.beats, self.orders, self.is_busy, self.handles = 0, 0, False, set()

    async def start(self, ip, port):
        self.address = f"{ip}:{port}"
        self.server = await asyncio.start_server(self.serve, ip, port)
        await self.beat()
        self.task = asyncio.create_task(self.keep_beating())

    async def beat(self):
        self.beats += 1
        row = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": self.beats,
        }
        if self.stage:
            row["Stage"] = self.stage
        await self.store.put("servers", self.id, row)

    async def keep_beating(self):
        while True:
            await asyncio.sleep(BEAT_S)
            await self.beat()

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                attempt = headers.get("attempt-id", "")
                if headers.get("expect-instance", self.id) != self.id:
                    await reader.readexactly(int(headers.get("content-length", 0)))
                    writer.write(
                        f"HTTP/1.1 421 -\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n"
                        "Content-Length: 0\r\n\r\n".encode()
                    )
                    await writer.drain()
                    continue
                method, path, _ = line.split(" ")
                if path == "/report" or path == "/order" or path.startswith("/kv-handle/"):
                    await self.manage(method, path, headers, reader, writer)
                elif headers.get("serving-stage") == "prefill":
                    await self.prefill(attempt, headers, reader, writer)
                else:
                    await self.answer(self, attempt, headers, reader, writer)
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def manage(self, method, path, headers, reader, writer):
        """An engine's report, orders and handles."""
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        status, answer = 200, {}
        if path == "/report":
            answer = {"Stage": self.stage, "Models": [], "Busy": self.is_busy,
                      "Sequence": self.orders, "Queued": 0, "Active": 0, "KvUsed": 0,
                      "KvTotal": 1372208, "KvHandles": len(self.handles)}
        elif path == "/order":
            order = json.loads(body)
            self.record(f"{self.id} gets the order {order}")
            if self.is_busy or order.get("ExpectedRevision", self.orders) != self.orders:
                status = 409
            elif order["Stage"] != self.stage:
                status, self.is_busy, self.orders = 202, True, self.orders + 1
                asyncio.create_task(self.change_stage(order["Stage"]))
        else:
            self.handles.discard(path.rsplit("/", 1)[1])
        text = json.dumps(answer).encode()
        writer.write(f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                     f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
        await writer.drain()

    async def change_stage(self, stage):
        await asyncio.sleep(3.0)
        self.stage, self.is_busy = stage, False
        await self.beat()

    async def prefill(self, attempt, headers, reader, writer):
        await reader.readexactly(int(headers.get("content-length", 0)))
        await asyncio.sleep(0.005)
        handle = f"{random.getrandbits(48):012x}"
        self.handles.add(handle)
        tokens = int(headers["token-counts"].split(",")[0])
        text = json.dumps({"KvHandle": handle, "Tokens": tokens, "Version": 1}).encode()
        writer.write(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nContent-Type: application/json\r\n"
                     f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
        await writer.drain()

    def head(self, attempt, more):
        return (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Signature: {self.id}.{attempt}\r\n"
            f"Keep-Alive: timeout=10\r\n{more}\r\n"
        ).encode()


class Gateway:
    """A process of the system, as deploy/system.toml runs it."""

    def __init__(self, net, folder, record, number, zone, limits, bounds, store):
        self.name, self.ip, self.record = f"edge-{zone}-{number}", net.ip(9 + number), record
        self.front = (self.ip, net.base + 16)
        self.ready_at = (self.ip, net.base + 17)
        self.path = os.path.join(folder, f"{self.name}.toml")
        self.log = open(os.path.join(folder, f"{self.name}.log"), "w")
        text = f"""NodeName = "{self.name}"
Role = "gateway"
MachineClass = "edge"
Serves = ["edge"]
Ip = "{self.ip}"
Zone = "{zone}"
Region = "here"
InternalPorts = [{net.base}, {net.base + 15}]
Bootstrap = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
[Listen]
Front = "{self.front[0]}:{self.front[1]}"
ReadyAddr = "{self.ready_at[0]}:{self.ready_at[1]}"
[Limits]
{limits}
[Bounds]
{bounds}
[Platform]
Address = "{store.address}"
form = "table"
WritesPerS = 400
ReadsPerS = 2000
TxMs = 5.0
PartitionWritesS = 200
RowBytes = 65536
Across = false
HistoryS = 20
"""
        with open(self.path, "w") as file:
            file.write(text)

    def start(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"{PROGRAM} is not built")
        keep = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        self.process = subprocess.Popen(
            [PROGRAM, "gateway"],
            cwd=ROOT,
            env=keep | {"ARBUTUSQUAY_NODE_FILE": self.path},
            stdout=self.log,
            stderr=self.log,
        )
        self.record(f"{self.name} started, process {self.process.pid}")

    def send(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self):
        """Whether GET /readyz answers 200, as the platform asks it."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.ready_at), 0.5)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 0.5)
            writer.close()
            return head is not None and head[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self):
        for _ in range(300):
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} isn't ready")

    def stop(self):
        if getattr(self, "process", None) and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def run(folder, case):
    """Runs a case: `case(net, temporary folder, record, has_trouble)` returns whether the rule held."""
    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = tempfile.mkdtemp(prefix="review-")
    gateways = []
    code = 2
    # A script that is ended early ends what it started, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(code))
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda _loop, _context: None)
    try:
        record(f"TROUBLE={int(has_trouble)}")
        held = loop.run_until_complete(
            asyncio.wait_for(case(Net(), temporary, record, has_trouble, gateways), 110)
        )
        code = 0 if held else 1
    except CannotRun as why:
        record(f"can't run: {why}")
    except (SystemExit, KeyboardInterrupt):
        record("can't run: ended early")
    except Exception as why:  # A fault of the case itself isn't a fault of the system.
        record(f"can't run: {type(why).__name__}: {why}")
    finally:
        for gateway in gateways:
            gateway.stop()
            gateway.log.close()
        if os.environ.get("KEEP_LOGS"):
            record(f"logs in {temporary}")
        else:
            shutil.rmtree(temporary, ignore_errors=True)
        record(f"exit {code}")
    sys.stdout.flush()
    os._exit(code)
