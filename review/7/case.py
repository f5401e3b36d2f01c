"""Programs spend their token budgets, the process that counts some of them is killed, and the programs return within RetentionS."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
from deployment import Deployment, Worker, run_case  # noqa: E402

RETENTION_S = 100.0
PROGRAMS = 16
TOKEN_BUDGET = 400
TURN_TOKENS = 100
TOKENS_PER_EVENT = 10
RETURN_AFTER_S = 88.0
MAX_TURNS = 12

CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "turns",
            "Host": "shop.example",
            "PathPrefix": "/turns/",
            "Kind": "streaming",
            "TimeoutMs": 4000,
            "TargetLatencyMs": 250,
            "Priority": 0,
            "Service": "models",
            "MaxAttempts": 1,
            "KeepsHistory": False,
            "RetentionS": RETENTION_S,
            "Sticky": True,
            "Resumable": True,
            "GapAimMs": 200,
        }
    ],
    "Services": [
        {"Name": "models", "HealthPath": "/health", "MaxConns": 180, "Protocol": "h1", "Tls": False, "Engine": {"Slots": 16, "TokensPerEvent": TOKENS_PER_EVENT}}
    ],
    "Limits": {"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderMs": 3000, "IdleMs": 15000},
}


class Program:
    def __init__(self, number):
        self.id = f"prog{number:02d}"
        self.tokens = 0
        self.turns = 0
        self.last_turn_at = 0.0

    async def run(self, deployment):
        """Sends turns until the budget is spent."""
        for _ in range(MAX_TURNS):
            fields = [
                ("Oleandergate-Program-Id", self.id),
                ("Oleandergate-Session-Id", self.id + "-main"),
                ("Oleandergate-Finish-Ms", "20000"),
                ("Oleandergate-Token-Budget", str(TOKEN_BUDGET)),
                ("Oleandergate-Token-Counts", f"50,{TURN_TOKENS}"),
                ("Oleandergate-Model", "m"),
                ("Oleandergate-Prompt-Prefix", f"5c1e07a2:30,{self.turns:08x}:20"),
            ]
            front = deployment.fronts[(int(self.id[4:]) + self.turns) % len(deployment.fronts)]
            self.turns += 1
            answer = await deployment.send(front, "POST", f"/turns/{self.id}", fields, b"prompt %d" % self.turns)
            self.tokens += answer.body.count(b"data:") * TOKENS_PER_EVENT
            self.last_turn_at = time.monotonic()
            if answer.status == 402:
                return
            if answer.status != 200:
                await asyncio.sleep(0.4)


async def main(trouble):
    deployment = Deployment(pathlib.Path(__file__).with_name("record.txt"), 3)
    deployment.workers = [Worker(deployment, f"i-{number:08x}", "models", tokens_per_event=TOKENS_PER_EVENT) for number in range(1, 4)]
    try:
        if not await deployment.start(CONFIG):
            deployment.record.add("the fronts did not become ready")
            return 2
        await asyncio.sleep(4)
        programs = [Program(number) for number in range(PROGRAMS)]
        await asyncio.gather(*(program.run(deployment) for program in programs))
        before = sum(program.tokens for program in programs)
        if before < PROGRAMS * TOKEN_BUDGET * 3 // 4:
            deployment.record.add(f"only {before} tokens were handed out")
            return 2
        stopped = time.monotonic()
        if trouble:
            await asyncio.sleep(1)
            deployment.fronts[0].kill()
            await asyncio.sleep(0.5)
            deployment.fronts[0].start()
            if not await deployment.fronts[0].ready():
                return 2
        await asyncio.sleep(max(0.0, stopped + RETURN_AFTER_S - time.monotonic()))
        for program in programs:
            idle = time.monotonic() - program.last_turn_at
            deployment.record.add(f"program {program.id} got {program.tokens} tokens so far, and returns after {idle:.1f} s (RetentionS is {RETENTION_S:.0f})")
        await asyncio.gather(*(program.run(deployment) for program in programs))
        most = TOKEN_BUDGET + TURN_TOKENS
        over = [program for program in programs if program.tokens > most]
        for program in programs:
            verdict = "BUDGET broken" if program in over else "held"
            deployment.record.add(f"program {program.id}: budget {TOKEN_BUDGET}, most of one turn {TURN_TOKENS}, handed out {program.tokens}: {verdict}")
        return 1 if over else 0
    finally:
        deployment.stop()


if __name__ == "__main__":
    run_case(main)
