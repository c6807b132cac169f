"""CONFIG: machines keep to an old configuration for most of half a minute after their open
connections to the store have gone silent.

Four gateways. Two of them are taken away as planned, one after the other (SIGTERM, they leave). With
TROUBLE, the open connections between the gateways and the store have gone silent just before: nothing
comes through them any more and none is reset, while new ones work.
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from stand2 import *  # noqa: E402,F403

HERE = os.path.dirname(os.path.abspath(__file__))
HOST = "a.example"
CONFIG_APPLY_S = BOUNDS["ConfigApplyMs"] / 1000
STABLE_S = BOUNDS["StableWindowMs"] / 1000
WATCHED_S = 34
# How only the older version lets the requests be handled: status, and the service that runs them.
OLD = {"/moved/1": (200, "portal"), "/dropped/1": (200, "portal"), "/added/1": (404, None)}
# Requests are judged that were sent this long after the acknowledgement and the bound.
MARGIN_S = 0.25


def config(version, services, extra):
    """Routes /moved/ to a service, and besides one route for each name in `extra`."""
    route = {"RouteType": "idempotent", "TimeoutMs": 1000, "TargetLatencyMs": 100, "Priority": 2,
             "MaxAttempts": 2, "Host": HOST}
    routes = [dict(route, Name="r-moved", PathPrefix="/moved/", Service=services)]
    routes += [dict(route, Name=f"r-{name}", PathPrefix=f"/{name}/", Service="portal")
               for name in extra]
    return {
        "Version": version, "Routes": routes,
        "Services": [{"Name": name, "HealthPath": "/healthz", "MaxConnections": 100,
                      "Protocol": "h1", "Tls": False} for name in ("portal", "portal-new")],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000}}


class Link:
    """The way to the store: passes bytes on; open connections can go silent for good."""

    def __init__(self, ip, port, store):
        self.ip, self.port, self.store = ip, port, store
        self.open = []

    async def start(self):
        await asyncio.start_server(self.serve, self.ip, self.port)

    def silence(self):
        for flag in self.open:
            flag.append("silent")
        return len(self.open)

    async def serve(self, reader, writer):
        flag = []
        self.open.append(flag)
        try:
            to_reader, to_writer = await asyncio.open_connection(self.store.ip, self.store.port)
        except OSError:
            writer.close()
            return

        async def copy(source, sink):
            while True:
                data = await source.read(65536)
                if flag:
                    # Neither bytes nor the end of the connection come through.
                    await asyncio.sleep(3600)
                if not data:
                    return
                sink.write(data)
                await sink.drain()
        tasks = [asyncio.ensure_future(copy(reader, to_writer)),
                 asyncio.ensure_future(copy(to_reader, writer))]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            self.open = [other for other in self.open if other is not flag]
            writer.close()
            to_writer.close()


async def case(scratch, record, trouble, gateways):
    ips = [f"127.52.5.{i}" for i in (1, 2, 3, 4, 9)]
    port = free_ports(ips, 16)
    store = Store(ips[4], port)
    await store.start()
    store.put("op", "config", config(7, "portal", ["dropped"]))
    link = Link(ips[4], port + 1, store)
    await link.start()

    class Way:
        """Where the settings say that the store is."""
        ip, port = link.ip, link.port

    ran = {}

    def make_work(worker):
        async def work(request, writer):
            await asyncio.sleep(0.01)
            ran[request[2]["attempt-id"]] = worker.service
            writer.write(worker.answer(request))
        return work

    workers = []
    for i, service in enumerate(("portal", "portal", "portal-new", "portal-new")):
        worker = Worker(store, service, ips[4], port + 2 + i, slots=6)
        worker.work = make_work(worker)
        await worker.start()
        workers.append(worker)
    for i in range(4):
        gateway = Gateway(scratch, f"edge-{i + 1}", ips[i], port, Way,
                          zone=f"zone-{'abcd'[i]}")
        gateways.append(gateway)
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(6)
    # A usual change of the configuration, in force everywhere at once.
    store.put("op", "config", config(12, "portal", ["dropped", "older"]))
    await asyncio.sleep(1)

    if trouble:
        count = link.silence()
        record.line(f"{count} open connections to the store go silent")
    silent_at = time.monotonic()
    for gateway in gateways[:2]:
        record.line(f"{gateway.name} gets SIGTERM and leaves for good")
        gateway.signal(signal.SIGTERM)
        await asyncio.wait_for(gateway.process.wait(), BOUNDS["GraceS"])
        record.line(f"{gateway.name} has ended by itself, "
                    f"{time.monotonic() - silent_at:.1f} s later")
    left = gateways[2:]

    # Both machines that are left are in touch again StableWindowMs after the silence began.
    await asyncio.sleep(max(0, silent_at + STABLE_S + 1 - time.monotonic()))
    acknowledged = time.monotonic()
    store.put("op", "config", config(15, "portal-new", ["older", "added"]))
    record.line("the store acknowledges version 15: /moved/ goes to portal-new, /dropped/ is "
                "dropped, /added/ is added")

    broken, asked = [], 0
    while time.monotonic() < silent_at + WATCHED_S:
        for gateway in left:
            for path in ("/moved/1", "/dropped/1", "/added/1"):
                name = attempt_id()
                conn = Conn(gateway.ip, gateway.front)
                sent_at = time.monotonic()
                try:
                    await conn.open()
                    status, _, _ = await conn.ask("GET", path, [
                        ("Host", HOST), ("Attempt-Id", name), ("Deadline-Ms", "1000")], timeout=2)
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as e:
                    record.line(f"{gateway.name} {path}: no answer, {e!r}")
                    continue
                finally:
                    conn.close()
                asked += 1
                after = sent_at - acknowledged
                seen = (status, ran.get(name))
                record.line(f"{gateway.name} {path} {name}: sent {after:.2f} s after the "
                            f"acknowledgement, answered {status}, run by {ran.get(name)}")
                is_old = seen == OLD[path]
                if is_old and after > CONFIG_APPLY_S + MARGIN_S:
                    broken.append(after)
        await asyncio.sleep(0.2)
    for worker in workers:
        worker.stop()
    if asked < 100:
        raise Setup("too few requests were answered")
    record.line(f"{len(broken)} of {asked} requests were handled as only an older version allows, "
                f"sent up to {max(broken, default=0):.1f} s after the acknowledgement (bound: "
                f"{CONFIG_APPLY_S} s)")
    return bool(broken)


run_case(case, HERE)
