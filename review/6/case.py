"""An item is given up before `attempts` answers of 500, because an answer came twice."""

import asyncio
import json
import os
import random
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))
import standins as s

HOST, MODEL, ATTEMPTS = "ficu95.example", "daka510000", 3
WORKERS, GARBLING = 3, 1
GARBLE_SHARE, WINDOW_S = 0.03, 5.0
ROUNDS = 6
# What a worker answers to the first runs of the flaky item; later runs succeed.
FLAKY = [500, 200, 500]
FLAKY_EVENTS = 8


class Garbling(s.Engine):
    """While it garbles, it sends at most `GARBLE_SHARE` of its answers a second time, at the point
    where the next answer on that channel is expected. It does so with failures of items.
    """

    event_ms = 10
    garbles_until = 0.0
    answers = garbled = 0

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.late = {}

    async def answer(self, request, reader, writer):
        late = self.late.pop(writer, None)
        if late is not None:
            self.case.record(f"{self.id} sends an answer again before that to {request.id()}")
            writer.write(late)
        self.answers += 1
        runs = self.case.runs.get(request.id())
        if runs is None:
            return await self.generate(request, reader, writer)
        status = FLAKY[len(runs)] if len(runs) < len(FLAKY) else 200
        runs.append(status)
        self.case.record(f"{self.id} runs {request.id()}: {status}")
        if status == 200:
            return await self.generate(request, reader, writer)
        await asyncio.sleep(0.01)
        answer = s.response(500, b"", [("X-Catkinmast-Request-Id", request.id()),
                                       ("X-Catkinmast-Server-Stamp", s.stamp(self, request))])
        writer.write(answer)
        if s.now() < self.garbles_until and self.garbled + 1 <= GARBLE_SHARE * self.answers:
            self.garbled += 1
            self.late[writer] = answer


class Case:
    def __init__(self, record):
        self.record, self.runs = record, {}


async def submit(site, lot, step, items, groups):
    body = json.dumps({"step": step, "model": MODEL, "minVersion": 1, "targetGroups": groups,
                       "items": items}).encode()
    headers = {"Host": HOST, s.REQUEST_ID: lot, "Content-Type": "application/json"}
    name = random.choice(list(site.fronts))
    status, _, _ = await s.call(site.callers(name), "POST", "/lots/1", headers, body)
    if status != 202:
        raise s.CannotRun(f"a submission was answered {status}")


async def results(site, lot, count, limit_s):
    until = s.now() + limit_s
    while True:
        name = random.choice(list(site.fronts))
        _, _, body = await s.call(site.callers(name), "GET", f"/-/lots/{lot}?after=0", {"Host": HOST})
        found = json.loads(body)["results"]
        if len(found) >= count or s.now() > until:
            return found
        await asyncio.sleep(0.2)


async def main(record, trouble):
    case, lengths = Case(record), {}
    site = s.Site(fronts=2)
    broken = []
    try:
        await site.start({"version": 1, "limits": s.limits(), "services": [s.engine_service("llm", [MODEL])],
                          "routes": [{"name": "r-lots", "host": HOST, "prefix": "/lots/", "kind": "rollout",
                                      "priority": 1, "service": "llm", "targetLatencyMs": 400,
                                      "timeoutMs": 10000, "runTargetMs": 7500, "attempts": ATTEMPTS,
                                      "maxWaitS": 40}]})
        workers = []
        for _ in range(WORKERS):
            worker = Garbling(site, "llm", slots=8, models=[MODEL], items=lengths,
                              seen=lambda *_: None)
            worker.case = case
            workers.append(await worker.start())
        await site.wait_ready()
        await asyncio.sleep(3)
        for number in range(ROUNDS):
            for worker in workers:
                worker.garbles_until, worker.answers, worker.garbled = 0.0, 0, 0
            window_ends = s.now() + WINDOW_S
            for worker in workers[:GARBLING]:
                worker.garbles_until = window_ends if trouble else 0.0
            # Items that never fail, so that the worker's answers are many.
            plain = [f"plain-{number}-{n}" for n in range(150)]
            lengths.update({item: 4 for item in plain})
            await submit(site, f"lot-{number}-a", 2 * number,
                         [s.lot_item(i, f"/lots/3/{i}", MODEL, f"g-{i}") for i in plain], len(plain))
            await results(site, f"lot-{number}-a", len(plain), 5)
            flaky = [f"flaky-{number}-{n}" for n in range(WORKERS)]
            lengths.update({item: FLAKY_EVENTS for item in flaky})
            case.runs.update({item: [] for item in flaky})
            await submit(site, f"lot-{number}-b", 2 * number + 1,
                         [s.lot_item(i, f"/lots/3/{i}", MODEL, f"g-{i}") for i in flaky], len(flaky))
            for result in await results(site, f"lot-{number}-b", len(flaky), 12):
                failures = case.runs[result["id"]].count(500)
                record(f"{result['id']} is {result['state']}; its runs: {case.runs[result['id']]}")
                if result["state"] == "errored" and failures < ATTEMPTS:
                    broken.append((result["id"], failures))
            record(f"answers of workers in this window: {[w.answers for w in workers]}, sent twice: "
                   f"{[w.garbled for w in workers]}")
            await asyncio.sleep(max(0.0, window_ends - s.now()) + 1)
    finally:
        site.close()
    for item, failures in broken:
        record(f"MIXED: {item} is errored after {failures} answers of 500; attempts is {ATTEMPTS}")
    print(f"{len(broken)} items given up before {ATTEMPTS} answers of 500")
    return not broken


s.run(main, HERE)
