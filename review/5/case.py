"""ONE: the platform gets two usage reports for one window with different counts, after the store has
come back from a copy and the process that reported was lost.

Two gateways, two workers, a configuration with tenants, and the platform's `POST /usage`. As the report
of a window has been accepted, the process that sent it is killed, and the store is away for a moment
and comes back from a copy that is some seconds old.
"""

import math
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from stand2 import *  # noqa: E402,F403

HERE = os.path.dirname(os.path.abspath(__file__))
HOST = "a.example"
WINDOW_S, LATE_S = 5, 10
TENANTS = [(f"tenant-{i}", f"key-{i}-77cd") for i in range(4)]
CLIENTS, SENT_PER_S = 24, 120
# Clients with a job on each full second, as timers have it, spread over some milliseconds.
TIMED_CLIENTS, SPREAD_S = 160, 0.01
COPY_AGE_S, AWAY_S = 3.0, 0.5
# Windows that are reported before anything happens, and time watched after it.
CALM_REPORTS, WATCHED_S = 3, 22


def config(version):
    return {
        "Version": version,
        "Routes": [{
            "Name": "r-notice", "Host": HOST, "PathPrefix": "/notice/", "RouteType": "idempotent",
            "TimeoutMs": 1500, "TargetLatencyMs": 150, "Priority": 2, "Service": "portal",
            "MaxAttempts": 2, "Anonymous": False}],
        "Services": [{
            "Name": "portal", "HealthPath": "/healthz", "MaxConnections": 180, "Protocol": "h1",
            "Tls": False}],
        "Tenants": [{"Name": name, "ApiKeys": [key]} for name, key in TENANTS],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000}}


class DrillStore(Store):
    """A store whose answers name its era, and that can come back from a copy."""

    def __init__(self, ip, port):
        super().__init__(ip, port)
        self.era, self.away, self.copies = 1, False, []

    async def copy(self):
        while True:
            self.copies.append((time.monotonic(), dict(self.rows), self.ver, list(self.changes)))
            self.copies = [c for c in self.copies if time.monotonic() - c[0] < 2 * COPY_AGE_S]
            await asyncio.sleep(0.1)

    async def restore(self, workers, version, record):
        at, rows, ver, changes = max(
            (c for c in self.copies if time.monotonic() - c[0] >= COPY_AGE_S), key=lambda c: c[0])
        self.away = True
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(AWAY_S)
        self.rows, self.ver, self.changes = dict(rows), ver, list(changes)
        self.copies = []
        self.era += 1
        self.away = False
        record.line(f"the store is back from a copy of {time.monotonic() - at:.1f} s ago, "
                    f"era {self.era}")
        # What the operator and the workers wrote is written again.
        self.put("op", "config", config(version))
        for worker in workers:
            worker.register()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while not self.away:
                head = await read_head(reader)
                if head is None or self.away:
                    return
                method, target, headers = head
                body = await read_body(reader, headers)
                status, value = await self.call(method, target, body)
                await asyncio.sleep(0.004)
                if self.away:
                    return
                text = json.dumps(value).encode()
                writer.write(answer_bytes(status, [
                    ("Content-Type", "application/json"), ("Store-Era", str(self.era))], text))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort() if self.away else writer.close()

    async def feed(self, query):
        if int(query["after"]) > self.ver:
            return 410, {}
        return await super().feed(query)


