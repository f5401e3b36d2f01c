"""DRAIN: a stream that breaks off is sent again to the worker that has been draining for longer than DrainMs."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from reviewplatform import BOUNDS, call, play, request_id, trouble

HOST = "turns.example"
TIME_LIMIT_MS = 4000
EVENTS = 16
GAP_S = 0.2
BREAKS_AFTER_S = BOUNDS["DrainMs"] / 1000 + 0.5  # After the store accepted that the worker is draining.
STREAMS = 40  # One of them breaks off, which is less than 3 in 100.
ROUTES = [{"Name": "turns", "Host": HOST, "PathPrefix": "/turns/", "Kind": "streaming", "TimeoutMs": TIME_LIMIT_MS, "TargetLatencyMs": 250,
           "Priority": 0, "Service": "engine", "MaxAttempts": 1, "KeepsHistory": False, "RetentionS": 60.0, "Sticky": True, "Resumable": True,
           "GapAimMs": 200}]
SERVICES = [{"Name": "engine", "HealthPath": "/health", "MaxConns": 180, "Protocol": "h1", "Tls": False,
             "Engine": {"Slots": 16, "KvCapacity": 123112, "TokensPerEvent": 10, "Models": [{"Name": "m"}]}}]


broken = set()


def chunk(text):
    return f"{len(text):x}\r\n{text}\r\n".encode()


async def stream(worker, run, writer):
    after = int(run.request.header("Last-Event-Id") or 0)
    head = worker.head(run, 200, [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"), ("Oleandergate-Weight-Versions", "1")])
    writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in head) + "\r\n").encode())
    for number in range(after + 1, EVENTS + 1):
        if number > after + 1:
            await asyncio.sleep(GAP_S)
        if trouble() and not broken and worker.drained_at and worker.record.now() > worker.drained_at + BREAKS_AFTER_S:
            broken.add(run.id)
            writer.write(chunk(f"id: {number}\nda"))
            await writer.drain()
            worker.record.write(f"worker {worker.id} breaks off the stream of {run.id} inside event {number}")
            writer.close()
            return
        writer.write(chunk(f"id: {number}\ndata: event {number}\n\n"))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


async def turn(record, front):
    name = request_id()
    sent = record.now()
    answer = await call(front.address("Front"), "POST", "/turns/1", [
        ("Host", HOST), ("Oleandergate-Request-Id", name), ("Oleandergate-Deadline-Ms", TIME_LIMIT_MS), ("Oleandergate-Model", "m"),
        ("Oleandergate-Token-Counts", f"100,{10 * EVENTS}"), ("Oleandergate-Prompt-Prefix", f"{name}:100")], b"prompt")
    whole = answer is not None and answer.complete
    events = answer.body.count(b"data: ") if answer is not None else 0
    record.write(f"turn {name} sent at {sent:.3f} s: {answer.status if answer else 'closed'}, {events} events, {'whole' if whole else 'not whole'}")


async def script(deployment):
    record = deployment.record
    deployment.configure(ROUTES, SERVICES)
    for _ in range(3):
        await deployment.add_worker("engine", stream, slots=16)
    if not await deployment.start_fronts(1):
        return None
    await asyncio.sleep(4.0)
    turns = [asyncio.create_task(turn(record, deployment.fronts[0])) for _ in range(STREAMS)]
    await asyncio.sleep(0.3)
    worker = max(deployment.workers, key=lambda candidate: len(candidate.runs))
    worker.drain()
    await asyncio.gather(*turns)
    late = [run for run in worker.runs if run.arrived > worker.drained_at + BOUNDS["DrainMs"] / 1000]
    for run in late:
        record.write(f"{run.id} reached the draining worker {worker.id} {run.arrived - worker.drained_at:.3f} s after the store's ack")
    record.write(f"{len(late)} requests reached the worker later than DrainMs after the ack; {len(deployment.workers) - 1} others were ready")
    return not late


play(pathlib.Path(__file__).parent, script)
