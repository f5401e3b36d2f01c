"""Stand-ins of the users' platform for the review: the metadata store, workers, clients, and the system's processes.

Everything speaks HTTP/1.1 on loopback addresses and runs on the real clock. Only the standard library is used.
"""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import shlex
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]

BOUNDS = {
    "SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8,
    "LossSlackMs": 200, "ApplyMs": 2000, "RollbackSlackMs": 250, "SkewMaxMs": 5000, "RecoverS": 12, "PassMs": 120,
    "AgainS": 0, "FinishS": 10, "SettleMs": 1000,
}


def free_port(host="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Record:
    """What was sent, answered and run, with the time since the start of the script."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():9.3f} s  {text}\n")
        self.file.flush()


class Message:
    """A request or a response that was received."""

    def __init__(self, start, headers, body, complete=True):
        self.start = start
        self.headers = headers
        self.body = body
        self.complete = complete

    def header(self, name):
        return self.headers.get(name.lower(), "")

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    """Reads a message with a length or in chunks. A body that ends early yields complete=False."""
    start, headers = await read_head(reader)
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return Message(start, headers, body, False)
    return Message(start, headers, body)


def response_bytes(status, headers, body=b""):
    reason = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reason.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Store:
    """The platform's metadata store. Each machine reaches it at an address of its own, so that it can reject single machines."""

    def __init__(self):
        self.items = {}
        self.leases = {}
        self.history = []
        self.revision = 1
        self.changed = asyncio.Event()
        self.lease_numbers = itertools.count(1000)
        self.servers = []
        self.refused = set()  # Machines that the store rejects with 503.
        self.connections = {}  # Writers of open connections, by machine.
        self.watchers = {}  # Open watches of the workers' entries, by machine.

    async def listen(self, machine):
        async def serve(reader, writer):
            self.connections.setdefault(machine, set()).add(writer)
            try:
                await self.serve(machine, reader, writer)
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                pass
            finally:
                self.connections[machine].discard(writer)
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.servers.append(server)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def refuse(self, machine):
        """Rejects the machine from now on, and cuts its waiting watches."""
        self.refused.add(machine)
        for writer in list(self.connections.get(machine, ())):
            writer.close()

    async def serve(self, machine, reader, writer):
        while True:
            request = await read_message(reader)
            method, target = request.start.split(" ")[:2]
            path, _, query = target.partition("?")
            arguments = {k: v[0] for k, v in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
            body = json.loads(request.body) if request.body else {}
            if machine in self.refused:
                status, answer = 503, {}
            else:
                status, answer = await self.answer(machine, method, path, arguments, body)
            text = json.dumps(answer).encode()
            writer.write(response_bytes(status, [("Content-Type", "application/json")], text))
            await writer.drain()

    def shown(self, key):
        item = self.items[key]
        return {"Key": key, "Value": base64.b64encode(item["value"]).decode(), "Revision": item["revision"],
                "CreateRevision": item["created"], "Lease": item["lease"]}

    def write(self, key, value, lease=0):
        """Writes as an operator or a worker does."""
        self.revision += 1
        self.apply(key, value, lease)

    def apply(self, key, value, lease):
        value = value if isinstance(value, bytes) else value.encode()
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"value": value, "revision": self.revision, "created": created, "lease": lease}
        self.history.append((self.revision, self.shown(key)))
        self.changed.set()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append((self.revision, {"Key": key, "Revision": self.revision, "Tombstone": True}))
            self.changed.set()

    def expire(self):
        now = time.monotonic()
        for lease in [n for n, entry in self.leases.items() if entry["until"] <= now]:
            del self.leases[lease]
            for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                self.remove(key)

    async def answer(self, machine, method, path, arguments, body):
        self.expire()
        if path == "/kv-key":
            key = arguments["Key"]
            return (200, self.shown(key) | {"CurrentRev": self.revision}) if key in self.items else (404, {"CurrentRev": self.revision})
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(arguments["PathPrefix"]) and k > arguments.get("after", ""))
            return 200, {"items": [self.shown(k) for k in keys[:500]], "Truncated": len(keys) > 500, "CurrentRev": self.revision}
        if path == "/kv-watch":
            return 200, await self.watch(machine, arguments)
        if path == "/kv-txn":
            return self.transact(body)
        if path == "/kv-lease":
            number = next(self.lease_numbers)
            self.leases[number] = {"ttl": body["TtlMs"], "until": time.monotonic() + body["TtlMs"] / 1000}
            return 200, {"Lease": number, "TtlMs": body["TtlMs"]}
        if path.startswith("/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {}
            lease["until"] = time.monotonic() + lease["ttl"] / 1000
            return 200, {"TtlMs": lease["ttl"]}
        if path.startswith("/kv-lease-end/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease:
                lease["until"] = 0
                self.expire()
            return 200, {}
        return 404, {}

    async def watch(self, machine, arguments):
        prefix, after = arguments["PathPrefix"], int(arguments["after"])
        end = time.monotonic() + int(arguments["WaitMs"]) / 1000
        if prefix.startswith("servers/"):
            self.watchers[machine] = self.watchers.get(machine, 0) + 1
        try:
            while True:
                found = [event for revision, event in self.history if revision > after and event["Key"].startswith(prefix)]
                left = end - time.monotonic()
                if found or left <= 0:
                    return {"events": found, "CurrentRev": self.revision}
                self.changed.clear()
                try:
                    await asyncio.wait_for(self.changed.wait(), min(left, 0.05))
                except asyncio.TimeoutError:
                    self.expire()
        finally:
            if prefix.startswith("servers/"):
                self.watchers[machine] -= 1

    def transact(self, body):
        rows = body.get("ExpectedRev", [])
        for row in rows:
            held = self.items[row["Key"]]["revision"] if row["Key"] in self.items else 0
            if held != row["Revision"]:
                return 412, {"items": [self.shown(r["Key"]) for r in rows if r["Key"] in self.items]}
        for put in body.get("SetKeys", []):
            if put["Key"].startswith(("op/", "servers/")):
                return 403, {}
            if put.get("Lease", 0) and put["Lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for put in body.get("SetKeys", []):
            self.apply(put["Key"], base64.b64decode(put["Value"]), put.get("Lease", 0))
        for key in body.get("DeleteKeys", []):
            if key in self.items:
                del self.items[key]
                self.history.append((self.revision, {"Key": key, "Revision": self.revision, "Tombstone": True}))
        self.changed.set()
        return 200, {"Revision": self.revision}


class Run:
    """One request that a worker received, and what became of it."""

    def __init__(self, worker, request, at):
        self.worker = worker
        self.request = request
        self.id = request.header("Oleandergate-Request-Id")
        self.arrived = at
        self.began = None
        self.ended = None
        self.cut = False

    @property
    def deadline_ms(self):
        return int(self.request.header("Oleandergate-Deadline-Ms") or 0)


class Worker:
    """A worker: serves `slots` requests at once and queues the others. `work` is called for each run and writes the answer."""

    def __init__(self, store, record, service, work, slots=6, version="v1"):
        self.store = store
        self.record = record
        self.service = service
        self.work = work
        self.slots = slots
        self.version = version
        self.id = "i-" + os.urandom(5).hex()
        self.born = int(time.time() * 1000)
        self.free = asyncio.Semaphore(slots)
        self.runs = []
        self.state = "ready"
        self.writers = set()
        self.server = None
        self.address = None
        self.drained_at = None  # When the store accepted the report that it is draining, or its removal.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.register()
        return self

    def register(self):
        entry = {"Service": self.service, "Address": self.address, "Zone": "zone-a", "Version": self.version, "Slots": self.slots,
                 "State": self.state, "ColdLeftMs": 0, "Seq": 0, "born": self.born}
        self.store.write("servers/" + self.id, json.dumps(entry))

    def drain(self):
        self.state = "draining"
        self.register()
        self.drained_at = self.record.now()
        self.record.write(f"the store accepts that worker {self.id} is draining")

    def stop(self):
        """Exits: listens no more and closes all connections."""
        self.record.write(f"worker {self.id} exits")
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.store.remove("servers/" + self.id)

    def head(self, run, status=200, extra=()):
        return [("Oleandergate-Request-Id", run.id), ("Oleandergate-Server-Stamp", f"{self.id}.{run.id}.{status}"), *extra]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                run = Run(self, await read_message(reader), self.record.now())
                if run.request.start.startswith("GET /health"):
                    writer.write(response_bytes(200 if self.state == "ready" else 503, [("Oleandergate-Instance-Id", self.id)]))
                    continue
                if run.request.header("Oleandergate-Expect-Instance") not in ("", self.id):
                    writer.write(response_bytes(421, [("Oleandergate-Request-Id", run.id), ("Oleandergate-Not-Run", "1")]))
                    continue
                self.runs.append(run)
                async with self.free:
                    run.began = self.record.now()
                    self.record.write(f"worker {self.id} runs {run.id}, arrived at {run.arrived:.3f} s, handed {run.deadline_ms} ms")
                    await self.work(self, run, writer)
                    await writer.drain()
                    run.ended = self.record.now()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def answer(self, run, writer, body=b"done"):
        writer.write(response_bytes(200, self.head(run), body))


class Front:
    """A process that the deploy file starts on the entry machines, with a settings file like that of a small deployment."""

    command = shlex.split(tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())["roles"]["gateway"]["run"])

    def __init__(self, number, folder, record):
        self.name = f"front-zone-a-{number}"
        self.ip = f"127.0.1.{number}"
        self.folder = pathlib.Path(folder)
        self.record = record
        self.listen = {name: free_port(self.ip) for name in ("Front", "Ready", "Control")}
        self.process = None

    def address(self, name):
        return f"{self.ip}:{self.listen[name]}"

    def log(self):
        return (self.folder / f"{self.name}.log").read_text(errors="replace")

    async def start(self, store_address, seeds):
        listen = "".join(f'{name} = "{self.address(name)}"\n' for name in self.listen)
        bounds = "".join(f"{name} = {value}\n" for name, value in BOUNDS.items())
        settings = self.folder / f"{self.name}.toml"
        settings.write_text(
            f'NodeName = "{self.name}"\nRole = "gateway"\nMachineClass = "front"\nServes = ["front","control"]\nIp = "{self.ip}"\n'
            f'Zone = "zone-a"\nRegion = "region"\nSeeds = {json.dumps(seeds)}\nBootstrap = true\nCountsAsLoss = false\nDiscovery = "platform"\n'
            f'Entry = "vip"\nHeartbeatMs = 1200\nContracts = ["base","drain","config","cost","recover","agent","stream","engine","platform"]\n'
            f'[Zones]\nzone-a = "region"\n[Listen]\n{listen}[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = 110\nMaxFds = 4100\n'
            f'LinkMbps = 1000.0\nDiskMb = 0\n[FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n[Bounds]\n{bounds}'
            f'[Platform]\nAddress = "{store_address}"\nform = "kv"\nWritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\nValueBytes = 1048576\n'
            f'TtlMinMs = 1000\n')
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), "OLEANDERGATE_CONFIG": str(settings)}
        with open(self.folder / f"{self.name}.log", "ab") as output:
            self.process = await asyncio.create_subprocess_exec(*self.command, cwd=REPOSITORY, env=environment, stdout=output, stderr=output)

    async def ready(self):
        try:
            answer = await call(self.address("Ready"), "GET", "/readiness", [("Host", "ready")], timeout=0.5)
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    def signal(self, number):
        self.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Connection:
    """A client's kept connection."""

    def __init__(self):
        self.reader = self.writer = None

    async def open(self, address):
        host, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        return self

    def send(self, method, target, headers, body=b""):
        lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers), f"Content-Length: {len(body)}", "", ""]
        self.writer.write("\r\n".join(lines).encode() + body)

    async def receive(self):
        """Returns the response, or None if the connection ended before its head."""
        try:
            return await read_message(self.reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None

    def close(self):
        if self.writer:
            self.writer.close()


async def call(address, method, target, headers, body=b"", timeout=10.0):
    connection = await Connection().open(address)
    try:
        connection.send(method, target, headers, body)
        return await asyncio.wait_for(connection.receive(), timeout)
    finally:
        connection.close()


def request_id():
    return os.urandom(8).hex()


class Deployment:
    """The store, the configuration, workers and the system's processes."""

    def __init__(self, case_folder):
        self.record = Record(pathlib.Path(case_folder) / "record.txt")
        self.folder = tempfile.TemporaryDirectory(prefix="oleander-review-")
        self.store = Store()
        self.workers = []
        self.fronts = []
        self.version = 0

    def configure(self, routes, services):
        self.version += 1
        limits = {"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderMs": 3000, "IdleMs": 15000}
        self.store.write("op/config", json.dumps({"Version": self.version, "Routes": routes, "Services": services, "Limits": limits}))

    async def add_worker(self, service, work, **options):
        worker = await Worker(self.store, self.record, service, work, **options).start()
        self.workers.append(worker)
        return worker

    async def start_fronts(self, count):
        self.fronts = [Front(number, self.folder.name, self.record) for number in range(1, count + 1)]
        seeds = [front.address("Control") for front in self.fronts[:3]]
        for front in self.fronts:
            await front.start(await self.store.listen(front.name), seeds)
        for _ in range(300):
            if all([await front.ready() for front in self.fronts]):
                self.record.write(f"all {count} processes are ready")
                return True
            await asyncio.sleep(0.05)
        self.record.write("the processes did not get ready")
        return False

    async def end(self):
        for front in self.fronts:
            await front.end()
        self.folder.cleanup()


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def play(case_folder, script):
    """Runs `script(deployment)`, which returns whether the rule held. Exits with 0, 1 (broken) or 2 (could not run)."""

    async def main():
        deployment = Deployment(case_folder)
        try:
            held = await asyncio.wait_for(script(deployment), 110)
        except Exception as error:  # Any failure of the script itself means that the case could not run.
            deployment.record.write(f"could not run: {error!r}")
            return 2
        finally:
            await deployment.end()
        if held is None:
            return 2
        deployment.record.write("the rule held" if held else "the rule was broken")
        return 0 if held else 1

    code = asyncio.run(main())
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    os._exit(code)
