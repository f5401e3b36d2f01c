"""A small deployment on loopback addresses: the store, workers and clients as the users' pages describe them, and the project's own front processes."""

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
FRONT = REPOSITORY / "target" / "bin" / "oleander-front"

STORE_LATENCY_S = 0.004
CONFIG_KEY = "op/config"


class Record:
    """The record of what was sent, answered and run: one line each."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.began:9.3f} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


def unused_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


async def read_head(reader):
    """Returns the first line and the header fields (names in lowercase); None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


def answer(status, reason, body=b"", fields=()):
    head = f"HTTP/1.1 {status} {reason}\r\n"
    for name, value in fields:
        head += f"{name}: {value}\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Store:
    """The platform's store. Nothing that it has acknowledged is lost."""

    def __init__(self, address):
        self.address = address
        self.port = unused_port(address)
        self.items = {}
        self.revision = 100
        self.history = []
        self.leases = {}
        self.next_lease = 77000
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.change([(key, value, lease)], [])

    def delete(self, key):
        self.change([], [key])

    def change(self, puts, deletes):
        self.revision += 1
        for key, value, lease in puts:
            created = self.items[key]["CreateRevision"] if key in self.items else self.revision
            item = {
                "Key": key,
                "Value": base64.b64encode(value).decode(),
                "Revision": self.revision,
                "CreateRevision": created,
                "Lease": lease,
            }
            self.items[key] = item
            self.history.append((self.revision, key, item))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.history.append((self.revision, key, {"Key": key, "Revision": self.revision, "Tombstone": True}))
        self.notify()

    def end_leases(self):
        now = time.monotonic()
        ended = [lease for lease, (_, ends) in self.leases.items() if ends <= now]
        for lease in ended:
            del self.leases[lease]
        keys = [key for key, item in self.items.items() if item["Lease"] in ended]
        if keys:
            self.change([], keys)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                await asyncio.sleep(STORE_LATENCY_S)
                status, document = await self.handle(head[0], body)
                reasons = {503: "Service Unavailable", 200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed", 400: "Bad Request"}
                text = json.dumps(document).encode()
                writer.write(answer(status, reasons[status], text, [("Content-Type", "application/json")]))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, line, body):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        words = {name: values[0] for name, values in urllib.parse.parse_qs(query).items()}
        self.end_leases()
        if method == "GET" and path == "/kv-key":
            item = self.items.get(words["Key"])
            return (404, {}) if item is None else (200, dict(item, CurrentRev=self.revision))
        if method == "GET" and path == "/kv-range":
            keys = sorted(key for key in self.items if key.startswith(words["PathPrefix"]) and key > words.get("after", ""))
            rows = [self.items[key] for key in keys[:500]]
            return 200, {"items": rows, "Truncated": len(keys) > 500, "CurrentRev": self.revision}
        if method == "GET" and path == "/kv-watch":
            return await self.watch(words["PathPrefix"], int(words["after"]), int(words["WaitMs"]) / 1000)
        document = json.loads(body) if body else {}
        if method == "POST" and path == "/kv-txn":
            return self.transact(document)
        if method == "POST" and path == "/kv-lease":
            self.next_lease += 1
            length = min(max(document["TtlMs"], 1000), 600000)
            self.leases[self.next_lease] = (length, time.monotonic() + length / 1000)
            return 200, {"Lease": self.next_lease, "TtlMs": length}
        lease = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else 0
        if method == "POST" and path.startswith("/kv-keep/") and lease in self.leases:
            length = self.leases[lease][0]
            self.leases[lease] = (length, time.monotonic() + length / 1000)
            return 200, {"TtlMs": length}
        if method == "DELETE" and path.startswith("/kv-lease-end/") and lease in self.leases:
            self.leases[lease] = (0, 0)
            self.end_leases()
            return 200, {}
        return 404, {}

    async def watch(self, prefix, after, wait_s):
        ends = time.monotonic() + wait_s
        while True:
            events = [event for revision, key, event in self.history if revision > after and key.startswith(prefix)]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "CurrentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, document):
        expected = document.get("ExpectedRev", [])
        found = [self.items.get(row["Key"]) for row in expected]
        if any((0 if item is None else item["Revision"]) != row["Revision"] for row, item in zip(expected, found)):
            return 412, {"items": [item for item in found if item is not None]}
        puts = document.get("SetKeys", [])
        if any(row.get("Lease", 0) and row["Lease"] not in self.leases for row in puts):
            return 404, {}
        if puts or document.get("DeleteKeys"):
            self.change([(row["Key"], base64.b64decode(row["Value"]), row.get("Lease", 0)) for row in puts], document.get("DeleteKeys", []))
        return 200, {"Revision": self.revision}


