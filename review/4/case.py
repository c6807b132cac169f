"""REFUSED: a request that a worker has run, and that may run once at most, is answered 503.

Two gateways, seven workers of a plain service, and clients that retry as PROTOCOL.md says. One worker
is grey: it runs each request, but answers some with a 503 of its own, without `Not-Executed`.
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from stand2 import *  # noqa: E402,F403

HERE = os.path.dirname(os.path.abspath(__file__))
# Doses of `srv_grey` in the site file: a seventh of the workers, 0.45 of their requests, 6.5 s.
GREY_SHARE = 0.45
GREY_S = 6.5
CALM_S = 3.0
SENT_PER_S = 28
PROMISES = (408, 421, 429, 503)
HOST = "a.example"

CONFIG = {
    "Version": 7,
    "Routes": [{
        "Name": "r-reorder", "Host": HOST, "PathPrefix": "/reorder/", "RouteType": "non_idempotent",
        "TimeoutMs": 1500, "TargetLatencyMs": 150, "Priority": 2, "Service": "shop-api",
        "MaxAttempts": 1}],
    "Services": [{
        "Name": "shop-api", "HealthPath": "/healthz", "MaxConnections": 100, "Protocol": "h1",
        "Tls": False}],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
               "IdleTimeoutMs": 15000},
}


async def case(scratch, record, trouble, gateways):
    ips = [f"127.52.4.{i}" for i in (1, 2, 9)]
    port = free_ports(ips, 16)
    store = Store(ips[2], port)
    await store.start()
    store.put("op", "config", CONFIG)
    carried_out = {}  # reorder -> number of times that a worker has carried it out
    ran = {}          # Attempt-Id -> status of the worker that ran it
    grey_from = [None]

    def make_work(worker, may_fail):
        async def work(request, writer):
            _, target, headers, _ = request
            await asyncio.sleep(0.03)
            carried_out[target] = carried_out.get(target, 0) + 1
            since = None if grey_from[0] is None else time.monotonic() - grey_from[0]
            is_grey = trouble and may_fail and since is not None and 0 <= since < GREY_S
            status = 503 if is_grey and random.random() < GREY_SHARE else 200
            ran[headers["attempt-id"]] = status
            record.line(f"{worker.id} ran {headers['attempt-id']} ({target}), answers {status}")
            writer.write(worker.answer(request, status, b"done" if status == 200 else b"sorry"))
        return work

    workers = []
    for i in range(7):
        worker = Worker(store, "shop-api", ips[2], port + 1 + i, slots=6)
        worker.work = make_work(worker, may_fail=i == 0)
        await worker.start()
        workers.append(worker)
    for i in range(2):
        gateway = Gateway(scratch, f"edge-{i + 1}", ips[i], port, store)
        gateways.append(gateway)
        await gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(1)

    answered = {}  # Attempt-Id -> status
    served = set()

    async def client(number):
        """A client with one reorder: one retry, on a new connection, after a promise alone."""
        target, gateway = f"/reorder/{number}", gateways[number % 2]
        for attempt in range(2):
            attempt_name = attempt_id()
            conn = Conn(gateway.ip, gateway.front)
            try:
                await conn.open()
                status, headers, _ = await conn.ask("POST", target, [
                    ("Host", HOST), ("Attempt-Id", attempt_name), ("Deadline-Ms", "1500")],
                    b"a chest of leaf", timeout=1.5)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as e:
                record.line(f"{attempt_name} ({target}) got no answer: {e!r}")
                return
            finally:
                conn.close()
            answered[attempt_name] = status
            record.line(f"{attempt_name} ({target}) is answered {status}")
            if status == 200:
                served.add(target)
            if status not in PROMISES:
                return
            await asyncio.sleep(min(float(headers.get("retry-after", "0")), 0.5))
            gateway = gateways[(number + 1) % 2]

    clients = []
    number = 0
    begin = time.monotonic()
    grey_from[0] = begin + CALM_S
    while time.monotonic() < begin + CALM_S + GREY_S:
        number += 1
        clients.append(asyncio.ensure_future(client(number)))
        await asyncio.sleep(1 / SENT_PER_S)
    await asyncio.gather(*clients)
    for worker in workers:
        worker.stop()

    if len(served) < number // 2:
        raise Setup(f"only {len(served)} of {number} reorders were served")
    wrong = [a for a, status in answered.items() if status in PROMISES and a in ran]
    twice = [t for t, times in carried_out.items() if times > 1]
    record.line(f"{number} reorders; {len(wrong)} attempts were answered 408, 421, 429 or 503 and "
                f"had run; {len(twice)} reorders were carried out more than once")
    for name in wrong:
        record.line(f"broken: {name} was answered {answered[name]} and has run")
    return bool(wrong)


run_case(case, HERE)
