"""ORDER: streams that their clients take up during an outage of the store go on at another software version than the one that began them."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from reviewplatform import Connection, play, read_head, request_id, response_bytes, trouble

HOST = "turns.example"
TIME_LIMIT_MS = 4000
EVENTS = 24
GAP_S = 0.12
PROGRAMS = 30
ALLOWED = 2  # Streams joined from two versions.
STORE_DOWN_AFTER_S = 0.3  # After the streams were sent.
STORE_DOWN_FOR_S = 4.5
KILL_AFTER_S = 1.95
FRONTS = 8
ROUTES = [{"Name": "turns", "Host": HOST, "PathPrefix": "/turns/", "Kind": "streaming", "TimeoutMs": TIME_LIMIT_MS, "TargetLatencyMs": 250,
           "Priority": 0, "Service": "engine", "MaxAttempts": 1, "KeepsHistory": False, "RetentionS": 60.0, "Sticky": True, "Resumable": True,
           "GapAimMs": 200}]
SERVICES = [{"Name": "engine", "HealthPath": "/health", "MaxConns": 180, "Protocol": "h1", "Tls": False,
             "Engine": {"Slots": 16, "KvCapacity": 123112, "TokensPerEvent": 10, "Models": [{"Name": "m"}]}}]
full = set()  # Workers that have no room at the moment.


def chunk(text):
    return f"{len(text):x}\r\n{text}\r\n".encode()


async def stream(worker, run, writer):
    if worker.id in full:
        writer.write(response_bytes(503, [("Oleandergate-Request-Id", run.id), ("Oleandergate-Not-Run", "1")]))
        return
    after = int(run.request.header("Last-Event-Id") or 0)
    head = worker.head(run, 200, [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"), ("Oleandergate-Weight-Versions", "1")])
    writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{name}: {value}\r\n" for name, value in head) + "\r\n").encode())
    for number in range(after + 1, EVENTS + 1):
        writer.write(chunk(f"id: {number}\ndata: {worker.version} event {number}\n\n"))
        await writer.drain()
        await asyncio.sleep(GAP_S)
    writer.write(b"0\r\n\r\n")


async def attempt(front, program, events, deadline, name, resumes=None):
    """Sends one attempt of a turn and appends the events that arrive whole. Returns the status, and whether the stream ended whole."""
    headers = [("Host", HOST), ("Oleandergate-Request-Id", name), ("Oleandergate-Deadline-Ms", int(deadline * 1000)),
               ("Oleandergate-Program-Id", program), ("Oleandergate-Session-Id", program + "a"), ("Oleandergate-Finish-Ms", 9000),
               ("Oleandergate-Model", "m"), ("Oleandergate-Token-Counts", f"100,{10 * EVENTS}"), ("Oleandergate-Prompt-Prefix", f"{program}:100")]
    if events:
        headers += [("Last-Event-Id", len(events)), ("Resumes", resumes)]
    connection = await Connection().open(front.address("Front"))
    status = 0
    try:
        connection.send("POST", "/turns/1", headers, b"prompt")
        start, _ = await read_head(connection.reader)
        status = int(start.split(" ")[1])
        while status == 200:
            size = int((await connection.reader.readuntil(b"\r\n")).strip(), 16)
            if size == 0:
                return status, True
            text = (await connection.reader.readexactly(size + 2))[:-2].decode()
            events.extend(line[6:] for line in text.split("\n") if line.startswith("data: "))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        pass
    finally:
        connection.close()
    return status, False


async def turn(record, first, second, program):
    events = []
    began = record.now()
    name = request_id()
    status, whole = await attempt(first, program, events, TIME_LIMIT_MS / 1000, name)
    taken = len(events)
    if not whole and status == 200 and events:
        await asyncio.sleep(0.05)
        status, whole = await attempt(second, program, events, TIME_LIMIT_MS / 1000 - (record.now() - began), request_id(), name)
    record.write(f"program {program}: {taken} events, then {len(events) - taken} after taking the stream up; last status {status}, "
                 f"{'whole' if whole else 'not whole'}: {', '.join(events)}")
    return events


async def script(deployment):
    record = deployment.record
    deployment.configure(ROUTES, SERVICES)
    for _ in range(2):
        await deployment.add_worker("engine", stream, slots=16, version="v1")
    if not await deployment.start_fronts(FRONTS):
        return None
    await asyncio.sleep(4.0)
    record.write("a release begins: a worker of version v2 joins")
    new = await deployment.add_worker("engine", stream, slots=16, version="v2")
    await asyncio.sleep(14.0)  # Streams that began before the change of assignments have long ended.
    first, second = deployment.fronts[:2]
    full.add(new.id)
    record.write(f"worker {new.id} (v2) is full and says of each request that it did not run it")
    turns = [asyncio.create_task(turn(record, first, second, f"{number:014x}")) for number in range(1, PROGRAMS + 1)]
    await asyncio.sleep(STORE_DOWN_AFTER_S)
    if trouble():
        record.write(f"the store is down for all machines (503) for {STORE_DOWN_FOR_S} s")
        for front in deployment.fronts:
            deployment.store.refused.add(front.name)
        asyncio.get_running_loop().call_later(STORE_DOWN_FOR_S, deployment.store.refused.clear)
    await asyncio.sleep(KILL_AFTER_S - STORE_DOWN_AFTER_S)
    full.clear()
    record.write(f"worker {new.id} (v2) has room again")
    if trouble():
        first.signal(signal.SIGKILL)
    streams = await asyncio.gather(*turns)
    joined = [events for events in streams if len({event.split(" ")[0] for event in events}) > 1]
    record.write(f"{len(joined)} of {len(streams)} streams were joined from two software versions")
    return len(joined) <= ALLOWED


play(pathlib.Path(__file__).parent, script)