class Worker:
    """A worker that is registered in the store. A turn's stream has as many events as its token counts allow."""

    def __init__(self, deployment, name, service, slots=16, tokens_per_event=10, event_gap_s=0.002, work_s=0.02):
        self.deployment = deployment
        self.id = name
        self.service = service
        self.slots = slots
        self.tokens_per_event = tokens_per_event
        self.event_gap_s = event_gap_s
        self.work_s = work_s
        self.address = "127.0.0.1"
        self.port = unused_port(self.address)
        self.seq = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.runs = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)
        self.register()
        self.beats = asyncio.create_task(self.beat())

    def register(self):
        self.seq += 1
        entry = {
            "Service": self.service,
            "Address": f"{self.address}:{self.port}",
            "Zone": "zone-a",
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdLeftMs": 0,
            "Seq": self.seq,
            "born": self.born,
        }
        self.deployment.store.put("servers/" + self.id, json.dumps(entry).encode())

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.register()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                await self.run(head[0], head[1], body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def run(self, line, fields, body, writer):
        request = fields.get("oleandergate-request-id", "")
        if not request:
            writer.write(answer(400, "Bad Request", b"", [("Oleandergate-Not-Run", "1")]))
            return
        if fields.get("oleandergate-expect-instance", self.id) != self.id:
            writer.write(answer(421, "Misdirected Request", b"", [("Oleandergate-Request-Id", request), ("Oleandergate-Instance-Id", self.id)]))
            return
        self.runs.append((time.monotonic(), request))
        self.deployment.record.add(f"worker {self.id} runs {request}: {line}")
        own = [("Oleandergate-Request-Id", request), ("Oleandergate-Server-Stamp", f"stamp.{self.id}.{request}")]
        if "oleandergate-token-counts" not in fields:
            await asyncio.sleep(self.work_s)
            writer.write(answer(200, "OK", f"{self.id} {request}\n".encode(), own))
            return
        most = int(fields["oleandergate-token-counts"].split(",")[1])
        first = int(fields.get("last-event-id", "0")) + 1
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in own)
        writer.write((head + "\r\n").encode())
        for number in range(first, most // self.tokens_per_event + 1):
            await asyncio.sleep(self.event_gap_s)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Front:
    """One of the project's front processes, with the settings that the platform gives it."""

    def __init__(self, deployment, name, address, memory_mb=110):
        self.deployment = deployment
        self.name = name
        self.address = address
        self.memory_mb = memory_mb
        self.ports = {what: unused_port(address) for what in ("Front", "Ready", "Control")}
        self.process = None
        self.starts = 0

    def control(self):
        return f"{self.address}:{self.ports['Control']}"

    def settings(self):
        seeds = json.dumps([front.control() for front in self.deployment.fronts[:3]])
        return f"""
NodeName = "{self.name}"
Role = "gateway"
MachineClass = "front"
Serves = ["front", "control"]
Ip = "{self.address}"
Zone = "zone-a"
Region = "region"
PortRange = [{self.deployment.first_port}, {self.deployment.first_port + 15}]
Seeds = {seeds}
Bootstrap = true
CountsAsLoss = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
[Zones]
zone-a = "region"
[Listen]
Front = "{self.address}:{self.ports['Front']}"
Ready = "{self.address}:{self.ports['Ready']}"
Control = "{self.control()}"
[Limits]
CpuShare = 0.25
Cores = 1
MemoryMb = {self.memory_mb}
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ApplyMs = 2000
RollbackSlackMs = 250
SkewMaxMs = 5000
RecoverS = 12
PassMs = 120
AgainS = 0
FinishS = 10
SettleMs = 1000
[Platform]
Address = "{self.deployment.store_address}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""

    def start(self):
        self.starts += 1
        folder = pathlib.Path(self.deployment.folder)
        settings = folder / f"{self.name}.toml"
        settings.write_text(self.settings())
        log = open(folder / f"{self.name}.log", "ab")
        variables = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        variables["OLEANDERGATE_CONFIG"] = str(settings)
        self.process = subprocess.Popen([str(FRONT)], cwd=REPOSITORY, env=variables, stdout=log, stderr=log)
        self.deployment.record.add(f"started {self.name}, process {self.process.pid}")

    def send(self, number):
        self.deployment.record.add(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()

    async def ready(self, limit_s=15):
        ends = time.monotonic() + limit_s
        while time.monotonic() < ends:
            try:
                reader, writer = await asyncio.open_connection(self.address, self.ports["Ready"])
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head is not None and head[0].split(" ")[1] == "200":
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.1)
        return False


class Answer:
    def __init__(self, status=0, body=b"", fields=None, whole=False):
        self.status = status
        self.body = body
        self.fields = fields or {}
        self.whole = whole


class Deployment:
    def __init__(self, record_path, front_count):
        self.record = Record(record_path)
        self.scratch = tempfile.TemporaryDirectory(prefix="oleandergate-review-")
        self.folder = self.scratch.name
        self.first_port = 20000
        self.store = Store("127.0.0.1")
        self.store_address = f"{self.store.address}:{self.store.port}"  # As the settings of the fronts name it.
        self.fronts = []
        self.workers = []
        for number in range(front_count):
            self.fronts.append(Front(self, f"front-zone-a-{number + 1}", f"127.0.{40 + os.getpid() % 200}.{number + 2}"))
        self.next_request = 0

    async def start(self, config):
        await self.store.start()
        self.configure(config)
        for worker in self.workers:
            await worker.start()
        for front in self.fronts:
            front.start()
        for front in self.fronts:
            if not await front.ready():
                return False
        return True

    def configure(self, config):
        self.store.put(CONFIG_KEY, json.dumps(config).encode())
        self.record.add(f"the operator writes configuration {config['Version']}")

    def request_id(self):
        self.next_request += 1
        return f"{os.getpid():x}{self.next_request:010x}"

    async def send(self, front, method, path, fields=(), body=b"", limit_s=4.0, request=None):
        """One client attempt on a new connection. Status 0: no whole answer."""
        request = request or self.request_id()
        head = f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\nOleandergate-Request-Id: {request}\r\n"
        head += f"Oleandergate-Deadline-Ms: {int(limit_s * 1000)}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in fields)
        if method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        result = Answer()
        result.request = request
        try:
            await asyncio.wait_for(self.exchange(front, head.encode() + b"\r\n" + body, result), limit_s + 0.5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        self.record.add(f"client {request} {method} {path} by {front.name}: status {result.status}, {'whole' if result.whole else 'not whole'}, {len(result.body)} bytes")
        return result

    async def exchange(self, front, message, result):
        reader, writer = await asyncio.open_connection(front.address, front.ports["Front"])
        try:
            writer.write(message)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return
            result.status = int(head[0].split(" ")[1])
            result.fields = head[1]
            if "chunked" not in head[1].get("transfer-encoding", ""):
                result.body = await reader.readexactly(int(head[1].get("content-length", "0")))
                result.whole = True
                return
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"x", 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    result.whole = True
                    return
                result.body += chunk[:-2]
        finally:
            writer.close()

    def stop(self):
        for front in self.fronts:
            if front.process is not None and front.process.poll() is None:
                front.process.kill()
                front.process.wait()
        self.record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            subprocess.run(["cp", "-r", self.folder, keep], check=False)
        self.scratch.cleanup()


def run_case(main):
    """Runs the case; exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    if not FRONT.exists():
        print(f"{FRONT.name} is not built", file=sys.stderr)
        sys.exit(2)

    async def guarded():
        # The processes that the case started are ended on SIGTERM, too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await main(os.environ.get("TROUBLE", "1") != "0")
        except asyncio.CancelledError:
            print("the case was ended", file=sys.stderr)
        except Exception:  # An error of the case must not look like a broken rule.
            traceback.print_exc()
        return 2

    sys.exit(asyncio.run(guarded()))
