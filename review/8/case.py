"""A front is cut off from the store for some seconds; workers leave by the removal of their entries right after the end of the cut."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
from deployment import Deployment, Worker, run_case, unused_port  # noqa: E402

DRAIN_S = 2.0
CONTACT_S = 3.0
MARGIN_S = 0.03
ROUNDS = 4
CUT_S = 4.0
REMOVED_AFTER_S = 0.8
SERVES_ON_S = 4.5
CLIENTS = 8

CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "reads",
            "Host": "shop.example",
            "PathPrefix": "/reads/",
            "Kind": "safe",
            "TimeoutMs": 1500,
            "TargetLatencyMs": 250,
            "Priority": 2,
            "Service": "app",
            "MaxAttempts": 2,
        }
    ],
    "Services": [{"Name": "app", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": False}],
    "Limits": {"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderMs": 3000, "IdleMs": 15000},
}


class StoreLink:
    """The link between the front and the store. During a cut nothing passes; connections that are opened meanwhile are never answered."""

    def __init__(self, store):
        self.store = store
        self.port = unused_port("127.0.0.1")
        self.open = asyncio.Event()
        self.open.set()
        self.opened = asyncio.Queue()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def pass_on(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.open.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        try:
            if not self.open.is_set():
                self.opened.put_nowait(time.monotonic())
                while await reader.read(65536):
                    pass
                return
            store_reader, store_writer = await asyncio.open_connection(self.store.address, self.store.port)
            await asyncio.gather(self.pass_on(reader, store_writer), self.pass_on(store_reader, writer))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def main(trouble):
    deployment = Deployment(pathlib.Path(__file__).with_name("record.txt"), 1)
    link = StoreLink(deployment.store)
    await link.start()
    deployment.store_address = f"127.0.0.1:{link.port}"
    deployment.workers = [Worker(deployment, f"i-{number:08x}", "app", slots=6, work_s=0.01) for number in range(1, 5)]
    over = asyncio.Event()
    broken = 0

    async def client():
        while not over.is_set():
            await deployment.send(deployment.fronts[0], "GET", "/reads/a", limit_s=1.5)
            await asyncio.sleep(0.01)

    async def remove(worker):
        """The worker leaves without reporting that it drains, and serves on for longer than DrainMs."""
        worker.beats.cancel()
        deployment.store.delete("servers/" + worker.id)
        acknowledged = time.monotonic()
        deployment.record.add(f"the entry of worker {worker.id} is removed, acknowledged by the store")
        await asyncio.sleep(SERVES_ON_S)
        worker.server.close()
        deployment.record.add(f"worker {worker.id} has ended")
        return acknowledged

    try:
        if not await deployment.start(CONFIG):
            return 2
        await asyncio.sleep(3)
        clients = [asyncio.create_task(client()) for _ in range(CLIENTS)]
        await asyncio.sleep(1)
        for number in range(ROUNDS):
            fresh = Worker(deployment, f"i-{100 + number:08x}", "app", slots=6, work_s=0.01)
            await fresh.start()
            deployment.workers.append(fresh)
            healed = time.monotonic() - CONTACT_S
            await asyncio.sleep(1)
            if trouble:
                link.open.clear()
                deployment.record.add("the front is cut off from the store")
                await asyncio.sleep(CUT_S)
                while not link.opened.empty():
                    link.opened.get_nowait()
                await asyncio.wait_for(link.opened.get(), 3)
                await asyncio.sleep(0.05)
                link.open.set()
                healed = time.monotonic()
                deployment.record.add("the cut ends")
                await asyncio.sleep(REMOVED_AFTER_S)
            worker = deployment.workers.pop(0)
            acknowledged = await remove(worker)
            bound = max(acknowledged + DRAIN_S, healed + CONTACT_S) + MARGIN_S
            late = [reached for reached, _ in worker.runs if reached > bound]
            broken += 1 if late else 0
            deployment.record.add(
                f"round {number + 1}: {len(late)} requests reached worker {worker.id} later than {DRAIN_S:.0f} s after the ack, by a front in touch"
                + (f", the last one {late[-1] - acknowledged:.3f} s after the ack and {late[-1] - healed:.3f} s after the cut: DRAIN broken" if late else "")
            )
        over.set()
        await asyncio.gather(*clients)
        return 1 if broken else 0
    finally:
        deployment.stop()


if __name__ == "__main__":
    run_case(main)
