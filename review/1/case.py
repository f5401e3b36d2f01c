"""LOST around a planned stop: orders that a process takes late in its shutdown are cut off when it exits."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from reviewplatform import BOUNDS, Connection, play, request_id, trouble

HOST = "orders.example"
TIME_LIMIT_MS = 6000
SHORT_WORK_S = 0.15
LONG_WORK_S = 2.0
STEADY_CLIENTS = 46  # Kept connections, each of which is used once after SIGTERM.
STEADY_EVERY_S = 0.13
LATE_ORDERS_AT_S = (6.1, 6.2, 6.3)  # After SIGTERM.

ROUTES = [{"Name": "orders", "Host": HOST, "PathPrefix": "/orders/", "Kind": "unsafe", "TimeoutMs": TIME_LIMIT_MS,
           "TargetLatencyMs": 800, "Priority": 2, "Service": "dispatch", "MaxAttempts": 1}]
SERVICES = [{"Name": "dispatch", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": False}]


async def work(worker, run, writer):
    await asyncio.sleep(LONG_WORK_S if "/long" in run.request.start else SHORT_WORK_S)
    worker.answer(run, writer)


async def order(record, connection, target):
    """Sends an order on a kept connection. Returns its id, whether it was answered whole, and its status."""
    name = request_id()
    sent = record.now()
    connection.send("POST", target, [("Host", HOST), ("Oleandergate-Request-Id", name), ("Oleandergate-Deadline-Ms", TIME_LIMIT_MS)], b"order")
    answer = await connection.receive()
    whole = answer is not None and answer.complete
    record.write(f"order {name} ({target}) sent at {sent:.3f} s: " + (f"answered {answer.status}" if whole else "connection closed with no answer"))
    return name, whole, answer.status if whole else 0


async def script(deployment):
    record = deployment.record
    deployment.configure(ROUTES, SERVICES)
    for _ in range(3):
        await deployment.add_worker("dispatch", work)
    if not await deployment.start_fronts(3):
        return None
    await asyncio.sleep(4.0)  # ContactMs, and a second for the processes to find each other.
    front = deployment.fronts[0]
    clients = [await Connection().open(front.address("Front")) for _ in range(STEADY_CLIENTS + len(LATE_ORDERS_AT_S))]
    for client in clients:
        if not (await order(record, client, "/orders/short"))[1]:
            return None
    if trouble():
        front.signal(signal.SIGTERM)
    began = record.now()

    async def later(at, client, target):
        await asyncio.sleep(began + at - record.now())
        return await order(record, client, target)

    steady = [later(0.1 + number * STEADY_EVERY_S, client, "/orders/short") for number, client in enumerate(clients[:STEADY_CLIENTS])]
    late = [later(at, client, "/orders/long") for at, client in zip(LATE_ORDERS_AT_S, clients[STEADY_CLIENTS:])]
    results = await asyncio.gather(*steady, *late)
    record.write(f"{front.name}: {'has ended' if front.process.returncode is not None else 'runs'}")
    ran = {run.id for worker in deployment.workers for run in worker.runs}
    # Refusals, and requests that crossed the close and were not passed on, keep the rule.
    lost = [name for name, whole, _ in results if name in ran and not whole]
    record.write(f"{len(lost)} orders were passed on to a worker and their connection was closed with no answer: {' '.join(lost)}")
    return not lost


play(pathlib.Path(__file__).parent, script)