async def case(scratch, record, trouble, gateways):
    ips = [f"127.52.8.{i}" for i in (1, 2, 9)]
    port = free_ports(ips, 16)
    store = DrillStore(ips[2], port)
    await store.start()
    store.put("op", "config", config(7))
    asyncio.ensure_future(store.copy())
    reports = {}  # window -> the counts of each report that was accepted, in order
    lost = []
    restored = []

    async def cloud(reader, writer):
        """The platform: accepts usage reports, and checks no fence."""
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                _, path, headers = head
                body = json.loads(await read_body(reader, headers))
                holder, token = headers["lease-holder"], headers["fencing-token"]
                before = reports.setdefault(body["WindowId"], [])
                is_new = body["Counts"] not in before
                if is_new:
                    before.append(body["Counts"])
                record.line(f"{path} of {holder} under token {token}: window {body['WindowId']}, "
                            f"counts {body['Counts']}"
                            + ("" if is_new else ", an exact repeat"))
                if trouble and not lost and len(reports) > CALM_REPORTS:
                    sender = next(g for g in gateways if g.name == holder)
                    lost.append(sender)
                    sender.signal(signal.SIGKILL)
                    record.line(f"{holder} is killed, and the store goes away")
                    restored.append(asyncio.ensure_future(store.restore(workers, 7, record)))
                writer.write(answer_bytes(200, [], b""))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    await asyncio.start_server(cloud, ips[2], port + 5)
    workers = []
    for i in range(2):
        worker = Worker(store, "portal", ips[2], port + 1 + i, slots=100)
        await worker.start()
        workers.append(worker)
    more = (f'[Cloud]\nAddress = "{ips[2]}:{port + 5}"\nDutiesPerS = 50.0\n'
            'Duties = ["usage_report"]\n')
    # As in the settings of the site.
    bounds = {"StableWindowMs": 4000, "AckMs": 6000, "CatchUpS": 6, "DrainMs": 3000,
              "ConfigApplyMs": 3000, "SkewMaxMs": 6000, "RetrySlack": 80, "RecoveryS": 15,
              "TransitMs": 200, "RetryAfterS": 3.3, "ReportWindowS": WINDOW_S, "UsageLateS": LATE_S,
              "UsageTolerance": 0.05, "StrictRevoke": "false", "RevokeMs": 5000}
    for i in range(2):
        gateway = Gateway(scratch, f"edge-{i + 1}", ips[i], port, store, bounds=bounds, more=more)
        gateway.contracts = CONTRACTS[:-1] + ["health", "pool", "tenants", "leader", "platform"]
        gateways.append(gateway)
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(1)
    end = [None]
    statuses = {}

    async def client(number):
        tenant, key = TENANTS[number % len(TENANTS)]
        conn, turn = None, number
        while end[0] is None:
            if number < CLIENTS:
                await asyncio.sleep(random.expovariate(SENT_PER_S / CLIENTS))
            else:
                at = math.floor(time.time() + SPREAD_S) + 1 + random.uniform(-SPREAD_S, SPREAD_S)
                await asyncio.sleep(max(0, at - time.time()))
            live = [g for g in gateways if g not in lost]
            try:
                if conn is None:
                    gateway = live[turn % len(live)]
                    conn = Conn(gateway.ip, gateway.front)
                    await conn.open()
                status, _, _ = await conn.ask("GET", f"/notice/{number}", [
                    ("Host", HOST), ("Attempt-Id", attempt_id()), ("Deadline-Ms", "1500"),
                    ("Key", key)], timeout=2)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                status = 0
            if status != 200:
                conn.close()
                conn = None
                turn += 1
            statuses[status] = statuses.get(status, 0) + 1

    clients = [asyncio.ensure_future(client(i)) for i in range(CLIENTS + TIMED_CLIENTS)]
    until = time.monotonic() + 50
    while time.monotonic() < until and len(reports) <= CALM_REPORTS:
        await asyncio.sleep(0.1)
    if len(reports) <= CALM_REPORTS:
        raise Setup("no usage reports")
    await asyncio.sleep(WATCHED_S)
    end[0] = time.monotonic()
    await asyncio.gather(*clients)
    for worker in workers:
        worker.stop()
    different = {w: counts for w, counts in reports.items() if len(counts) > 1}
    record.line(f"requests answered: {statuses}; runs: {sum(len(w.arrivals) for w in workers)}")
    record.line(f"windows reported: {len(reports)}; with different counts: {different}")
    return bool(different)


run_case(case, HERE)
